#include "mangoport/edge/plan_pace.h"

#include <algorithm>

namespace mangoport {
namespace {

/// Minimum time between two plans.
constexpr Duration kMinInterval = std::chrono::milliseconds(20);
/// An interval is at least this many times as long as its plan.
constexpr int kIntervalPerPlan = 5;
/// Maximum time between two plans that are due.
constexpr Duration kMaxInterval = std::chrono::milliseconds(250);

}  // namespace

MonoTime NextPlanAt(MonoTime began, Duration took) {
  return began +
         std::clamp(took * kIntervalPerPlan, kMinInterval, kMaxInterval);
}

}  // namespace mangoport
