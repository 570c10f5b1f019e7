#ifndef MANGOPORT_SETTINGS_HOST_SETTINGS_H_
#define MANGOPORT_SETTINGS_HOST_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/finding.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// An IP number and a port. Port 0 asks the system for a free one.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// "ip:port"
std::string ToString(const Endpoint& endpoint);

/// Where the platform's services are.
struct PlatformSettings {
  Endpoint log;
  Endpoint hosts;
  Endpoint store;
};

/// Bounds on what a caller may send and for how long a request may take.
struct CallerLimits {
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  std::uint32_t max_connections = 512;
  Duration read_timeout = std::chrono::seconds(10);
  Duration write_timeout = std::chrono::seconds(10);
  Duration keep_alive_timeout = std::chrono::seconds(15);
  Duration request_timeout = std::chrono::seconds(120);
};

/// How long backend servers may be silent.
struct BackendTimeouts {
  Duration connect = std::chrono::milliseconds(500);
  Duration first_token = std::chrono::milliseconds(5000);
  Duration between_tokens = std::chrono::milliseconds(2000);
  Duration report_interval = std::chrono::milliseconds(500);
};

/// How a planned stop goes.
struct ShutdownSettings {
  /// Time for the balancer to see that the host is no longer ready.
  Duration balancer_delay = std::chrono::milliseconds(2000);
  Duration drain_timeout = std::chrono::seconds(150);
};

/// How requests that may not be repeated are claimed in the log.
struct ClaimSettings {
  /// Least time between two appends by this host.
  Duration append_interval = std::chrono::milliseconds(60);
  /// How long a caller waits for its claim before it is refused.
  Duration claim_wait = std::chrono::seconds(3);
  /// How long a caller waits for the outcome.
  Duration outcome_wait = std::chrono::seconds(20);
  /// How often all claims are carried forward; well under the log's retention.
  Duration carry_interval = std::chrono::hours(4);
};

struct LogSettings {
  std::string level = "info";
  bool json = false;
};

/// Everything that one entry host is told by its settings file.
struct HostSettings {
  HostId id;
  ZoneId zone;
  Endpoint callers;
  Endpoint operators;
  Endpoint peers;
  /// Peers to ask while the host list is out of reach.
  std::vector<Endpoint> seed_peers;
  /// A file to which the bound ports are written, or empty.
  std::string ports_file;
  /// What operators show to the operators' endpoint.
  std::string operator_token;
  PlatformSettings platform;
  CallerLimits limits;
  BackendTimeouts backends;
  ShutdownSettings shutdown;
  ClaimSettings claims;
  /// The number of availability zones of the whole fleet; the same on every
  /// host, since each zone's share of the budgets follows from it.
  int zone_count = 3;
  LogSettings log;
  /// How long keys are honoured without fresh evidence from the log or from a
  /// peer that has it.
  Duration max_staleness = std::chrono::minutes(60);
};

/// Reads settings from TOML. Everything wrong with them is added to
/// `findings`; the settings are usable only if nothing was.
HostSettings ParseHostSettings(std::string_view text,
                               const std::string& file,
                               Findings& findings);

/// Parses "ip:port", with an IP number in it.
bool ParseEndpoint(std::string_view text, Endpoint& endpoint);

}  // namespace mangoport

#endif  // MANGOPORT_SETTINGS_HOST_SETTINGS_H_
