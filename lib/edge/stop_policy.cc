#include "mangoport/edge/stop_policy.h"

#include <algorithm>

namespace mangoport {
namespace {

/// The load balancer removes a host after two failed checks, one per second.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2500);

/// Part of the grace time reserved for shutdown after the last response.
constexpr Duration kMargin = std::chrono::milliseconds(500);

}  // namespace

StopDecision DecideStop(const StopProgress& progress) {
  // At least two thirds of the grace time are for requests in progress.
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
