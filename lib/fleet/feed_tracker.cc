#include "mangoport/fleet/feed_tracker.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

FeedReadUse FeedTracker::OnRead(const FeedConfirmation& read,
                                const StorePosition& next,
                                bool whole,
                                std::uint64_t log_end) {
  read_soon_ = false;
  if (next.timeline < timeline_)
    return FeedReadUse::kEarlierTimeline;
  if (next.timeline > timeline_)
    catch_up_.Reset();
  timeline_ = next.timeline;
  const bool continues = (position_ && position_->timeline == next.timeline) ||
                         MutantEnabled("reads_cross_timelines");
  if (!whole && !continues) {
    position_.reset();
    return FeedReadUse::kNoContinuation;
  }
  last_answer_at_ = read.answered_at;
  restart_due_.reset();
  const bool passed = position_ && next < *position_;
  if (!passed)
    position_ = next;
  catch_up_.OnRead(read, log_end, position_->offset);
  return passed ? FeedReadUse::kPassed : FeedReadUse::kApply;
}

FeedUpdateCoverage FeedTracker::Judge(const FeedUpdate& update) const {
  if (update.position.timeline < timeline_)
    return FeedUpdateCoverage::kOutdated;
  const bool comparable =
      position_ && (position_->timeline == update.position.timeline ||
                    MutantEnabled("updates_cross_timelines"));
  const bool covers_gap =
      comparable && position_->offset >= update.complete_from;
  return covers_gap || (position_ && MutantEnabled("gap_overlooked"))
             ? FeedUpdateCoverage::kCurrent
             : FeedUpdateCoverage::kBehind;
}

FeedUpdateCoverage FeedTracker::OnFeedUpdate(const FeedUpdate& update) {
  const FeedUpdateCoverage coverage = Judge(update);
  if (coverage != FeedUpdateCoverage::kCurrent)
    return coverage;
  position_ = std::max(*position_, update.position);
  catch_up_.OnPosition(position_->offset);
  if (update.proof) {
    const BootTime confirmed_at = update.proof->answered_at;
    relayed_confirmation_at_ =
        std::max(relayed_confirmation_at_.value_or(confirmed_at), confirmed_at);
  }
  return FeedUpdateCoverage::kCurrent;
}

std::optional<StorePosition> FeedTracker::OnTimeline(BootTime now,
                                                     StoreTimeline timeline,
                                                     TimelineSource source) {
  if (timeline <= timeline_)
    return std::nullopt;
  timeline_ = timeline;
  catch_up_.Reset();
  if (MutantEnabled("updates_cross_timelines") ||
      MutantEnabled("reads_cross_timelines"))
    return std::nullopt;
  if (position_ && source == TimelineSource::kPeer)
    restart_due_ = now + settings_.restart_delay;
  return std::exchange(position_, std::nullopt);
}

bool FeedTracker::RequestImmediateRead() {
  return !std::exchange(read_soon_, true);
}

bool FeedTracker::ReadsFeedDirectly(BootTime now) const {
  return reader_ || !relayed_confirmation_at_ ||
         now - *relayed_confirmation_at_ >= settings_.patience;
}

Duration FeedTracker::Wait(BootTime now) const {
  if (!position_ && restart_due_ && !reader_)
    return std::max(*restart_due_ - now, Duration::zero());
  if (read_soon_ || !last_answer_at_ || !position_ || is_behind())
    return Duration::zero();
  if (relayed_confirmation_at_ && !reader_ &&
      MutantEnabled("readers_trusted_for_ever"))
    return settings_.patience;
  const BootTime due =
      ReadsFeedDirectly(now)
          ? *last_answer_at_ + settings_.interval
          : std::max(*last_answer_at_, *relayed_confirmation_at_) +
                settings_.patience;
  return std::max(due - now, Duration::zero());
}

std::optional<FeedUpdate> FeedTracker::MakeFeedUpdate(
    BootTime now,
    std::uint64_t complete_from) const {
  if (!position_ || !confirmation() ||
      now - confirmation()->answered_at >= settings_.patience)
    return std::nullopt;
  return FeedUpdate{.position = *position_,
                    .complete_from = complete_from,
                    .proof = confirmation()};
}

}  // namespace mangoport
