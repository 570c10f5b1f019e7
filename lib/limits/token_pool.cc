#include "mangoport/limits/token_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

void FreeCapacityHistory::Record(MonoTime now, std::int64_t free_capacity) {
  if (now - start_ >= window_) {
    previous_ = current_;
    current_ = free_capacity;
    start_ = now;
  }
  current_ = std::min(current_, free_capacity);
}

std::int64_t FreeCapacityHistory::MinFreeCapacity() const {
  return std::max<std::int64_t>(0, std::min(current_, previous_));
}

void FreeCapacityHistory::Lower(std::int64_t tokens) {
  current_ -= tokens;
  previous_ -= tokens;
}

TokenPool::TokenPool(MonoTime now,
                     const AccountLimit& limit,
                     const BudgetSettings& settings,
                     std::int64_t level,
                     std::int64_t earlier_grants)
    : limit_(limit),
      level_(level),
      earlier_grants_(earlier_grants),
      accrued_at_(now),
      overflow_capacity_(now, settings.overflow_capacity_window),
      recent_capacity_(now, settings.recent_capacity_window),
      old_capacity_(now, settings.old_capacity_window) {}

void TokenPool::Accrue(MonoTime now, double max_clock_drift) {
  if (now <= accrued_at_)
    return;
  const double rate =
      static_cast<double>(limit_.tokens_per_second) /
      (1 + (MutantEnabled("drift_ignored_in_refill") ? 0.0 : max_clock_drift));
  const double seconds =
      std::chrono::duration<double>(now - accrued_at_).count();
  const auto tokens = static_cast<std::int64_t>(std::floor(rate * seconds));
  if (tokens > 0) {
    // The time for a fraction of a token counts towards the next refill.
    const Duration used(static_cast<std::int64_t>(
        std::ceil(static_cast<double>(tokens) / rate * 1e9)));
    accrued_at_ = std::min(now, accrued_at_ + used);
    const std::int64_t added = std::clamp<std::int64_t>(
        tokens, 0, std::max<std::int64_t>(0, FreeCapacity()));
    level_ += added;
    overflow_ += tokens - added;
  }
  if (limit_.tokens_per_second == 0)
    accrued_at_ = now;
  RecordFreeCapacity(now);
}

void TokenPool::ReleaseEarlierGrants(MonoTime now) {
  earlier_grants_ = 0;
  accrued_at_ = now;
}

void TokenPool::Trim(std::int64_t free) {
  const std::int64_t excess = level_ - limit_.burst_tokens;
  if (excess > 0 && free > 0)
    level_ -= std::min(excess, free);
}

std::int64_t TokenPool::Credit(std::int64_t tokens, CreditAge age) {
  const FreeCapacityHistory& history =
      age == CreditAge::kOverflow ? overflow_capacity_
      : age == CreditAge::kRecent ? recent_capacity_
                                  : old_capacity_;
  std::int64_t credited = std::min(tokens, history.MinFreeCapacity());
  if (MutantEnabled("credit_ignores_past_room"))
    credited = std::min(tokens, FreeCapacity());
  if (credited <= 0)
    return 0;
  level_ += credited;
  overflow_capacity_.Lower(credited);
  recent_capacity_.Lower(credited);
  old_capacity_.Lower(credited);
  return credited;
}

std::int64_t TokenPool::TakeOverflow() {
  return std::exchange(overflow_, 0);
}

std::int64_t TokenPool::FreeCapacity() const {
  return limit_.burst_tokens - earlier_grants_ - level_;
}

void TokenPool::RecordFreeCapacity(MonoTime now) {
  overflow_capacity_.Record(now, FreeCapacity());
  recent_capacity_.Record(now, FreeCapacity());
  old_capacity_.Record(now, FreeCapacity());
}

}  // namespace mangoport
