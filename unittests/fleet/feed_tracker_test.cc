#include <chrono>
#include <cstdint>
#include <string>

#include <criterion/criterion.h>

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

FeedUpdate UpdateAt(BootTime time, std::uint64_t from, std::uint64_t position) {
  return {.position = position,
          .complete_from = from,
          .proof = ConfirmationAt(time)};
}

Test(feed_track, without_readers_the_host_polls_the_feed) {
  FeedTracker track(kSettings);
  cr_assert(track.Wait(kStart) == Duration::zero());
  track.OnRead(ConfirmationAt(kStart), 10);
  cr_assert(track.Wait(kStart) == milliseconds(900));
}

// With a hundred hosts and three readers, only the readers' calls reach the
// store while there are few changes.
Test(feed_track, recent_updates_replace_reads) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), 10);
  for (int i = 1; i < 100; ++i) {
    const BootTime now = kStart + milliseconds(600) * i;
    cr_assert_eq(
        track.OnFeedUpdate(UpdateAt(now - milliseconds(300), 10, 10 + i)),
        FeedUpdateCoverage::kCurrent);
    cr_assert(track.Wait(now) > Duration::zero());
  }
  cr_assert_eq(*track.position(), 109);
}

Test(feed_track, a_host_polls_the_feed_once_reader_updates_time_out) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), 10);
  track.OnFeedUpdate(UpdateAt(kStart + seconds(1), 10, 12));
  cr_assert(track.Wait(kStart + seconds(1)) == milliseconds(1500));
  cr_assert_not(track.ReadsFeedDirectly(kStart + seconds(2)));
  cr_assert(track.ReadsFeedDirectly(kStart + milliseconds(2500)));
  cr_assert(track.Wait(kStart + milliseconds(2500)) == Duration::zero());
}

Test(feed_track, an_update_that_leaves_a_gap_is_not_applied) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), 10);
  cr_assert_eq(track.OnFeedUpdate(UpdateAt(kStart + seconds(9), 11, 20)),
               FeedUpdateCoverage::kBehind);
  cr_assert_eq(*track.position(), 10);
  cr_assert(track.ReadsFeedDirectly(kStart + seconds(9)));
  track.RequestImmediateRead();
  cr_assert(track.Wait(kStart) == Duration::zero());
}

// Datagrams that waited in the receive buffer of a paused host must not count
// as recent confirmations.
Test(feed_track, an_update_of_unknown_age_confirms_nothing) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), 10);
  FeedUpdate update = UpdateAt(kStart, 10, 14);
  update.proof.reset();
  cr_assert_eq(track.OnFeedUpdate(update), FeedUpdateCoverage::kCurrent);
  cr_assert_eq(*track.position(), 14);
  cr_assert(track.ReadsFeedDirectly(kStart + milliseconds(1)));
}

Test(feed_track, a_read_behind_a_newer_update_is_outdated) {
  FeedTracker track(kSettings);
  track.OnRead(ConfirmationAt(kStart), 10);
  track.OnFeedUpdate(UpdateAt(kStart, 10, 20));
  cr_assert_not(track.OnRead(ConfirmationAt(kStart), 15));
  cr_assert_eq(*track.position(), 20);
  cr_assert(track.OnRead(ConfirmationAt(kStart), 25));
}

Test(feed_track, only_own_reads_are_reported_as_confirmations) {
  FeedTracker track(kSettings);
  cr_assert_not(track.MakeFeedUpdate(kStart, 0).has_value());
  track.OnRead(ConfirmationAt(kStart), 10);
  track.OnFeedUpdate(UpdateAt(kStart + seconds(1), 10, 12));
  const auto update = track.MakeFeedUpdate(kStart + seconds(1), 7);
  cr_assert(update.has_value());
  cr_assert_eq(update->position, 12);
  cr_assert(update->proof->answered_at == kStart);
  cr_assert_not(track.MakeFeedUpdate(kStart + seconds(2), 7).has_value());
}

ServerBatch Batch(std::uint64_t next, std::size_t changes) {
  ServerBatch out{.next = next, .changes = {}};
  for (std::size_t i = 0; i < changes; ++i)
    out.changes.push_back({ServerId("s" + std::to_string(i)), std::nullopt});
  return out;
}

Test(server_relay, since_returns_only_the_missing_changes) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(100);
  relay.Add(kNow, Batch(105, 1));
  relay.Add(kNow, Batch(110, 0));
  relay.Add(kNow, Batch(115, 2));
  cr_assert_eq(relay.position(), 115);
  cr_assert_eq(relay.complete_from(), 100);
  cr_assert_eq(relay.changed_at(), 115);
  cr_assert_eq(relay.Since(kNow, 100).size(), 2);
  cr_assert_eq(relay.Since(kNow, 105).size(), 1);
  cr_assert_eq(relay.Since(kNow, 115).size(), 0);
}

Test(server_relay, dropping_old_changes_advances_complete_from) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(100);
  relay.Add(kNow, Batch(105, 1));
  relay.Add(kNow + seconds(2), Batch(110, 1));
  cr_assert_eq(relay.Since(kNow + seconds(3), 0).size(), 1);
  cr_assert_eq(relay.complete_from(), 105);
}

// All servers of an availability zone register at once after an outage of the
// zone; hosts then read the list directly.
Test(server_relay, a_batch_above_the_limit_is_not_buffered) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(100);
  relay.Add(kNow, Batch(200, 100));
  cr_assert_eq(relay.Since(kNow, 0).size(), 0);
  cr_assert_eq(relay.complete_from(), 200);
}

}  // namespace
}  // namespace mangoport
