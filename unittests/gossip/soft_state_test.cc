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
constexpr int kFleet = 120;

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
  for (int i = 0; i < kFleet; ++i)
    table.OnMessage(kStart, StateOf(i, 1));
  return table;
}

std::size_t CountWhole(const std::vector<DuePeer>& due) {
  std::size_t n = 0;
  for (const DuePeer& it : due)
    n += it.whole ? 1 : 0;
  return n;
}

// A fleet whose rounds take longer than the readers' word may take.
Test(peer_table, readers_of_the_own_zone_are_told_out_of_turn) {
  PeerTable table = LargeFleet();
  table.SetReaders({HostId("h3"), HostId("h4")});
  std::size_t told_own = 0;
  std::size_t told_other = 0;
  const int ticks = 20;
  for (int i = 0; i < ticks; ++i) {
    for (const DuePeer& it : table.DuePeers(kStart + milliseconds(200) * i)) {
      told_own += it.peer.host == HostId("h3") ? 1 : 0;
      told_other += it.peer.host == HostId("h4") ? 1 : 0;
    }
  }
  // Each 400 ms against once a round of 1.5 s.
  cr_assert_geq(told_own, ticks / 2);
  cr_assert_leq(told_other, 4);
}

Test(peer_table, a_reader_tells_its_zone_only_the_feeds_out_of_turn) {
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
      cr_assert(it.whole || it.peer.zone == ZoneId("z0"));
  }
  // 80 whole datagrams a second, and the 40 of the zone 2.5 times a second.
  cr_assert_leq(whole, 4 * 80 + 20);
  cr_assert_leq(all - whole, 400);
  cr_assert_geq(all - whole, 160);
}

// The host that orders engines is lost; those that look out for that hear it
// much more often than once a round.
Test(peer_table, a_holder_tells_the_readers_of_all_zones_whole) {
  PeerTable table = LargeFleet();
  table.SetReaders({HostId("h4"), HostId("h5")});
  table.set_holds_orders(true);
  std::size_t told = 0;
  for (int i = 0; i < 20; ++i) {
    for (const DuePeer& it : table.DuePeers(kStart + milliseconds(200) * i)) {
      cr_assert(it.whole);
      told += it.peer.host == HostId("h4") ? 1 : 0;
    }
  }
  cr_assert_geq(told, 10);
}

Test(peer_table, a_silent_or_leaving_peer_is_out_of_touch) {
  PeerTable table(HostId("self"), ZoneId("z0"), SoftStateSettings{});
  table.OnListed(kStart, HostId("never_heard"), "127.0.0.1:1");
  table.OnMessage(kStart, StateOf(1, 1));
  wire::HostState leaving = StateOf(2, 1);
  leaving.set_leaving(true);
  table.OnMessage(kStart, leaving);
  cr_assert_eq(table.InTouch(kStart + milliseconds(100)).size(), 1);
  cr_assert_eq(table.InTouch(kStart + seconds(2)).size(), 0);
}

Test(sent_after, an_echo_counts_only_for_the_run_it_is_of) {
  wire::HostState message = StateOf(1, 1);
  cr_assert_not(SentAfter(message, 9).has_value());
  message.set_echo_us(5000000);
  message.set_echo_incarnation(9);
  cr_assert(SentAfter(message, 9) == BootTime(seconds(5)));
  cr_assert_not(SentAfter(message, 10).has_value());
}

}  // namespace
}  // namespace mangoport
