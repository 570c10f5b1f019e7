// Hosts of three zones route to servers in all of them and see each other's
// load late. How many requests leave their zone?
#include "mangoport/routing/zone_spill.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/routing/router.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(1000)};
constexpr int kZones = 3;
constexpr int kHostsPerZone = 5;
constexpr int kServersPerZone = 8;
constexpr std::size_t kSlots = 16;
constexpr double kMeanServiceSeconds = 1;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kReportInterval = milliseconds(400);
const ModelId kModel("drafts");

ZoneId ZoneName(int zone) {
  return ZoneId("z" + std::to_string(zone));
}

struct Work {
  int host = 0;
  MonoTime sent;
};

struct Server {
  ServerId id;
  int zone = 0;
  bool up = true;
  std::vector<std::pair<MonoTime, Work>> running = {};
  std::deque<Work> waiting = {};

  std::size_t load() const { return running.size() + waiting.size(); }
};

struct ZoneCount {
  int asked = 0;
  int left = 0;
  int refused = 0;

  double share_left() const {
    return asked == 0 ? 0 : static_cast<double>(left) / asked;
  }
};

class ThreeZones {
 public:
  ThreeZones() : routers_(std::size_t{kZones} * kHostsPerZone) {
    for (int zone = 0; zone < kZones; ++zone) {
      for (int i = 0; i < kServersPerZone; ++i)
        servers_.push_back(
            {.id = ServerId("s" + std::to_string(servers_.size())),
             .zone = zone});
    }
    ListServers();
  }

  /// Takes the first servers of a zone away, or brings them back.
  void SetServersUp(int zone, int down) {
    for (Server& it : servers_) {
      if (it.zone != zone)
        continue;
      it.up = down-- <= 0;
      if (!it.up) {
        it.running.clear();
        it.waiting.clear();
      }
    }
    ListServers();
  }

  /// Each zone asks for this part of what its servers, all up, can do. Counts
  /// what comes after the first five seconds.
  std::vector<ZoneCount> Run(double use, Duration time) {
    std::vector<ZoneCount> out(kZones);
    const MonoTime counted_from = now_ + seconds(5);
    const MonoTime end = now_ + time;
    const double per_step = use * kServersPerZone * kSlots /
                            kMeanServiceSeconds *
                            std::chrono::duration<double>(kStep).count();
    for (; now_ < end; now_ += kStep) {
      Finish();
      if (now_ >= next_report_)
        Report();
      for (int zone = 0; zone < kZones; ++zone) {
        std::poisson_distribution<int> arrivals(per_step);
        for (int n = arrivals(random_); n > 0; --n)
          Ask(zone, now_ >= counted_from, out[zone]);
      }
    }
    return out;
  }

 private:
  void ListServers() {
    ServerList list;
    list.as_of = now_;
    for (const Server& it : servers_) {
      if (it.up)
        list.servers.push_back({.id = it.id,
                                .zone = ZoneName(it.zone),
                                .models = {kModel},
                                .adapters = {},
                                .batch_size = kSlots});
    }
    for (Router& it : routers_)
      it.SetServers(now_, list);
  }

  void Ask(int zone, bool counted, ZoneCount& count) {
    const int host =
        zone * kHostsPerZone + static_cast<int>(random_() % kHostsPerZone);
    RouteRequest request;
    request.model = kModel;
    request.own_zone = ZoneName(zone);
    request.objective = milliseconds(500);
    request.due = now_ + milliseconds(500);
    request.deadline = now_ + seconds(12);
    const RouteChoice choice = routers_[host].Choose(now_, request);
    count.asked += counted ? 1 : 0;
    if (!choice.server) {
      count.refused += counted ? 1 : 0;
      return;
    }
    Server& server = *std::find_if(
        servers_.begin(), servers_.end(),
        [&](const Server& it) { return it.id == *choice.server; });
    count.left += counted && server.zone != zone ? 1 : 0;
    routers_[host].OnDispatched(now_, server.id);
    server.waiting.push_back({.host = host, .sent = now_});
    Begin(server);
  }

