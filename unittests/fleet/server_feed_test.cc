#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/fleet/server_feed.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
constexpr Duration kPatience = milliseconds(1500);

/// A position in the store's first timeline.
StorePosition At(std::uint64_t offset) {
  return {.timeline = 1, .offset = offset};
}

/// A position after the store was restored once.
StorePosition Restored(std::uint64_t offset) {
  return {.timeline = 2, .offset = offset};
}

BootTime Boot(MonoTime now) {
  return BootTime(now.time_since_epoch());
}

ServerEntry Entry(const char* id) {
  ServerEntry out;
  out.id = ServerId(id);
  out.started_at_ms = 1;
  return out;
}

ServerChange Listed(const char* id) {
  return {ServerId(id), Entry(id)};
}

ServerChange Removal(const char* id) {
  return {ServerId(id), std::nullopt};
}

/// A host with its view of the list.
struct Host {
  ServerFeed feed{ServerFeedSettings{
      .tracker = {.interval = milliseconds(900), .patience = kPatience},
      .directory = {}}};

  ServerFeedOutcome Read(MonoTime now, ServerNews news) {
    if (news.exact_from == StorePosition{})
      news.exact_from = news.next;
    return feed.OnRead(now, {.sent_at = Boot(now), .answered_at = Boot(now)},
                       news);
  }

  /// Tells `other` what this host has read and what the other lacks.
  ServerFeedOutcome Tell(MonoTime now, Host& other) {
    const auto update =
        feed.OwnUpdateSince(now, Boot(now), other.feed.list_position());
    cr_assert(update.has_value());
    return other.feed.OnPeerUpdate(now, *update);
  }

  bool Knows(const char* id) const {
    return feed.servers().contains(ServerId(id));
  }
};

void ReadWhole(MonoTime now, Host& host) {
  host.Read(
      now,
      {.whole = true, .changes = {Listed("a"), Listed("b")}, .next = At(10)});
}

// The store was away, the leases lapsed meanwhile, and the servers renew their
// entries unchanged: to the reader, which still holds the entries, the renewal
// changes nothing.
Test(server_feed, an_unchanged_renewal_after_an_outage_reaches_all_hosts) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  ReadWhole(kStart, other);
  reader.feed.OnReadFailed(kStart + seconds(5));
  other.feed.OnReadFailed(kStart + seconds(5));
  const MonoTime back = kStart + seconds(6);
  reader.Read(back, {.changes = {Removal("a"), Removal("b")}, .next = At(12)});
  reader.Tell(back, other);
  const MonoTime renewed = back + seconds(1);
  const ServerFeedOutcome outcome =
      reader.Read(renewed, {.changes = {Listed("a")}, .next = At(13)});
  cr_assert(outcome.news);
  reader.Tell(renewed, other);
  const MonoTime late = back + seconds(4);
  reader.feed.Expire(late);
  other.feed.Expire(late);
  for (const Host* it : {&reader, &other}) {
    cr_assert(it->Knows("a"));
    cr_assert_not(it->Knows("b"));
  }
}

// A store that had been away wrote what had lapsed and the renewals into a log
// longer than one answer. The host dropped every server between its reads, or
// when their grace periods ended before it had read the renewals.
Test(server_feed, a_removal_counts_once_the_log_is_read_to_its_end) {
  Host host;
  ReadWhole(kStart, host);
  const MonoTime now = kStart + seconds(2);
  host.Read(
      now,
      {.changes = {Removal("a"), Removal("b")}, .next = At(12), .log_end = 20});
  cr_assert(host.Knows("a") && host.Knows("b"));
  cr_assert_not(host.feed.NextExpiry().has_value());
  host.feed.Expire(now + seconds(9));
  cr_assert(host.Knows("a") && host.Knows("b"));
  host.Read(now + seconds(9),
            {.changes = {Listed("a")}, .next = At(20), .log_end = 20});
  cr_assert(host.feed.NextExpiry().has_value());
  host.feed.Expire(now + seconds(9));
  cr_assert(host.Knows("a"));
  cr_assert_not(host.Knows("b"), "a server that is gone is kept for longer");
}

// The same with the grace period of an outage, which ends while the host is
// still reading.
Test(server_feed, a_grace_period_does_not_end_before_the_log_is_read) {
  Host host;
  ReadWhole(kStart, host);
  host.feed.OnReadFailed(kStart + seconds(5));
  const MonoTime back = kStart + seconds(6);
  host.Read(
      back,
      {.changes = {Removal("a"), Removal("b")}, .next = At(12), .log_end = 20});
  host.feed.Expire(back + seconds(4));
  cr_assert(host.Knows("a") && host.Knows("b"));
  host.Read(back + seconds(4),
            {.changes = {Listed("a")}, .next = At(20), .log_end = 20});
  host.feed.Expire(back + seconds(4));
  cr_assert(host.Knows("a"));
  cr_assert_not(host.Knows("b"));
}

// A server that had said that it leaves is not kept for any reason.
Test(server_feed, a_draining_server_leaves_while_the_log_is_being_read) {
  Host host;
  ReadWhole(kStart, host);
  ServerChange draining = Listed("a");
  draining.entry->draining = true;
  host.Read(
      kStart + seconds(1),
      {.changes = {draining, Removal("a")}, .next = At(12), .log_end = 20});
  cr_assert_not(host.Knows("a"));
}

