#ifndef MANGOPORT_ROUTING_PROBE_SCHEDULE_H_
#define MANGOPORT_ROUTING_PROBE_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "mangoport/core/time.h"

namespace mangoport {

/// This host's place among the hosts that are in touch.
struct HostTurn {
  std::size_t rank = 0;
  std::size_t hosts = 1;
};

/// Probes that failed after the first crashes blamed on one request or part.
struct ProbeHistory {
  /// Probes that crashed a server.
  std::uint32_t failed = 0;
  MonoTime last_crash;
  /// When this host last sent one.
  std::optional<MonoTime> sent_at = std::nullopt;
};

/// Decides when something that crashed servers is sent to one again. A probe
/// costs all that its server runs, so they are seldom, and one at a time over
/// all hosts: the hosts take turns, without a message between them.
class ProbeSchedule {
 public:
  /// The hold after the first crashes. It grows with each probe that fails.
  static constexpr Duration kFirstHold = std::chrono::minutes(1);
  static constexpr Duration kLastHold = std::chrono::hours(24);

  /// Returns none if this host may send a probe now, or else the time after
  /// which some host may.
  std::optional<Duration> HoldLeft(MonoTime now,
                                   const ProbeHistory& history) const;

  /// Tells this host's place; without it, the host is alone.
  void set_turn(std::function<HostTurn()> turn) { turn_ = std::move(turn); }

 private:
  std::function<HostTurn()> turn_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_PROBE_SCHEDULE_H_
