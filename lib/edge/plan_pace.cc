#include "mangoport/edge/plan_pace.h"

#include <algorithm>

namespace mangoport {
namespace {

/// Minimum time between two plans.
constexpr Duration kMinInterval = std::chrono::milliseconds(20);
/// An interval is at least this many times as long as its plan, up to
/// `kMaxPause`.
constexpr int kIntervalPerPlan = 5;
/// Maximum time from the end of a plan to the next one that is due. A plan may
/// take long only because the whole host was held up.
constexpr Duration kMaxPause = std::chrono::seconds(2);

}  // namespace

MonoTime NextPlanAt(MonoTime began, Duration took) {
  const Duration pause = std::min(took * (kIntervalPerPlan - 1), kMaxPause);
  return began + std::max(took + pause, kMinInterval);
}

}  // namespace mangoport
