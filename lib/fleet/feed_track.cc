#include "mangoport/fleet/feed_track.h"

#include <algorithm>

#include "mangoport/core/mutant.h"

namespace mangoport {

bool FeedTrack::OnRead(const FeedProof& proof, std::uint64_t next) {
  proof_ = proof;
  read_soon_ = false;
  if (position_ && next < *position_)
    return false;
  position_ = next;
  return true;
}

WordUse FeedTrack::Judge(const FeedWord& word) const {
  const bool reaches_back = position_ && *position_ >= word.complete_from;
  return reaches_back || (position_ && MutantEnabled("gap_overlooked"))
             ? WordUse::kCurrent
             : WordUse::kBehind;
}

WordUse FeedTrack::OnWord(const FeedWord& word) {
  if (Judge(word) == WordUse::kBehind)
    return WordUse::kBehind;
  position_ = std::max(*position_, word.position);
  if (word.proof) {
    const BootTime then = word.proof->answered_at;
    relayed_at_ = std::max(relayed_at_.value_or(then), then);
  }
  return WordUse::kCurrent;
}

bool FeedTrack::ReadsItself(BootTime now) const {
  return reader_ || !relayed_at_ || now - *relayed_at_ >= settings_.patience;
}

Duration FeedTrack::Wait(BootTime now) const {
  if (read_soon_ || !proof_ || !position_)
    return Duration::zero();
  if (relayed_at_ && !reader_ && MutantEnabled("readers_trusted_for_ever"))
    return settings_.patience;
  const BootTime own = proof_->answered_at;
  const BootTime due = ReadsItself(now)
                           ? own + settings_.interval
                           : std::max(own, *relayed_at_) + settings_.patience;
  return std::max(due - now, Duration::zero());
}

std::optional<FeedWord> FeedTrack::OwnWord(BootTime now,
                                           std::uint64_t complete_from) const {
  if (!position_ || !proof_ || now - proof_->answered_at >= settings_.patience)
    return std::nullopt;
  return FeedWord{
      .position = *position_, .complete_from = complete_from, .proof = proof_};
}

}  // namespace mangoport
