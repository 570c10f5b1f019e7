#ifndef MANGOPORT_LIMITS_TOKEN_POOL_H_
#define MANGOPORT_LIMITS_TOKEN_POOL_H_

#include <cstdint>

#include "mangoport/core/time.h"
#include "mangoport/limits/account_limit.h"

namespace mangoport {

/// The least room that a pool had below its cap over the last while.
///
/// Covers at least `window` and at most three times as long; of a time before
/// its first note it assumes that there was no room.
class RoomHistory {
 public:
  RoomHistory(MonoTime now, Duration window) : window_(window), start_(now) {}

  void Note(MonoTime now, std::int64_t room);
  std::int64_t least() const;

  /// Takes `tokens` off the whole history, after a credit used that room.
  void Lower(std::int64_t tokens);

 private:
  Duration window_;
  MonoTime start_;
  std::int64_t current_ = 0;
  std::int64_t previous_ = 0;
};

/// How long ago the charge was made that a credit belongs to.
enum class CreditAge { kOverflow, kRecent, kOld };

/// One token bucket of a dealer, with the part of it that takers hold.
///
/// `level` counts the tokens that the pool has not seen spent: free ones and
/// those dealt to takers. It is at most the cap, so free and dealt tokens
/// together are too; refill stops while all of them are unspent.
class TokenPool {
 public:
  /// A pool that has `level` tokens. `unknown` more may be held by takers of
  /// an earlier holder; they take up room until `ForgetUnknown`.
  TokenPool(MonoTime now,
            const AccountLimit& limit,
            const BudgetSettings& settings,
            std::int64_t level,
            std::int64_t unknown);

  /// Refills up to `now` on a clock that may be fast by `max_clock_drift`.
  /// Refill without room is added to `overflow`.
  void Accrue(MonoTime now, double max_clock_drift);

  void ForgetUnknown(MonoTime now);

  /// Changes rate and cap. Tokens above a lowered cap are destroyed as far as
  /// `free` of them are not dealt, now and in later calls of `Trim`.
  void SetLimit(const AccountLimit& limit) { limit_ = limit; }
  void Trim(std::int64_t free);

  /// Takes spent tokens off the level.
  void Charge(std::int64_t tokens) { level_ -= tokens; }

  /// Gives tokens of an earlier charge back, as far as the pool had room ever
  /// since. A later full pool would have thrown them away. Returns how many.
  std::int64_t Credit(std::int64_t tokens, CreditAge age);

  std::int64_t level() const { return level_; }
  const AccountLimit& limit() const { return limit_; }
  std::int64_t TakeOverflow();

 private:
  std::int64_t Room() const;
  void NoteRoom(MonoTime now);

  AccountLimit limit_;
  std::int64_t level_;
  std::int64_t unknown_;
  std::int64_t overflow_ = 0;
  MonoTime accrued_at_;
  RoomHistory overflow_room_;
  RoomHistory recent_room_;
  RoomHistory old_room_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_TOKEN_POOL_H_
