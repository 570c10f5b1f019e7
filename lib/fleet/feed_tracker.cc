#include "mangoport/fleet/feed_tracker.h"

#include <algorithm>

#include "mangoport/core/mutant.h"

namespace mangoport {

bool FeedTracker::OnRead(const FeedConfirmation& read, std::uint64_t next) {
  last_read_ = read;
  read_soon_ = false;
  if (position_ && next < *position_)
    return false;
  position_ = next;
  return true;
}

FeedUpdateCoverage FeedTracker::Judge(const FeedUpdate& update) const {
  const bool covers_gap = position_ && *position_ >= update.complete_from;
  return covers_gap || (position_ && MutantEnabled("gap_overlooked"))
             ? FeedUpdateCoverage::kCurrent
             : FeedUpdateCoverage::kBehind;
}

FeedUpdateCoverage FeedTracker::OnFeedUpdate(const FeedUpdate& update) {
  if (Judge(update) == FeedUpdateCoverage::kBehind)
    return FeedUpdateCoverage::kBehind;
  position_ = std::max(*position_, update.position);
  if (update.proof) {
    const BootTime confirmed_at = update.proof->answered_at;
    relayed_confirmation_at_ =
        std::max(relayed_confirmation_at_.value_or(confirmed_at), confirmed_at);
  }
  return FeedUpdateCoverage::kCurrent;
}

bool FeedTracker::ReadsFeedDirectly(BootTime now) const {
  return reader_ || !relayed_confirmation_at_ ||
         now - *relayed_confirmation_at_ >= settings_.patience;
}

Duration FeedTracker::Wait(BootTime now) const {
  if (read_soon_ || !last_read_ || !position_)
    return Duration::zero();
  if (relayed_confirmation_at_ && !reader_ &&
      MutantEnabled("readers_trusted_for_ever"))
    return settings_.patience;
  const BootTime last_read_at = last_read_->answered_at;
  const BootTime due = ReadsFeedDirectly(now)
                           ? last_read_at + settings_.interval
                           : std::max(last_read_at, *relayed_confirmation_at_) +
                                 settings_.patience;
  return std::max(due - now, Duration::zero());
}

std::optional<FeedUpdate> FeedTracker::MakeFeedUpdate(
    BootTime now,
    std::uint64_t complete_from) const {
  if (!position_ || !last_read_ ||
      now - last_read_->answered_at >= settings_.patience)
    return std::nullopt;
  return FeedUpdate{.position = *position_,
                    .complete_from = complete_from,
                    .proof = last_read_};
}

}  // namespace mangoport
