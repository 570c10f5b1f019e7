#include "mangoport/routing/zone_spill.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mangoport {
namespace {

/// The time over which the share is averaged: several times as long as hosts
/// take to see each other's load.
constexpr Duration kShareSpan = std::chrono::seconds(2);
/// Weight of one request, so that a burst of them counts as a short time.
constexpr double kMaxWeight = 0.1;
constexpr double kMinWeight = 0.01;

}  // namespace

void ZoneSpill::Note(MonoTime now, bool pays) {
  const double passed = std::chrono::duration<double>(now - noted_at_) /
                        std::chrono::duration<double>(kShareSpan);
  noted_at_ = now;
  const double weight =
      std::clamp(1 - std::exp(-passed), kMinWeight, kMaxWeight);
  share_ += ((pays ? 1.0 : 0.0) - share_) * weight;
}

bool ZoneSpill::Leaves(MonoTime now, const ZoneChoice& choice, double draw) {
  const bool pays = choice.wait_at_home - choice.wait_away > crossing_cost_;
  Note(now, pays);
  if (!pays)
    return false;
  const bool saves_request =
      choice.wait_at_home > choice.limit && choice.wait_away <= choice.limit;
  return saves_request || draw < share_;
}

}  // namespace mangoport
