#include "mangoport/edge/stop_policy.h"

#include <algorithm>

namespace mangoport {
namespace {

/// The balancer asks every second and believes the second miss.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2500);

/// Kept of the grace time for what follows the last answer.
constexpr Duration kMargin = std::chrono::milliseconds(500);

}  // namespace

StopDecision DecideStop(const StopProgress& progress) {
  // A short grace time leaves two thirds of it to the requests under way.
  const Duration balancer_delay = std::min(kBalancerDelay, progress.grace / 3);
  StopDecision out;
  out.refuse_new = progress.passed >= balancer_delay;
  out.close_idle = out.refuse_new;
  const bool idle = progress.active_requests == 0 &&
                    progress.connections == 0 && progress.lease_released;
  out.finish =
      (out.refuse_new && idle) || progress.passed >= progress.grace - kMargin;
  return out;
}

}  // namespace mangoport
