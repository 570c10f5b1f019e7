#include "mangoport/edge/stop_policy.h"

#include <algorithm>

namespace mangoport {
namespace {

/// The load balancer removes a host after two failed checks, one per second.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2500);

/// Part of the grace time reserved for shutdown after the last response.
constexpr Duration kMargin = std::chrono::milliseconds(500);

/// The users' rules allow a cut answer only in the last sixth of the grace
/// time; the margin is at most half of that.
constexpr int kGracePerMargin = 12;

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

}  // namespace

Duration AnswersEndAfter(Duration grace) {
  return grace - std::min(kMargin, grace / kGracePerMargin);
}

StopDecision DecideStop(const StopProgress& progress) {
  // At least two thirds of the grace time are for requests in progress.
  const Duration balancer_delay = std::min(kBalancerDelay, progress.grace / 3);
  const Duration end = AnswersEndAfter(progress.grace);
  StopDecision out;
  out.refuse_new = progress.passed >= balancer_delay;
  out.close_idle = out.refuse_new;
  const bool idle = progress.active_requests == 0 &&
                    progress.connections == 0 && progress.lease_released;
  out.finish = (out.refuse_new && idle) || progress.passed >= end;
  out.next = std::min(progress.passed + kCheckInterval,
                      out.refuse_new ? end : balancer_delay);
  return out;
}

}  // namespace mangoport
