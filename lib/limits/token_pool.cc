#include "mangoport/limits/token_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

void RoomHistory::Note(MonoTime now, std::int64_t room) {
  if (now - start_ >= window_) {
    previous_ = current_;
    current_ = room;
    start_ = now;
  }
  current_ = std::min(current_, room);
}

std::int64_t RoomHistory::least() const {
  return std::max<std::int64_t>(0, std::min(current_, previous_));
}

void RoomHistory::Lower(std::int64_t tokens) {
  current_ -= tokens;
  previous_ -= tokens;
}

TokenPool::TokenPool(MonoTime now,
                     const AccountLimit& limit,
                     const BudgetSettings& settings,
                     std::int64_t level,
                     std::int64_t unknown)
    : limit_(limit),
      level_(level),
      unknown_(unknown),
      accrued_at_(now),
      overflow_room_(now, settings.overflow_room_window),
      recent_room_(now, settings.recent_room_window),
      old_room_(now, settings.old_room_window) {}

void TokenPool::Accrue(MonoTime now, double max_clock_drift) {
  if (now <= accrued_at_)
    return;
  const double slowed =
      static_cast<double>(limit_.tokens_per_second) /
      (1 + (MutantEnabled("drift_ignored_in_refill") ? 0.0 : max_clock_drift));
  const double seconds =
      std::chrono::duration<double>(now - accrued_at_).count();
  const auto tokens = static_cast<std::int64_t>(std::floor(slowed * seconds));
  if (tokens > 0) {
    // The time of a part of a token counts for the next refill.
    const Duration used(static_cast<std::int64_t>(
        std::ceil(static_cast<double>(tokens) / slowed * 1e9)));
    accrued_at_ = std::min(now, accrued_at_ + used);
    const std::int64_t kept =
        std::clamp<std::int64_t>(tokens, 0, std::max<std::int64_t>(0, Room()));
    level_ += kept;
    overflow_ += tokens - kept;
  }
  if (limit_.tokens_per_second == 0)
    accrued_at_ = now;
  NoteRoom(now);
}

void TokenPool::ForgetUnknown(MonoTime now) {
  unknown_ = 0;
  accrued_at_ = now;
}

void TokenPool::Trim(std::int64_t free) {
  const std::int64_t above = level_ - limit_.burst_tokens;
  if (above > 0 && free > 0)
    level_ -= std::min(above, free);
}

std::int64_t TokenPool::Credit(std::int64_t tokens, CreditAge age) {
  const RoomHistory& history = age == CreditAge::kOverflow ? overflow_room_
                               : age == CreditAge::kRecent ? recent_room_
                                                           : old_room_;
  std::int64_t credited = std::min(tokens, history.least());
  if (MutantEnabled("credit_ignores_past_room"))
    credited = std::min(tokens, Room());
  if (credited <= 0)
    return 0;
  level_ += credited;
  overflow_room_.Lower(credited);
  recent_room_.Lower(credited);
  old_room_.Lower(credited);
  return credited;
}

std::int64_t TokenPool::TakeOverflow() {
  return std::exchange(overflow_, 0);
}

std::int64_t TokenPool::Room() const {
  return limit_.burst_tokens - unknown_ - level_;
}

void TokenPool::NoteRoom(MonoTime now) {
  overflow_room_.Note(now, Room());
  recent_room_.Note(now, Room());
  old_room_.Note(now, Room());
}

}  // namespace mangoport
