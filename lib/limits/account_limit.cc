#include "mangoport/limits/account_limit.h"

#include <cmath>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

std::int64_t FractionPerZone(std::int64_t total, double fraction, int zones) {
  return static_cast<std::int64_t>(
      std::floor(static_cast<double>(total) * fraction / zones));
}

double DriftRatio(const BudgetSettings& settings) {
  if (MutantEnabled("drift_ignored"))
    return 1;
  return (1 + settings.max_clock_drift) / (1 - settings.max_clock_drift);
}

}  // namespace

AccountLimit ZoneFloor(const AccountLimit& limit,
                       const BudgetSettings& settings) {
  return {limit.account,
          FractionPerZone(limit.tokens_per_second, settings.floor_rate_fraction,
                          settings.zones),
          FractionPerZone(limit.burst_tokens, settings.floor_burst_fraction,
                          settings.zones)};
}

AccountLimit SharedPool(const AccountLimit& limit,
                        const BudgetSettings& settings) {
  if (MutantEnabled("floor_lent"))
    return limit;
  const AccountLimit floor = ZoneFloor(limit, settings);
  return {limit.account,
          limit.tokens_per_second - settings.zones * floor.tokens_per_second,
          limit.burst_tokens - settings.zones * floor.burst_tokens};
}

Duration StretchForDrift(Duration time, const BudgetSettings& settings) {
  return Duration(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(time.count()) * DriftRatio(settings))));
}

Duration ShrinkForDrift(Duration time, const BudgetSettings& settings) {
  return Duration(static_cast<std::int64_t>(
      std::floor(static_cast<double>(time.count()) / DriftRatio(settings))));
}

}  // namespace mangoport
