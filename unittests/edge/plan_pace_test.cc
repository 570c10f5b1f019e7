#include "mangoport/edge/plan_pace.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};

// A plan over 204 engines took longer than the interval between two plans, so a
// small machine did nothing else.
Test(plan_pace, long_plans_leave_most_of_the_time_to_callers) {
  cr_assert_geq(NextPlanAt(kStart, milliseconds(40)),
                kStart + milliseconds(200));
}

Test(plan_pace, short_plans_follow_each_other_quickly) {
  cr_assert_leq(NextPlanAt(kStart, milliseconds(1)), kStart + milliseconds(20));
}

Test(plan_pace, demand_is_planned_for_within_a_regular_interval) {
  for (milliseconds took{}; took <= milliseconds(50); ++took)
    cr_assert_leq(NextPlanAt(kStart, took), kStart + milliseconds(250));
}

// The interval counts from the begin of a plan. As it was limited to 250 ms,
// plans that took longer followed each other without a pause.
Test(plan_pace, plans_that_outlast_the_regular_interval_leave_time_too) {
  for (const milliseconds took : {milliseconds(60), milliseconds(250),
                                  milliseconds(300), milliseconds(500)})
    cr_assert_geq(NextPlanAt(kStart, took), kStart + 5 * took);
}

// A host that was held up during a plan must not leave engines without orders
// for five times as long.
Test(plan_pace, pause_after_a_plan_is_limited) {
  const MonoTime end = kStart + seconds(3);
  cr_assert_geq(NextPlanAt(kStart, seconds(3)), end + seconds(2));
  cr_assert_leq(NextPlanAt(kStart, seconds(3)), end + seconds(2));
}

}  // namespace
}  // namespace mangoport
