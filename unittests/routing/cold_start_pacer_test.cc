#include "mangoport/routing/cold_start_pacer.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(1000)};
constexpr double kRate = 9;
constexpr Duration kCold = seconds(3);
constexpr int kHosts = 34;
constexpr int kServers = 30;

std::vector<HostId> Hosts(int n) {
  std::vector<HostId> out;
  for (int i = 0; i < n; ++i)
    out.emplace_back("host-" + std::to_string(i));
  return out;
}

ServerId Server(int i) {
  return ServerId("server-" + std::to_string(i));
}

/// The hosts of a zone, each with its own view of the others, before servers
/// that start together.
class Zone {
 public:
  /// Each host misses `missed` of the others.
  explicit Zone(int missed) : random_(1), hosts_(kHosts) {
    const std::vector<HostId> all = Hosts(kHosts);
    for (int i = 0; i < kHosts; ++i) {
      std::vector<HostId> view = all;
      for (int j = 0; j < missed; ++j)
        view.erase(view.begin() + static_cast<long>(random_() % view.size()));
      if (std::find(view.begin(), view.end(), all[i]) == view.end())
        view.push_back(all[i]);
      hosts_[i].SetHosts(all[i], view, kStart);
      for (int server = 0; server < kServers; ++server)
        hosts_[i].OnCold(kStart, Server(server), /*in_own_zone=*/true, kRate,
                         kStart + kCold);
    }
  }

  /// Every host has work for each server at all times. Returns the dispatches
  /// to each server.
  std::vector<std::vector<MonoTime>> Press() {
    std::vector<std::vector<MonoTime>> out(kServers);
    for (MonoTime now = kStart; now < kStart + kCold; now += milliseconds(5)) {
      for (ColdStartPacer& host : hosts_) {
        for (int server = 0; server < kServers; ++server) {
          if (host.HeldUntil(now, Server(server)) > now)
            continue;
          host.OnDispatched(now, Server(server));
          out[server].push_back(now);
        }
      }
    }
    return out;
  }

 private:
  std::mt19937_64 random_;
  std::vector<ColdStartPacer> hosts_;
};

/// The most dispatches in any one second.
std::size_t MostInASecond(const std::vector<MonoTime>& times) {
  std::size_t most = 0;
  std::deque<MonoTime> window;
  for (const MonoTime it : times) {
    window.push_back(it);
    while (it - window.front() >= seconds(1))
      window.pop_front();
    most = std::max(most, window.size());
  }
  return most;
}

// NOLINTBEGIN: Criterion's macros
// All hosts of a zone send to its servers as soon as they start, beyond what
// these bear; and a share that each host keeps for itself goes unused.
Test(cold_start_pacer, hosts_together_send_what_a_cold_server_bears) {
  const auto dispatches = Zone(/*missed=*/0).Press();
  std::size_t sum = 0;
  for (const auto& it : dispatches) {
    cr_assert_leq(MostInASecond(it), static_cast<std::size_t>(1.5 * kRate));
    sum += it.size();
  }
  const double borne =
      kRate * std::chrono::duration<double>(kCold).count() * kServers;
  cr_assert_geq(static_cast<double>(sum), 0.8 * borne, "%zu of %f", sum, borne);
}

// Hosts that know different parts of the zone take different hosts for owners.
Test(cold_start_pacer, the_bound_holds_while_views_differ) {
  const auto dispatches = Zone(/*missed=*/3).Press();
  for (const auto& it : dispatches)
    cr_assert_leq(MostInASecond(it), static_cast<std::size_t>(1.5 * kRate + 5));
}

// A host that has just started takes itself for the only one.
Test(cold_start_pacer, a_host_that_does_not_know_the_others_sends_nothing) {
  ColdStartPacer host;
  host.OnCold(kStart, Server(0), true, kRate, kStart + kCold);
  cr_assert_eq(host.HeldUntil(kStart, Server(0)), kStart + kCold);
  host.SetHosts(HostId("host-0"), {HostId("host-0")}, kStart + seconds(1));
  cr_assert_eq(host.HeldUntil(kStart, Server(0)), kStart + seconds(1));
}

// Zones that are cut off from each other cannot share a rate.
Test(cold_start_pacer, servers_of_other_zones_are_sent_nothing_while_cold) {
  ColdStartPacer host;
  host.SetHosts(HostId("host-0"), {HostId("host-0")}, kStart);
  host.OnCold(kStart, Server(0), /*in_own_zone=*/false, kRate, kStart + kCold);
  cr_assert_eq(host.HeldUntil(kStart, Server(0)), kStart + kCold);
  cr_assert_eq(host.HeldUntil(kStart + kCold, Server(0)), kStart + kCold);
}

// A late report that a server is warmer than it was must not end its pacing.
Test(cold_start_pacer, an_earlier_end_does_not_shorten_the_cold_time) {
  ColdStartPacer host;
  host.SetHosts(HostId("host-0"), {HostId("host-0")}, kStart);
  host.OnCold(kStart, Server(0), false, kRate, kStart + kCold);
  host.OnCold(kStart, Server(0), false, kRate, kStart + seconds(1));
  cr_assert_eq(host.HeldUntil(kStart, Server(0)), kStart + kCold);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
