#include <chrono>
#include <cstdint>
#include <string>

#include <criterion/criterion.h>

#include "mangoport/fleet/config_feed.h"
#include "mangoport/fleet/feed_tracker.h"
#include "mangoport/fleet/server_relay.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{seconds(500)};
constexpr FeedTrackerSettings kSettings{.interval = milliseconds(900),
                                        .patience = milliseconds(1500)};

FeedConfirmation ConfirmationAt(BootTime time) {
  return {.sent_at = time - milliseconds(5), .answered_at = time};
}

/// A position in the store's first timeline.
StorePosition At(std::uint64_t offset) {
  return {.timeline = 1, .offset = offset};
}

/// A position after the store was restored once.
StorePosition Restored(std::uint64_t offset) {
  return {.timeline = 2, .offset = offset};
}

FeedUpdate UpdateAt(BootTime time, std::uint64_t from, std::uint64_t position) {
  return {.position = At(position),
          .complete_from = from,
          .proof = ConfirmationAt(time)};
}

Test(feed_track, without_readers_the_host_polls_the_feed) {
  FeedTracker track(kSettings);
  cr_assert(track.Wait(kStart) == Duration::zero());
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  cr_assert(track.Wait(kStart) == milliseconds(900));
}

// With a hundred hosts and three readers, only the readers' calls reach the
// store while there are few changes.
Test(feed_track, recent_updates_replace_reads) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  for (int i = 1; i < 100; ++i) {
    const BootTime now = kStart + milliseconds(600) * i;
    cr_assert_eq(
        track.OnFeedUpdate(UpdateAt(now - milliseconds(300), 10, 10 + i)),
        FeedUpdateCoverage::kCurrent);
    cr_assert(track.Wait(now) > Duration::zero());
  }
  cr_assert_eq(*track.position(), At(109));
}

Test(feed_track, a_host_polls_the_feed_once_reader_updates_time_out) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  track.OnFeedUpdate(UpdateAt(kStart + seconds(1), 10, 12));
  cr_assert(track.Wait(kStart + seconds(1)) == milliseconds(1500));
  cr_assert_not(track.ReadsFeedDirectly(kStart + seconds(2)));
  cr_assert(track.ReadsFeedDirectly(kStart + milliseconds(2500)));
  cr_assert(track.Wait(kStart + milliseconds(2500)) == Duration::zero());
}

Test(feed_track, an_update_that_leaves_a_gap_is_not_applied) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  cr_assert_eq(track.OnFeedUpdate(UpdateAt(kStart + seconds(9), 11, 20)),
               FeedUpdateCoverage::kBehind);
  cr_assert_eq(*track.position(), At(10));
  cr_assert(track.ReadsFeedDirectly(kStart + seconds(9)));
  track.RequestImmediateRead();
  cr_assert(track.Wait(kStart) == Duration::zero());
}

// Datagrams that waited in the receive buffer of a paused host must not count
// as recent confirmations.
Test(feed_track, an_update_of_unknown_age_confirms_nothing) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  FeedUpdate update = UpdateAt(kStart, 10, 14);
  update.proof.reset();
  cr_assert_eq(track.OnFeedUpdate(update), FeedUpdateCoverage::kCurrent);
  cr_assert_eq(*track.position(), At(14));
  cr_assert(track.ReadsFeedDirectly(kStart + milliseconds(1)));
}

Test(feed_track, a_read_behind_a_newer_update_is_outdated) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  track.OnFeedUpdate(UpdateAt(kStart, 10, 20));
  cr_assert_eq(track.OnRead(ConfirmationAt(kStart), At(15), /*whole=*/false),
               FeedReadUse::kPassed);
  cr_assert_eq(*track.position(), At(20));
  cr_assert_eq(track.OnRead(ConfirmationAt(kStart), At(25), /*whole=*/false),
               FeedReadUse::kApply);
}

// A host sent a read that had stopped short to the others as proof that nothing
// was newer, and waited with its next read for theirs.
Test(feed_track, a_short_read_is_neither_told_nor_followed_by_a_pause) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  const BootTime now = kStart + seconds(1);
  track.OnFeedUpdate(UpdateAt(now, 10, 12));
  track.OnRead(ConfirmationAt(now), At(20), /*whole=*/false, /*log_end=*/30);
  cr_assert(track.Wait(now) == Duration::zero());
  const auto update = track.MakeFeedUpdate(now, 12);
  cr_assert_eq(update->position, At(20));
  cr_assert(update->proof->answered_at == kStart);
  track.OnRead(ConfirmationAt(now), At(30), /*whole=*/false, /*log_end=*/30);
  cr_assert(track.Wait(now) > Duration::zero());
  cr_assert(track.MakeFeedUpdate(now, 12)->proof->answered_at == now);
}

