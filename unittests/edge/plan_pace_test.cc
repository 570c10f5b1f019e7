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
  cr_assert_leq(NextPlanAt(kStart, seconds(3)), kStart + milliseconds(250));
}

}  // namespace
}  // namespace mangoport
