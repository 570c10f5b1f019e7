#ifndef MANGOPORT_LIMITS_TOKEN_POOL_H_
#define MANGOPORT_LIMITS_TOKEN_POOL_H_

#include <cstdint>

#include "mangoport/core/time.h"
#include "mangoport/limits/account_limit.h"

namespace mangoport {

/// The minimum free capacity of a pool over a recent time window.
///
/// Covers at least `window` and at most three times as long. The free capacity
/// before the first recorded value counts as zero.
class FreeCapacityHistory {
 public:
  FreeCapacityHistory(MonoTime now, Duration window)
      : window_(window), start_(now) {}

  void Record(MonoTime now, std::int64_t free_capacity);
  std::int64_t MinFreeCapacity() const;

  /// Subtracts `tokens` from the whole history after a credit of that amount.
  void Lower(std::int64_t tokens);

 private:
  Duration window_;
  /// The start of the current window.
  MonoTime start_;
  /// The minimum free capacity in the current and in the previous window.
  std::int64_t current_ = 0;
  std::int64_t previous_ = 0;
};

/// The age of the charge that a credit belongs to. `kOverflow` is floor refill
/// that a zone forwards.
enum class CreditAge { kOverflow, kRecent, kOld };

/// A token bucket of an allocator, including the tokens that grantees hold.
///
/// `level` counts the unspent tokens, both free and allocated. It never exceeds
/// the cap, so the sum of free and allocated tokens doesn't either. Refill
/// stops while the level is at the cap.
class TokenPool {
 public:
  /// Creates a pool with `level` tokens. Grantees of an earlier holder may hold
  /// up to `earlier_grants` more, which reduce the free capacity until
  /// `ReleaseEarlierGrants`.
  TokenPool(MonoTime now,
            const AccountLimit& limit,
            const BudgetSettings& settings,
            std::int64_t level,
            std::int64_t earlier_grants);

  /// Refills up to `now`, at a rate that allows for a clock that is too fast by
  /// `max_clock_drift`. Refill beyond the free capacity is counted as overflow.
  void Accrue(MonoTime now, double max_clock_drift);

  /// Releases the capacity that grants of an earlier holder may have used.
  /// Refill starts at `now`.
  void ReleaseEarlierGrants(MonoTime now);

  /// Changes rate and cap. `Trim` then removes tokens above a lowered cap.
  void SetLimit(const AccountLimit& limit) { limit_ = limit; }
  /// Removes tokens above the cap, at most `free`, the number of tokens that
  /// are not allocated. The caller repeats the call when grantees return
  /// tokens.
  void Trim(std::int64_t free);

  /// Subtracts spent tokens from the level.
  void Charge(std::int64_t tokens) { level_ -= tokens; }

  /// Credits tokens of an earlier charge, up to the minimum free capacity in
  /// the window for `age`: a pool that was full in between would have discarded
  /// them. Returns the number of tokens credited.
  std::int64_t Credit(std::int64_t tokens, CreditAge age);

  std::int64_t level() const { return level_; }
  const AccountLimit& limit() const { return limit_; }
  /// Returns the overflow since the last call and resets it.
  std::int64_t TakeOverflow();

 private:
  std::int64_t FreeCapacity() const;
  void RecordFreeCapacity(MonoTime now);

  AccountLimit limit_;
  std::int64_t level_;
  std::int64_t earlier_grants_;
  std::int64_t overflow_ = 0;
  MonoTime accrued_at_;
  FreeCapacityHistory overflow_capacity_;
  FreeCapacityHistory recent_capacity_;
  FreeCapacityHistory old_capacity_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_TOKEN_POOL_H_
