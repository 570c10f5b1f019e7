#include "mangoport/fleet/server_feed.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

ServerFeed::ServerFeed(const ServerFeedSettings& settings)
    : settings_(settings),
      track_(settings.tracker),
      directory_(settings.directory),
      repair_pause_(settings.first_repair_pause) {}

ServerFeedOutcome ServerFeed::OnRead(MonoTime now,
                                     const FeedConfirmation& read,
                                     const ServerNews& news) {
  ServerFeedOutcome out;
  directory_.OnStoreAnswered(now);
  out.read_use = track_.OnRead(read, news.next, news.whole, news.log_end);
  directory_.set_catching_up(track_.is_behind());
  const bool passed = out.read_use == FeedReadUse::kPassed;
  has_list_ = has_list_ || passed || out.read_use == FeedReadUse::kApply;
  if (out.read_use != FeedReadUse::kApply)
    return out;
  if (news.whole) {
    const bool restored = news.next.timeline != relay_.position().timeline;
    ApplyWhole(now,
               restored && !MutantEnabled("old_copy_believed")
                   ? WholeListKind::kRestored
                   : WholeListKind::kPresent,
               news, out);
    out.news = restored || !out.effects.empty();
  } else {
    const StorePosition changed_before = relay_.changed_at();
    ApplyBatch(now, {.next = news.next, .changes = news.changes}, out);
    out.news = relay_.changed_at() != changed_before;
  }
  out.news = out.news && track_.ReadsFeedDirectly(read.answered_at);
  return out;
}

void ServerFeed::ApplyWhole(MonoTime now,
                            WholeListKind kind,
                            const ServerNews& news,
                            ServerFeedOutcome& outcome) {
  std::vector<ServerEntry> entries;
  for (const ServerChange& it : news.changes) {
    if (it.entry)
      entries.push_back(*it.entry);
  }
  listing_.Replace(entries);
  directory_.Replace(now, kind, entries,
                     [&](const ServerId& id, ServerChangeEffect effect) {
                       outcome.effects.push_back(
                           {.id = id, .effect = effect, .position = news.next});
                     });
  relay_.Restart(news.next);
  exact_from_ = std::max(news.next, news.exact_from);
}

void ServerFeed::ApplyBatch(MonoTime now,
                            const ServerBatch& batch,
                            ServerFeedOutcome& outcome) {
  ServerBatch changed{.next = batch.next, .changes = {}};
  for (const ServerChange& it : batch.changes) {
    const bool listing_changed = listing_.Apply(it);
    const ServerChangeEffect effect = directory_.Apply(now, it);
    if (effect != ServerChangeEffect::kNone)
      outcome.effects.push_back(
          {.id = it.id, .effect = effect, .position = batch.next});
    const bool passed_on = MutantEnabled("unchanged_renewal_dropped")
                               ? effect != ServerChangeEffect::kNone
                               : listing_changed;
    if (passed_on)
      changed.changes.push_back(it);
  }
  relay_.Add(now, std::move(changed));
}

ServerFeedOutcome ServerFeed::OnPeerUpdate(MonoTime now,
                                           const ServerFeedUpdate& update) {
  ServerFeedOutcome out;
  // An update that does not reach back far enough proves nothing here. Another
  // reader's may, or this host reads for itself soon.
  if (track_.Judge(update.feed) != FeedUpdateCoverage::kCurrent)
    return out;
  for (const ServerBatch& it : update.batches) {
    if (it.next > relay_.position() && it.next <= update.feed.position)
      ApplyBatch(now, it, out);
  }
  track_.OnFeedUpdate(update.feed);
  directory_.set_catching_up(track_.is_behind());
  if (update.feed.position > relay_.position())
    relay_.Add(now, {.next = update.feed.position, .changes = {}});
  Compare(now, update, out);
  return out;
}

void ServerFeed::Compare(MonoTime now,
                         const ServerFeedUpdate& update,
                         ServerFeedOutcome& outcome) {
  const std::optional<std::uint64_t> own = ComparableDigest();
  if (!own || !update.digest || relay_.position() != update.feed.position)
    return;
  if (*own == *update.digest || MutantEnabled("digests_not_compared")) {
    repair_pause_ = settings_.first_repair_pause;
    return;
  }
  if (repaired_at_ && now - *repaired_at_ < repair_pause_)
    return;
  if (repaired_at_)
    repair_pause_ = std::min(repair_pause_ * 2, settings_.longest_repair_pause);
  repaired_at_ = now;
  outcome.difference = ListingDifference{.position = relay_.position(),
                                         .own_digest = *own,
                                         .peer_digest = *update.digest};
  track_.Restart();
}

std::optional<std::uint64_t> ServerFeed::ComparableDigest() const {
  if (!track_.position() || relay_.position() < exact_from_)
    return std::nullopt;
  return listing_.digest();
}

ServerFeedOutcome ServerFeed::Expire(MonoTime now) {
  ServerFeedOutcome out;
  directory_.Expire(now, [&](const ServerId& id, ServerChangeEffect effect) {
    out.effects.push_back(
        {.id = id, .effect = effect, .position = relay_.position()});
  });
  return out;
}

std::optional<ServerFeedUpdate> ServerFeed::OwnUpdate(BootTime now) const {
  const std::optional<FeedUpdate> feed =
      track_.MakeFeedUpdate(now, relay_.changed_at().offset);
  if (!feed)
    return std::nullopt;
  return ServerFeedUpdate{
      .feed = *feed, .batches = {}, .digest = ComparableDigest()};
}

std::optional<ServerFeedUpdate> ServerFeed::OwnUpdateSince(
    MonoTime now,
    BootTime boot_now,
    const StorePosition& position) {
  std::optional<ServerFeedUpdate> out = OwnUpdate(boot_now);
  if (!out)
    return std::nullopt;
  out->batches = relay_.Since(now, position);
  out->feed.complete_from = relay_.complete_from().offset;
  return out;
}

}  // namespace mangoport
