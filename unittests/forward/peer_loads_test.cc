#include "mangoport/forward/peer_loads.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <random>
#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};

HostId Host(int i) {
  return HostId("h" + std::to_string(i));
}

ServerId Server(int i) {
  return ServerId("e" + std::to_string(i));
}

ServerLoad Load(int server, std::uint32_t running, double work = 0) {
  return {
      .server = Server(server), .running = running, .silent = {}, .work = work};
}

// A host that was killed says no more of the requests it had. If they counted
// on, its engines would look busy to all others for as long as these run.
Test(peer_loads, the_load_of_a_silent_host_is_dropped) {
  PeerLoads loads;
  loads.Set(kStart, Host(0), {Load(0, 50, 0.9)});
  loads.Set(kStart, Host(1), {Load(0, 3, 0.1)});
  cr_assert_eq(loads.Of(Server(0)).running, 53);
  loads.Set(kStart + seconds(3), Host(1), {Load(0, 3, 0.1)});
  const auto touched =
      loads.Set(kStart + seconds(5), Host(1), {Load(1, 2, 0.2)});
  cr_assert_eq(loads.Of(Server(0)).running, 0);
  cr_assert_eq(loads.Of(Server(0)).work, 0);
  cr_assert_eq(loads.Of(Server(1)).running, 2);
  cr_assert_neq(std::count(touched.begin(), touched.end(), Server(0)), 0);
}

// In a large fleet a host is heard once a round of some seconds.
Test(peer_loads, the_lifetime_fits_the_round) {
  PeerLoads loads;
  loads.set_lifetime(seconds(12));
  loads.Set(kStart, Host(0), {Load(0, 5)});
  loads.Set(kStart + seconds(10), Host(1), {});
  cr_assert_eq(loads.Of(Server(0)).running, 5);
}

Test(peer_loads, sums_equal_those_of_all_newest_reports) {
  std::mt19937_64 random(3);
  PeerLoads loads;
  std::map<int, std::vector<ServerLoad>> newest;
  for (int i = 0; i < 3000; ++i) {
    const int host = static_cast<int>(random() % 100);
    std::vector<ServerLoad>& report = newest[host];
    report.clear();
    for (int server = 0; server < 20; ++server) {
      if (random() % 3 == 0)
        report.push_back(Load(server, random() % 8,
                              static_cast<double>(random() % 1000) / 1000));
    }
    loads.Set(kStart + i * milliseconds(1), Host(host), report);
  }
  for (int server = 0; server < 20; ++server) {
    PeerLoads::Sum sum;
    for (const auto& [host, report] : newest) {
      for (const ServerLoad& it : report) {
        if (it.server != Server(server))
          continue;
        sum.running += it.running;
        sum.work += it.work;
      }
    }
    cr_assert_eq(loads.Of(Server(server)).running, sum.running);
    cr_assert_lt(std::abs(loads.Of(Server(server)).work - sum.work), 1e-6);
  }
}

}  // namespace
}  // namespace mangoport
