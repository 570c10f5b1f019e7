#include "mangoport/edge/holder_notice.h"

namespace mangoport {
namespace {

/// Minimum time between two reports.
constexpr Duration kInterval = std::chrono::milliseconds(15);

}  // namespace

void HolderNotice::OnSent(MonoTime now) {
  pending_ = false;
  sent_at_ = now;
}

std::optional<MonoTime> HolderNotice::DueAt(bool holder_known) const {
  if (!pending_ || !holder_known)
    return std::nullopt;
  return sent_at_ ? *sent_at_ + kInterval : MonoTime();
}

}  // namespace mangoport
