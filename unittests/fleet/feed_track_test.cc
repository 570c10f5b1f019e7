#include <chrono>
#include <cstdint>
#include <string>

#include <criterion/criterion.h>

#include "mangoport/fleet/feed_track.h"
#include "mangoport/fleet/server_relay.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{seconds(500)};
constexpr FeedTrackSettings kSettings{.interval = milliseconds(900),
                                      .patience = milliseconds(1500)};

FeedProof ProofAt(BootTime time) {
  return {.sent_at = time - milliseconds(5), .answered_at = time};
}

FeedWord WordAt(BootTime time, std::uint64_t from, std::uint64_t position) {
  return {.position = position, .complete_from = from, .proof = ProofAt(time)};
}

Test(feed_track, a_host_without_readers_reads_for_itself) {
  FeedTrack track(kSettings);
  cr_assert(track.Wait(kStart) == Duration::zero());
  track.OnRead(ProofAt(kStart), 10);
  cr_assert(track.Wait(kStart) == milliseconds(900));
}

// A hundred hosts behind three readers: a calm day costs the store the readers'
// calls only.
Test(feed_track, fresh_words_stand_in_for_reads) {
  FeedTrack track(kSettings);
  track.OnRead(ProofAt(kStart), 10);
  for (int i = 1; i < 100; ++i) {
    const BootTime now = kStart + milliseconds(600) * i;
    cr_assert_eq(track.OnWord(WordAt(now - milliseconds(300), 10, 10 + i)),
                 WordUse::kCurrent);
    cr_assert(track.Wait(now) > Duration::zero());
  }
  cr_assert_eq(*track.position(), 109);
}

Test(feed_track, a_host_reads_once_the_readers_have_fallen_silent) {
  FeedTrack track(kSettings);
  track.OnRead(ProofAt(kStart), 10);
  track.OnWord(WordAt(kStart + seconds(1), 10, 12));
  cr_assert(track.Wait(kStart + seconds(1)) == milliseconds(1500));
  cr_assert_not(track.ReadsItself(kStart + seconds(2)));
  cr_assert(track.ReadsItself(kStart + milliseconds(2500)));
  cr_assert(track.Wait(kStart + milliseconds(2500)) == Duration::zero());
}

Test(feed_track, a_word_that_does_not_reach_back_proves_nothing) {
  FeedTrack track(kSettings);
  track.OnRead(ProofAt(kStart), 10);
  cr_assert_eq(track.OnWord(WordAt(kStart + seconds(9), 11, 20)),
               WordUse::kBehind);
  cr_assert_eq(*track.position(), 10);
  cr_assert(track.ReadsItself(kStart + seconds(9)));
  track.ReadSoon();
  cr_assert(track.Wait(kStart) == Duration::zero());
}

// Datagrams that lay in the buffer of a host that stood still.
Test(feed_track, a_word_of_unknown_age_is_no_proof) {
  FeedTrack track(kSettings);
  track.OnRead(ProofAt(kStart), 10);
  FeedWord word = WordAt(kStart, 10, 14);
  word.proof.reset();
  cr_assert_eq(track.OnWord(word), WordUse::kCurrent);
  cr_assert_eq(*track.position(), 14);
  cr_assert(track.ReadsItself(kStart + milliseconds(1)));
}

Test(feed_track, a_read_that_a_word_overtook_brings_nothing) {
  FeedTrack track(kSettings);
  track.OnRead(ProofAt(kStart), 10);
  track.OnWord(WordAt(kStart, 10, 20));
  cr_assert_not(track.OnRead(ProofAt(kStart), 15));
  cr_assert_eq(*track.position(), 20);
  cr_assert(track.OnRead(ProofAt(kStart), 25));
}

Test(feed_track, only_an_own_read_is_told_to_others) {
  FeedTrack track(kSettings);
  cr_assert_not(track.OwnWord(kStart, 0).has_value());
  track.OnRead(ProofAt(kStart), 10);
  track.OnWord(WordAt(kStart + seconds(1), 10, 12));
  const auto word = track.OwnWord(kStart + seconds(1), 7);
  cr_assert(word.has_value());
  cr_assert_eq(word->position, 12);
  cr_assert(word->proof->answered_at == kStart);
  cr_assert_not(track.OwnWord(kStart + seconds(2), 7).has_value());
}

ServerBatch Batch(std::uint64_t next, std::size_t changes) {
  ServerBatch out{.next = next, .changes = {}};
  for (std::size_t i = 0; i < changes; ++i)
    out.changes.push_back({ServerId("s" + std::to_string(i)), std::nullopt});
  return out;
}

Test(server_relay, a_host_gets_only_the_changes_it_lacks) {
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

Test(server_relay, old_changes_go_and_the_word_says_so) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(100);
  relay.Add(kNow, Batch(105, 1));
  relay.Add(kNow + seconds(2), Batch(110, 1));
  cr_assert_eq(relay.Since(kNow + seconds(3), 0).size(), 1);
  cr_assert_eq(relay.complete_from(), 105);
}

// An availability zone comes back and all its servers register at once.
Test(server_relay, a_flood_of_changes_is_left_to_the_hosts_own_reads) {
  constexpr MonoTime kNow{seconds(50)};
  ServerRelay relay;
  relay.Restart(100);
  relay.Add(kNow, Batch(200, 100));
  cr_assert_eq(relay.Since(kNow, 0).size(), 0);
  cr_assert_eq(relay.complete_from(), 200);
}

}  // namespace
}  // namespace mangoport
