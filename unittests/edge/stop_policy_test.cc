#include "mangoport/edge/stop_policy.h"

#include <algorithm>
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

// The users count a cut answer as lost unless its server was at work in the
// last sixth of the grace time.
Test(stop_policy, answers_are_cut_in_the_last_sixth_of_the_grace_time) {
  for (const Duration grace :
       {Duration(milliseconds(500)), Duration(seconds(1)), Duration(seconds(2)),
        Duration(seconds(8)), Duration(seconds(60))}) {
    StopProgress busy = Busy(grace - grace / 6);
    busy.grace = grace;
    cr_assert_not(DecideStop(busy).finish);
    // The rest is for the exit.
    busy.passed = grace - std::min<Duration>(grace / 20, milliseconds(400));
    cr_assert(DecideStop(busy).finish);
  }
}

// A check that comes too late leaves the callers to the kill.
Test(stop_policy, the_next_step_is_not_missed_between_two_checks) {
  for (const Duration grace : {Duration(milliseconds(500)),
                               Duration(seconds(1)), Duration(seconds(8))}) {
    StopProgress busy = Busy(Duration::zero());
    busy.grace = grace;
    bool refused = false;
    while (!DecideStop(busy).finish) {
      const StopDecision decision = DecideStop(busy);
      cr_assert_gt(decision.next.count(), busy.passed.count());
      if (!refused && decision.refuse_new) {
        cr_assert_leq(
            busy.passed.count(),
            std::min<Duration>(milliseconds(2500), grace / 3).count());
        refused = true;
      }
      busy.passed = decision.next;
    }
    cr_assert(refused);
    cr_assert_leq(busy.passed.count(), (grace - grace / 20).count());
  }
}

}  // namespace
}  // namespace mangoport