// The end that a read stated in the earlier timeline says nothing about the
// log of a restored store.
Test(feed_track, a_restore_ends_the_wait_for_an_earlier_end) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  track.OnRead(ConfirmationAt(kStart), At(20), /*whole=*/false, /*log_end=*/30);
  cr_assert(track.is_behind());
  track.OnRead(ConfirmationAt(kStart), Restored(5), /*whole=*/true);
  cr_assert_not(track.is_behind());
}

Test(feed_track, only_own_reads_are_reported_as_confirmations) {
  FeedTracker track(kSettings);
  cr_assert_not(track.MakeFeedUpdate(kStart, 0).has_value());
  track.OnRead(ConfirmationAt(kStart), At(10), /*whole=*/true);
  track.OnFeedUpdate(UpdateAt(kStart + seconds(1), 10, 12));
  const auto update = track.MakeFeedUpdate(kStart + seconds(1), 7);
  cr_assert(update.has_value());
  cr_assert_eq(update->position, At(12));
  cr_assert(update->proof->answered_at == kStart);
  cr_assert_not(track.MakeFeedUpdate(kStart + seconds(2), 7).has_value());
}

// The readers' small new positions seemed to cover the large old ones, and 13
// of 20 hosts never applied a configuration.
Test(feed_track, an_update_after_a_restore_covers_no_earlier_position) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(50), /*whole=*/true);
  FeedUpdate update = UpdateAt(kStart + seconds(1), 3, 5);
  update.position = Restored(5);
  cr_assert_eq(track.OnFeedUpdate(update), FeedUpdateCoverage::kBehind);
  cr_assert_eq(*track.position(), At(50));
  cr_assert(track.ReadsFeedDirectly(kStart + seconds(2)));
}

Test(feed_track, a_host_of_an_earlier_timeline_confirms_nothing) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), Restored(5), /*whole=*/true);
  cr_assert_eq(track.OnFeedUpdate(UpdateAt(kStart + seconds(1), 3, 50)),
               FeedUpdateCoverage::kOutdated);
  cr_assert_eq(*track.position(), Restored(5));
  cr_assert(track.ReadsFeedDirectly(kStart + seconds(1)));
}

// The store had given the old offset out again, so no error showed the gap.
Test(feed_track, a_read_that_crosses_a_restore_is_no_continuation) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(5), /*whole=*/true);
  cr_assert_eq(
      track.OnRead(ConfirmationAt(kStart), Restored(7), /*whole=*/false),
      FeedReadUse::kNoContinuation);
  cr_assert_not(track.position().has_value());
  cr_assert(track.Wait(kStart) == Duration::zero());
  cr_assert_eq(track.OnRead(ConfirmationAt(kStart), Restored(7),
                            /*whole=*/true),
               FeedReadUse::kApply);
  cr_assert_eq(*track.position(), Restored(7));
}

Test(feed_track, a_late_answer_of_an_earlier_timeline_is_not_used) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(50), /*whole=*/true);
  track.OnTimeline(kStart, 2, TimelineSource::kPeer);
  for (const bool whole : {false, true})
    cr_assert_eq(track.OnRead(ConfirmationAt(kStart), At(51), whole),
                 FeedReadUse::kEarlierTimeline);
  cr_assert_not(track.position().has_value());
  cr_assert_not(track.MakeFeedUpdate(kStart, 0).has_value());
}

// A large fleet that learns of a restore from its readers must not read all at
// once; the readers themselves must not wait.
Test(feed_track, hosts_spread_their_reads_after_a_restore) {
  FeedTrackerSettings settings = kSettings;
  settings.restart_delay = milliseconds(300);
  for (const bool reader : {false, true}) {
    FeedTracker track(settings);
    track.set_reader(reader);
    track.OnRead(ConfirmationAt(kStart), At(50), /*whole=*/true);
    const auto given_up = track.OnTimeline(kStart, 2, TimelineSource::kPeer);
    cr_assert(given_up == At(50));
    FeedUpdate update = UpdateAt(kStart, 3, 5);
    update.position = Restored(5);
    cr_assert_eq(track.OnFeedUpdate(update), FeedUpdateCoverage::kBehind);
    track.RequestImmediateRead();
    cr_assert(track.Wait(kStart) ==
              (reader ? Duration::zero() : milliseconds(300)));
    cr_assert(track.Wait(kStart + milliseconds(300)) == Duration::zero());
  }
}

Test(feed_track, the_stores_own_answer_restarts_the_feed_at_once) {
  FeedTrackerSettings settings = kSettings;
  settings.restart_delay = milliseconds(300);
  FeedTracker track(settings);
  track.OnRead(ConfirmationAt(kStart), At(50), /*whole=*/true);
  track.OnTimeline(kStart, 2, TimelineSource::kStore);
  cr_assert(track.Wait(kStart) == Duration::zero());
}

