#ifndef MANGOPORT_SETTINGS_OPERATOR_SETTINGS_H_
#define MANGOPORT_SETTINGS_OPERATOR_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/finding.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// What the operators' commands are told by their settings file.
struct OperatorSettings {
  /// Who publishes; it stands in the audit trail.
  std::string name;
  std::string token;
  Endpoint log;
  /// The operators' endpoints of the entry hosts.
  std::vector<Endpoint> hosts;
};

/// Reads settings from TOML; usable only if nothing was added to `findings`.
OperatorSettings ParseOperatorSettings(std::string_view text,
                                       const std::string& file,
                                       Findings& findings);

}  // namespace mangoport

#endif  // MANGOPORT_SETTINGS_OPERATOR_SETTINGS_H_
