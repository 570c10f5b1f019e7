#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/gossip/soft_state.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(100)};
constexpr int kFleetSize = 120;

wire::HostState StateOf(int host, std::uint64_t sequence) {
  wire::HostState out;
  out.set_host("h" + std::to_string(host));
  out.set_zone("z" + std::to_string(host % 3));
  out.set_address("127.0.0.1:" + std::to_string(host));
  out.set_incarnation(7);
  out.set_sequence(sequence);
  out.set_sent_at_us(1000 * sequence);
  return out;
}

PeerTable LargeFleet() {
  PeerTable table(HostId("self"), ZoneId("z0"), SoftStateSettings{});
  for (int i = 0; i < kFleetSize; ++i)
    table.OnMessage(kStart, StateOf(i, 1));
  return table;
}

std::size_t CountWhole(const std::vector<DuePeer>& due) {
  std::size_t n = 0;
  for (const DuePeer& it : due)
    n += it.full_state ? 1 : 0;
  return n;
}

// With each order and each report of an engine, up to 100 times a second, the
// host that orders engines sent all peers a datagram: more than a small machine
// can send.
Test(peer_table, announcements_to_a_large_fleet_are_spaced) {
  const PeerTable large = LargeFleet();
  const std::chrono::duration<double> interval = large.BroadcastInterval();
  cr_assert_leq(kFleetSize / interval.count(), 2001);
  PeerTable small(HostId("self"), ZoneId("z0"), SoftStateSettings{});
  small.OnMessage(kStart, StateOf(0, 1));
  cr_assert_leq(small.BroadcastInterval(), milliseconds(10));
}

// In a large fleet, a round takes longer than the interval at which readers
// must exchange updates with their zone.
Test(peer_table, readers_of_the_same_zone_are_sent_updates_out_of_turn) {
  PeerTable table = LargeFleet();
  table.SetReaders({HostId("h3"), HostId("h4")});
  std::size_t sent_same_zone = 0;
  std::size_t sent_other_zone = 0;
  const int ticks = 20;
  for (int i = 0; i < ticks; ++i) {
    for (const DuePeer& it : table.DuePeers(kStart + milliseconds(200) * i)) {
      sent_same_zone += it.peer.host == HostId("h3") ? 1 : 0;
      sent_other_zone += it.peer.host == HostId("h4") ? 1 : 0;
    }
  }
  // Every 400 ms, compared with once per round of 1.5 s.
  cr_assert_geq(sent_same_zone, ticks / 2);
  cr_assert_leq(sent_other_zone, 4);
}

Test(peer_table, a_reader_sends_its_zone_only_feed_changes_out_of_turn) {
  PeerTable table = LargeFleet();
  table.SetReaders({HostId("self")});
  table.DuePeers(kStart);
  std::size_t whole = 0;
  std::size_t all = 0;
  for (int i = 1; i <= 20; ++i) {
    const auto due = table.DuePeers(kStart + milliseconds(200) * i);
    whole += CountWhole(due);
    all += due.size();
    for (const DuePeer& it : due)
      cr_assert(it.full_state || it.peer.zone == ZoneId("z0"));
  }
  // 80 full-state datagrams per second, and feed-only datagrams to the 40 peers
  // of the zone 2.5 times per second.
  cr_assert_leq(whole, 4 * 80 + 20);
  cr_assert_leq(all - whole, 400);
  cr_assert_geq(all - whole, 160);
}

// Readers detect the failure of the host that gives engines orders, so it must
// send them its state much more often than once per round.
Test(peer_table, the_lease_holder_sends_full_state_to_readers_of_all_zones) {
  PeerTable table = LargeFleet();
  table.SetReaders({HostId("h4"), HostId("h5")});
  table.set_holds_orders(true);
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) {
    for (const DuePeer& it : table.DuePeers(kStart + milliseconds(200) * i)) {
      cr_assert(it.full_state);
      sent += it.peer.host == HostId("h4") ? 1 : 0;
    }
  }
  cr_assert_geq(sent, 10);
}

Test(peer_table, an_unresponsive_or_leaving_peer_is_unreachable) {
  PeerTable table(HostId("self"), ZoneId("z0"), SoftStateSettings{});
  table.OnListed(kStart, HostId("never_heard"), "127.0.0.1:1");
  table.OnMessage(kStart, StateOf(1, 1));
  wire::HostState leaving = StateOf(2, 1);
  leaving.set_leaving(true);
  table.OnMessage(kStart, leaving);
  cr_assert_eq(table.ReachablePeers(kStart + milliseconds(100)).size(), 1);
  cr_assert_eq(table.ReachablePeers(kStart + seconds(2)).size(), 0);
}

Test(sent_after, an_echo_from_another_incarnation_is_ignored) {
  wire::HostState message = StateOf(1, 1);
  cr_assert_not(SentAfter(message, 9).has_value());
  message.set_echo_us(5000000);
  message.set_echo_incarnation(9);
  cr_assert(SentAfter(message, 9) == BootTime(seconds(5)));
  cr_assert_not(SentAfter(message, 10).has_value());
}

}  // namespace
}  // namespace mangoport
