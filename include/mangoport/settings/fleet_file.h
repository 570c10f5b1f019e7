#ifndef MANGOPORT_SETTINGS_FLEET_FILE_H_
#define MANGOPORT_SETTINGS_FLEET_FILE_H_

#include <string>
#include <string_view>

#include "mangoport/config.pb.h"
#include "mangoport/core/finding.h"

namespace mangoport {

/// Reads what an operator wants to publish: models, adapters, backend servers,
/// routes, templates, client accounts and removals, in TOML.
///
/// Everything wrong with the text is added to `findings`; the change may be
/// published only if nothing was. Its base, author and time are left to the
/// caller.
wire::ConfigChange ParseFleetFile(std::string_view text,
                                  const std::string& file,
                                  Findings& findings);

}  // namespace mangoport

#endif  // MANGOPORT_SETTINGS_FLEET_FILE_H_