// A removal and its renewal came to the reader in one read as no change at all,
// while the other host had read the removal itself.
Test(server_feed, a_missed_renewal_is_found_by_the_digest) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  ReadWhole(kStart, other);
  const MonoTime now = kStart + seconds(2);
  other.Read(now, {.changes = {Removal("a")}, .next = At(11)});
  reader.Read(now, {.changes = {Listed("a")}, .next = At(12)});
  const ServerFeedOutcome outcome = reader.Tell(now, other);
  cr_assert(outcome.difference.has_value());
  cr_assert_eq(outcome.difference->position, At(12));
  cr_assert_not(other.feed.position().has_value());
  cr_assert_eq(other.feed.Wait(Boot(now)), Duration::zero());
  other.Read(
      now,
      {.whole = true, .changes = {Listed("a"), Listed("b")}, .next = At(12)});
  cr_assert(other.Knows("a"));
  cr_assert_not(reader.Tell(now, other).difference.has_value());
}

// A difference that a whole read doesn't remove must not make the fleet read
// the whole list over and over.
Test(server_feed, whole_reads_for_a_lasting_difference_become_rarer) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  int whole_reads = 0;
  for (Duration passed{}; passed < seconds(60); passed += milliseconds(200)) {
    const MonoTime now = kStart + passed;
    reader.Read(now, {.next = At(10)});
    if (!other.feed.position()) {
      other.Read(now,
                 {.whole = true, .changes = {Listed("a")}, .next = At(10)});
      ++whole_reads;
    }
    reader.Tell(now, other);
  }
  cr_assert_leq(whole_reads, 7);
  cr_assert_geq(whole_reads, 4);
}

// The pages of a whole read are not of one moment: the later ones may contain
// what comes after the position, so the list is not compared before it.
Test(server_feed, a_whole_read_of_several_pages_is_compared_from_its_end_on) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  other.Read(kStart, {.whole = true,
                      .changes = {Listed("a"), Listed("b"), Listed("c")},
                      .next = At(10),
                      .exact_from = At(11)});
  cr_assert_not(reader.Tell(kStart, other).difference.has_value());
  reader.Read(kStart, {.changes = {Listed("c")}, .next = At(11)});
  cr_assert_not(reader.Tell(kStart, other).difference.has_value());
  reader.Read(kStart, {.changes = {Removal("c")}, .next = At(12)});
  cr_assert_not(reader.Tell(kStart, other).difference.has_value());
  cr_assert_not(other.Knows("c"));
}

// A reader that had to read the whole list cannot tell what changed meanwhile.
Test(server_feed, after_a_forgotten_history_hosts_read_for_themselves) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  ReadWhole(kStart, other);
  reader.feed.OnHistoryLost();
  reader.Read(kStart,
              {.whole = true, .changes = {Listed("a")}, .next = At(30)});
  reader.Tell(kStart, other);
  cr_assert_eq(other.feed.position(), At(10));
  cr_assert(other.Knows("b"));
  cr_assert_leq(other.feed.Wait(Boot(kStart)), kPatience);
}

// A host that started during the outage reads a list from which the lapsed
// entries are missing; the renewals must reach it like all others.
Test(server_feed, a_host_that_starts_during_an_outage_hears_renewals) {
  Host reader;
  Host started;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  reader.feed.OnReadFailed(kStart + seconds(5));
  started.feed.OnReadFailed(kStart + seconds(5));
  const MonoTime back = kStart + seconds(6);
  started.Read(back, {.whole = true, .changes = {}, .next = At(12)});
  reader.Read(back, {.changes = {Removal("a"), Removal("b")}, .next = At(12)});
  reader.Read(back + seconds(1), {.changes = {Listed("a")}, .next = At(13)});
  cr_assert_not(reader.Tell(back + seconds(1), started).difference.has_value());
  cr_assert(started.Knows("a"));
  cr_assert_not(started.Knows("b"));
}

// The readers' small new positions seemed to cover the large old ones.
Test(server_feed, after_a_restore_hosts_read_for_themselves) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, reader);
  ReadWhole(kStart, other);
  cr_assert(reader
                .Read(kStart, {.whole = true,
                               .changes = {Listed("a"), Listed("b")},
                               .next = Restored(4)})
                .news);
  reader.Read(kStart, {.changes = {Listed("c")}, .next = Restored(5)});
  reader.Tell(kStart, other);
  cr_assert_not(other.Knows("c"));
  cr_assert_eq(other.feed.position(), At(10));
  other.feed.OnTimeline(Boot(kStart), 2, TimelineSource::kPeer);
  cr_assert_eq(other.feed.Wait(Boot(kStart)), Duration::zero());
  other.Read(kStart, {.whole = true,
                      .changes = {Listed("a"), Listed("b")},
                      .next = Restored(4)});
  reader.Tell(kStart, other);
  cr_assert(other.Knows("c"));
}

// At equal offsets of two timelines the lists differ without any fault.
Test(server_feed, digests_of_different_timelines_are_not_compared) {
  Host reader;
  Host other;
  reader.feed.set_reader(true);
  ReadWhole(kStart, other);
  reader.Read(kStart,
              {.whole = true, .changes = {Listed("a")}, .next = Restored(10)});
  cr_assert_not(reader.Tell(kStart, other).difference.has_value());
}

// A read was under way when the store was restored, and the new history had
// reached the old offset.
Test(server_feed, a_read_that_crosses_a_restore_is_not_applied) {
  Host host;
  ReadWhole(kStart, host);
  const ServerFeedOutcome outcome =
      host.Read(kStart, {.changes = {Removal("a")}, .next = Restored(12)});
  cr_assert_eq(outcome.read_use, FeedReadUse::kNoContinuation);
  cr_assert(host.Knows("a"));
  cr_assert_not(host.feed.position().has_value());
}

}  // namespace
}  // namespace mangoport
