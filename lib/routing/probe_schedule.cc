#include "mangoport/routing/probe_schedule.h"

#include <algorithm>
#include <array>

namespace mangoport {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

/// The hold before the first probe and after each failed one. Each further
/// probe is less likely to end well.
constexpr std::array<Duration, 4> kHolds = {
    ProbeSchedule::kFirstHold, minutes(10), hours(2), ProbeSchedule::kLastHold};

/// Each host in turn may send a probe for this long, which is enough for the
/// others to hear what became of it.
constexpr Duration kTurn = std::chrono::seconds(5);

}  // namespace

std::optional<Duration> ProbeSchedule::HoldLeft(
    MonoTime now,
    const ProbeHistory& history) const {
  const std::size_t n =
      std::min<std::size_t>(history.failed, kHolds.size() - 1);
  const Duration hold = kHolds[n];
  const Duration held = now - history.last_crash;
  if (held < hold)
    return hold - held;
  const HostTurn turn = turn_ ? turn_() : HostTurn{};
  const auto turns = (held - hold) / kTurn;
  const auto hosts =
      static_cast<Duration::rep>(std::max<std::size_t>(turn.hosts, 1));
  const bool own = turns % hosts == static_cast<Duration::rep>(turn.rank);
  const bool sent = history.sent_at && now - *history.sent_at < kTurn;
  if (!own || sent)
    return kTurn;
  return std::nullopt;
}

}  // namespace mangoport