  void Begin(Server& server) {
    std::exponential_distribution<> service(1 / kMeanServiceSeconds);
    while (server.running.size() < kSlots && !server.waiting.empty()) {
      const auto ends =
          now_ + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(service(random_)));
      server.running.emplace_back(ends, server.waiting.front());
      server.waiting.pop_front();
    }
  }

  void Finish() {
    for (Server& server : servers_) {
      std::erase_if(server.running, [&](const auto& it) {
        if (it.first > now_)
          return false;
        routers_[it.second.host].OnFinished(
            now_, server.id, AttemptOutcome::kCompleted, now_ - it.second.sent);
        return true;
      });
      Begin(server);
    }
  }

  void Report() {
    next_report_ = now_ + kReportInterval;
    for (const Server& it : servers_) {
      for (Router& router : routers_)
        router.OnReport(now_,
                        {.server = it.id,
                         .measured_at = now_,
                         .running = static_cast<std::uint32_t>(it.load())});
    }
  }

  std::mt19937_64 random_{5};
  MonoTime now_ = kStart;
  MonoTime next_report_ = kStart;
  std::vector<Server> servers_;
  std::vector<Router> routers_;
};

// NOLINTBEGIN: Criterion's macros
// Hosts sent work out of zones that had room for it.
Test(zone_spill, an_even_fleet_keeps_its_work_at_home) {
  ThreeZones zones;
  for (const ZoneCount& it : zones.Run(0.8, seconds(25)))
    cr_assert_lt(it.share_left(), 0.05, "%f", it.share_left());
}

// A zone with half of its servers asks for 0.7 of what it had: two sevenths are
// beyond what it can do now.
Test(zone_spill, a_zone_with_half_its_servers_sends_its_surplus_away) {
  ThreeZones zones;
  zones.SetServersUp(0, kServersPerZone / 2);
  const std::vector<ZoneCount> counts = zones.Run(0.7, seconds(25));
  cr_assert_gt(counts[0].share_left(), 0.25, "%f", counts[0].share_left());
  cr_assert_lt(counts[0].share_left(), 0.45, "%f", counts[0].share_left());
  cr_assert_lt(counts[1].share_left(), 0.1, "%f", counts[1].share_left());
  const double refused =
      static_cast<double>(counts[0].refused) / counts[0].asked;
  cr_assert_lt(refused, 0.02, "%f", refused);
}

// Without servers at home all leave, and come home again with the servers.
Test(zone_spill, a_zone_that_is_lost_and_back_takes_its_work_home) {
  ThreeZones zones;
  zones.SetServersUp(0, kServersPerZone);
  const std::vector<ZoneCount> away = zones.Run(0.6, seconds(15));
  cr_assert_eq(away[0].left, away[0].asked - away[0].refused);
  zones.SetServersUp(0, 0);
  const std::vector<ZoneCount> back = zones.Run(0.6, seconds(15));
  for (const ZoneCount& it : back)
    cr_assert_lt(it.share_left(), 0.05, "%f", it.share_left());
}

// A crossing is not worth a short wait.
Test(zone_spill, a_wait_below_the_cost_of_a_crossing_is_borne) {
  ZoneSpill spill(milliseconds(20));
  for (int i = 0; i < 100; ++i)
    cr_assert_not(spill.Leaves(kStart + milliseconds(i * 10),
                               {.wait_at_home = milliseconds(20)}, 0.0));
  cr_assert_eq(spill.share(), 0);
}

// A request that would be late at home leaves at once, whatever the share.
Test(zone_spill, a_request_that_would_be_late_at_home_leaves) {
  ZoneSpill spill(milliseconds(20));
  cr_assert(spill.Leaves(kStart,
                         {.wait_at_home = milliseconds(400),
                          .wait_away = milliseconds(50),
                          .limit = milliseconds(300)},
                         0.999));
  cr_assert_not(spill.Leaves(kStart,
                             {.wait_at_home = milliseconds(100),
                              .wait_away = milliseconds(50),
                              .limit = milliseconds(300)},
                             0.999));
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