Test(feed_track, several_restores_in_a_row_are_one_restart) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(50), /*whole=*/true);
  cr_assert(track.OnTimeline(kStart, 3, TimelineSource::kPeer).has_value());
  cr_assert_not(track.OnTimeline(kStart, 2, TimelineSource::kPeer).has_value());
  cr_assert_eq(
      track.OnRead(ConfirmationAt(kStart), Restored(9), /*whole=*/true),
      FeedReadUse::kEarlierTimeline);
  cr_assert_not(track.OnTimeline(kStart, 4, TimelineSource::kPeer).has_value());
}

// The list was discarded while a read was under way; its result lacks all that
// came before.
Test(feed_track, a_read_without_a_position_is_no_continuation) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), At(50), /*whole=*/true);
  track.Restart();
  cr_assert_eq(track.OnRead(ConfirmationAt(kStart), At(52), /*whole=*/false),
               FeedReadUse::kNoContinuation);
  cr_assert(track.Wait(kStart) == Duration::zero());
}

ConfigRead WholeConfig(const StorePosition& next, std::uint64_t version) {
  return {.next = next, .whole = true, .version = version};
}

Test(config_feed, a_restored_older_version_is_not_applied) {
  ConfigFeed feed(kSettings);
  cr_assert(feed.OnRead(ConfirmationAt(kStart), WholeConfig(At(9), 16)).apply);
  cr_assert_not(
      feed.OnRead(ConfirmationAt(kStart), WholeConfig(Restored(5), 14)).apply);
  cr_assert_eq(*feed.version(), 16);
  cr_assert(
      feed.OnRead(ConfirmationAt(kStart), {.next = Restored(6), .version = 18})
          .apply);
}

// A reader that had applied the lost version told a host that had not that it
// lacked nothing when the operator wrote that version again.
Test(config_feed, a_rewritten_version_reaches_a_host_that_lacks_it) {
  ConfigFeed reader(kSettings);
  ConfigFeed other(kSettings);
  reader.OnRead(ConfirmationAt(kStart), WholeConfig(At(9), 16));
  other.OnRead(ConfirmationAt(kStart), WholeConfig(At(5), 14));
  for (ConfigFeed* it : {&reader, &other})
    it->OnRead(ConfirmationAt(kStart), WholeConfig(Restored(5), 14));
  cr_assert_not(
      reader
          .OnRead(ConfirmationAt(kStart), {.next = Restored(6), .version = 16})
          .apply);
  const auto update = reader.OwnUpdate(kStart);
  cr_assert(update.has_value());
  cr_assert_eq(other.tracker().OnFeedUpdate(*update),
               FeedUpdateCoverage::kBehind);
}

Test(config_feed, a_host_without_a_configuration_tells_nothing) {
  ConfigFeed feed(kSettings);
  feed.OnRead(ConfirmationAt(kStart), {.next = At(0), .whole = true});
  cr_assert_not(feed.OwnUpdate(kStart).has_value());
}

ServerBatch Batch(std::uint64_t next, std::size_t changes) {
  ServerBatch out{.next = At(next), .changes = {}};
  for (std::size_t i = 0; i < changes; ++i)
    out.changes.push_back({ServerId("s" + std::to_string(i)), std::nullopt});
  return out;
}

Test(server_relay, since_returns_only_the_missing_changes) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(At(100));
  relay.Add(kNow, Batch(105, 1));
  relay.Add(kNow, Batch(110, 0));
  relay.Add(kNow, Batch(115, 2));
  cr_assert_eq(relay.position(), At(115));
  cr_assert_eq(relay.complete_from(), At(100));
  cr_assert_eq(relay.changed_at(), At(115));
  cr_assert_eq(relay.Since(kNow, At(100)).size(), 2);
  cr_assert_eq(relay.Since(kNow, At(105)).size(), 1);
  cr_assert_eq(relay.Since(kNow, At(115)).size(), 0);
}

Test(server_relay, dropping_old_changes_advances_complete_from) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(At(100));
  relay.Add(kNow, Batch(105, 1));
  relay.Add(kNow + seconds(2), Batch(110, 1));
  cr_assert_eq(relay.Since(kNow + seconds(3), At(0)).size(), 1);
  cr_assert_eq(relay.complete_from(), At(105));
}

Test(server_relay, a_host_in_another_timeline_is_sent_no_changes) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(Restored(5));
  ServerBatch batch = Batch(0, 1);
  batch.next = Restored(6);
  relay.Add(kNow, batch);
  cr_assert_eq(relay.Since(kNow, At(0)).size(), 0);
  cr_assert_eq(relay.Since(kNow, Restored(5)).size(), 1);
}

// All servers of an availability zone register at once after an outage of the
// zone; hosts then read the list directly.
Test(server_relay, a_batch_above_the_limit_is_not_buffered) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(At(100));
  relay.Add(kNow, Batch(200, 100));
  cr_assert_eq(relay.Since(kNow, At(0)).size(), 0);
  cr_assert_eq(relay.complete_from(), At(200));
}

}  // namespace
}  // namespace mangoport
