#include "mangoport/forward/wait_policy.h"

#include <algorithm>

namespace mangoport {
namespace {

/// From the first request for a copy to the order that loads it, and from its
/// end to the hosts' knowledge of it.
constexpr Duration kModelOrderTime = std::chrono::milliseconds(400);
constexpr Duration kAdapterOrderTime = std::chrono::milliseconds(200);

/// Waiting goes on this many times longer than the load should take.
constexpr int kPatience = 2;

/// Time to leave for the work itself.
constexpr Duration kServiceTime = std::chrono::milliseconds(200);

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(300);

}  // namespace

MonoTime CallerLeavesAt(MonoTime deadline,
                        MonoTime last_event_at,
                        Duration stall_limit) {
  if (stall_limit <= Duration::zero())
    return deadline;
  return std::min(deadline, last_event_at + stall_limit);
}

WaitDecision DecideWait(const MissingCopy& missing) {
  const Duration order_time =
      missing.is_adapter ? kAdapterOrderTime : kModelOrderTime;
  const Duration expected = missing.load_time + order_time;
  const Duration to_go = std::max(expected - missing.waited, Duration::zero());
  WaitDecision decision;
  decision.retry_after = std::max(to_go, kShortestRetryAfter);
  if (to_go + kServiceTime > missing.time_left)
    return decision;
  const Duration patience = expected * kPatience - missing.waited;
  if (patience <= Duration::zero())
    return decision;
  decision.wait = true;
  decision.limit = std::min(patience, missing.time_left - kServiceTime);
  return decision;
}

}  // namespace mangoport
