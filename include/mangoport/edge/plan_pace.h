#ifndef MANGOPORT_EDGE_PLAN_PACE_H_
#define MANGOPORT_EDGE_PLAN_PACE_H_

#include "mangoport/core/time.h"

namespace mangoport {

/// Returns the earliest time of the next plan, if the last one began at
/// `began` and took `took`. Most of a host's time stays for its callers, unless
/// a plan takes longer than half a second.
MonoTime NextPlanAt(MonoTime began, Duration took);

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_PLAN_PACE_H_
