#include "mangoport/fleet/store_outages.h"

#include <algorithm>

namespace mangoport {

void StoreOutages::OnAnswer(MonoTime answered_at) {
  if (last_answer_ && answered_at <= *last_answer_)
    return;
  if (IsUnavailable(answered_at))
    outage_end_ = answered_at;
  last_answer_ = answered_at;
}

void StoreOutages::OnFailure(MonoTime now) {
  last_failure_ = std::max(now, last_failure_.value_or(now));
}

bool StoreOutages::IsInOutage(MonoTime now) const {
  if (outage_end_ && now - *outage_end_ < settings_.recovery_time)
    return true;
  return IsUnavailable(now);
}

bool StoreOutages::IsUnavailable(MonoTime now) const {
  if (!last_failure_ || (last_answer_ && *last_failure_ < *last_answer_))
    return false;
  return !last_answer_ || now - *last_answer_ >= settings_.least;
}

}  // namespace mangoport
