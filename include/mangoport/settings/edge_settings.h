#ifndef MANGOPORT_SETTINGS_EDGE_SETTINGS_H_
#define MANGOPORT_SETTINGS_EDGE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mangoport/core/finding.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// The bounds that a deployment sets for all hosts together.
struct EdgeBounds {
  /// How long a key may be honoured after its withdrawal.
  Duration key_withdrawal = std::chrono::seconds(5);
  /// From a server's notice that it leaves to the last request it is sent.
  Duration server_drain = std::chrono::seconds(2);
  /// From a new configuration to the last request under an older one.
  Duration config_apply = std::chrono::seconds(2);
  /// From SIGTERM to SIGKILL.
  Duration stop_grace = std::chrono::seconds(8);
  /// Orders of two hosts to one engine are at least this far apart.
  Duration order_lease = std::chrono::seconds(3);
  /// Repeats for each request, and beyond those, at one service.
  double repeat_ratio = 0.2;
  double repeat_extra = 100;
  /// Shutting out callers when the keys can't be known; without it keys are
  /// honoured however old the evidence is.
  bool fail_closed = true;
};

/// Everything that one entry host is told by its settings file.
struct EdgeSettings {
  HostId host;
  ZoneId zone;
  Endpoint callers;
  Endpoint readiness;
  /// Absent if no metrics are served.
  std::optional<Endpoint> metrics;
  /// Datagrams of other hosts.
  Endpoint peers;
  Endpoint store;
  /// The memory of the machine that the host may use, in MB; none if it is not
  /// told. Then it is what the system reports.
  std::optional<std::uint64_t> machine_memory_mb;
  /// The wait that requests bear rather than leaving their availability zone.
  Duration zone_crossing_cost = std::chrono::milliseconds(20);
  EdgeBounds bounds;
};

/// Reads settings from TOML. Everything wrong with them is added to
/// `findings`; the settings are usable only if nothing was.
EdgeSettings ParseEdgeSettings(std::string_view text,
                               const std::string& file,
                               Findings& findings);

/// Takes the machine's memory in MB from the text of an environment variable,
/// unless the settings file has stated it. An empty text states nothing; what
/// is no number of MB is added to `findings`.
void ApplyMachineMemory(std::string_view text,
                        EdgeSettings& settings,
                        Findings& findings);

/// The environment variable that has the machine's memory.
inline constexpr char kMachineMemoryVariable[] = "MANGOPORT_MACHINE_MB";

}  // namespace mangoport

#endif  // MANGOPORT_SETTINGS_EDGE_SETTINGS_H_
