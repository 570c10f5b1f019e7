// Hosts of three zones that can't tell each other what they send, before
// servers that start together, one by one and again. Hosts restart, leave for
// good and come anew, and know of each other late. No server may get more
// requests in a second than it bears, whatever the hosts know; and none of a
// zone whose hosts know each other goes unused.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/invariant.h"
#include "mangoport/routing/cold_start_pacer.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr int kZones = 3;
constexpr int kHostsPerZone = 12;
constexpr int kServersPerZone = 4;
constexpr double kRate = 9;
constexpr Duration kCold = seconds(3);
/// What a server bears in any second before it fails.
constexpr double kMostPerSecond = kRate * 1.5 + 5;
/// A host hears of another within this time.
constexpr Duration kHearing = milliseconds(1500);
/// A host that has started waits this long for the others.
constexpr Duration kSettle = seconds(3);

struct Host {
  HostId id;
  ColdStartPacer pacer;
  MonoTime started_at;
  std::vector<HostId> known;
  MonoTime whole_since;
};

struct Server {
  ServerId id;
  MonoTime cold_from = {};
  std::deque<MonoTime> requests = {};
  std::uint64_t in_cold_time = 0;
  /// The use of the last cold time has been checked.
  bool checked = true;
};

struct Zone {
  std::vector<Host> hosts;
  std::vector<Server> servers;
  /// When a host last started or went.
  MonoTime disturbed_at;
};

class ColdFleet {
 public:
  ColdFleet(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress), zones_(kZones) {
    for (int zone = 0; zone < kZones; ++zone) {
      for (int i = 0; i < kHostsPerZone; ++i)
        AddHost(zones_[zone], MonoTime());
      for (int i = 0; i < kServersPerZone; ++i)
        zones_[zone].servers.push_back({.id = NewServer()});
    }
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    for (Zone& zone : zones_) {
      Disturb(zone);
      for (Host& it : zone.hosts)
        Learn(zone, it);
      StartServers(zone);
      Send(zone);
    }
  }

 private:
  bool Chance(int one_in) { return random_() % one_in == 0; }
  ServerId NewServer() { return ServerId("s" + std::to_string(++servers_)); }

  void AddHost(Zone& zone, MonoTime started_at) {
    Host host;
    host.id = HostId("h" + std::to_string(++hosts_));
    host.started_at = started_at;
    host.whole_since = started_at;
    zone.hosts.push_back(std::move(host));
  }

  void Disturb(Zone& zone) {
    const bool restart = Chance(400);
    const bool replace = Chance(1500);
    if (!restart && !replace)
      return;
    progress_.Note(restart ? "restart" : "replace");
    zone.disturbed_at = now_;
    Host& host = zone.hosts[random_() % zone.hosts.size()];
    const HostId id =
        restart ? host.id : HostId("h" + std::to_string(++hosts_));
    host = Host();
    host.id = id;
    host.started_at = now_;
    host.whole_since = now_;
    ReadList(zone, host);
  }

  /// The host reads the entries of all servers, as they registered last.
  void ReadList(const Zone& own, Host& host) {
    for (const Zone& zone : zones_) {
      for (const Server& it : zone.servers) {
        if (now_ < it.cold_from + kCold)
          host.pacer.OnCold(now_, it.id, &zone == &own, kRate, now_ + kCold);
      }
    }
  }

  /// The host learns of the others, and forgets those that are gone.
  void Learn(const Zone& zone, Host& host) {
    std::vector<HostId> known;
    for (const Host& it : zone.hosts) {
      const bool heard =
          now_ - std::max(it.started_at, host.started_at) >= kHearing;
      const bool knew = std::find(host.known.begin(), host.known.end(),
                                  it.id) != host.known.end();
      if (it.id == host.id || heard || knew)
        known.push_back(it.id);
    }
    std::sort(known.begin(), known.end());
    if (known == host.known)
      return;
    if (!std::includes(known.begin(), known.end(), host.known.begin(),
                       host.known.end()))
      host.whole_since = now_;
    host.known = known;
    host.pacer.SetHosts(host.id, known, host.whole_since + kSettle);
  }

  void StartServers(Zone& zone) {
    const bool all = Chance(600);
    for (Server& it : zone.servers) {
      if (now_ < it.cold_from + kCold || !(all || Chance(800)))
        continue;
      it.cold_from = now_;
      it.in_cold_time = 0;
      it.checked = false;
      progress_.Note("start " + it.id.value());
      for (Zone& other : zones_) {
        for (Host& host : other.hosts)
          host.pacer.OnCold(now_, it.id, &other == &zone, kRate, now_ + kCold);
      }
    }
  }

  /// Every host of every zone has a request for each server.
  void Send(Zone& zone) {
    for (Server& server : zone.servers) {
      if (now_ >= server.cold_from + kCold) {
        CheckUse(zone, server);
        continue;
      }
      for (Zone& sender : zones_) {
        for (Host& host : sender.hosts) {
          if (host.pacer.HeldUntil(now_, server.id) > now_)
            continue;
          host.pacer.OnDispatched(now_, server.id);
          server.requests.push_back(now_);
          ++server.in_cold_time;
        }
      }
      while (!server.requests.empty() &&
             now_ - server.requests.front() >= seconds(1))
        server.requests.pop_front();
      CheckInvariant(
          static_cast<double>(server.requests.size()) <= kMostPerSecond,
          "a cold server gets no more than it bears", [&] {
            return server.id.value() + " got " +
                   std::to_string(server.requests.size()) + " in a second";
          });
    }
  }

  /// Checks a cold time that is over, if all hosts knew each other throughout.
  static void CheckUse(const Zone& zone, Server& server) {
    server.requests.clear();
    if (std::exchange(server.checked, true) ||
        server.cold_from - zone.disturbed_at < kHearing + kSettle)
      return;
    const std::uint64_t sent = server.in_cold_time;
    const double borne = kRate * std::chrono::duration<double>(kCold).count();
    CheckInvariant(static_cast<double>(sent) >= 0.8 * borne,
                   "what a cold server bears is used", [&] {
                     return server.id.value() + " got " + std::to_string(sent);
                   });
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  MonoTime now_ = MonoTime(seconds(1000));
  std::vector<Zone> zones_;
  int hosts_ = 0;
  int servers_ = 0;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  ColdFleet fleet(options, progress);
  for (std::uint64_t step = 0; step < options.steps; ++step)
    fleet.Step(step);
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(argc, argv, {"every_host_owns_cold_servers"},
                             mangoport::Run);
}
