#include "mangoport/edge/stop_policy.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StopProgress Busy(Duration passed) {
  return {.passed = passed,
          .grace = seconds(8),
          .active_requests = 3,
          .connections = 5,
          .lease_released = true};
}

// A host that was stopped took a stream 3.4 s after SIGTERM on a kept
// connection, and the end of the grace time cut it 4.6 s later.
Test(stop_policy, a_request_long_after_the_signal_is_refused) {
  cr_assert(DecideStop(Busy(milliseconds(3400))).refuse_new);
  cr_assert(DecideStop(Busy(milliseconds(2990))).refuse_new);
}

Test(stop_policy, requests_are_taken_while_the_balancer_still_sends_them) {
  cr_assert_not(DecideStop(Busy(milliseconds(2000))).refuse_new);
  cr_assert_not(DecideStop(Busy(milliseconds(2000))).close_idle);
}

Test(stop_policy, requests_under_way_have_the_grace_time) {
  cr_assert_not(DecideStop(Busy(milliseconds(7000))).finish);
  cr_assert(DecideStop(Busy(milliseconds(7600))).finish);
}

Test(stop_policy, an_idle_host_ends_once_the_balancer_knows) {
  StopProgress idle = Busy(milliseconds(1000));
  idle.active_requests = 0;
  idle.connections = 0;
  cr_assert_not(DecideStop(idle).finish);
  idle.passed = milliseconds(2600);
  cr_assert(DecideStop(idle).finish);
  idle.lease_released = false;
  cr_assert_not(DecideStop(idle).finish);
}

}  // namespace
}  // namespace mangoport
