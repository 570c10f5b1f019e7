// The weight store: a limited number of loads a second, each slower when more
// are in flight than the store serves at full speed.
#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

#include "tools/standin/roles.h"
#include "tools/standin/server.h"
#include "tools/standin/token_bucket.h"

namespace mangoport::standin {
namespace {

/// One class of loads: their time, and how many go at full speed.
struct LoadClass {
  Millis load_time;
  int full_speed;
  std::atomic<int> in_flight = 0;
  std::atomic<int> most_in_flight = 0;
  std::atomic<std::uint64_t> loads = 0;
};

void Load(LoadClass& load) {
  const int n = ++load.in_flight;
  int most = load.most_in_flight;
  while (n > most && !load.most_in_flight.compare_exchange_weak(most, n)) {
  }
  ++load.loads;
  const int factor_percent = std::max(100, 100 * n / load.full_speed);
  std::this_thread::sleep_for(load.load_time * factor_percent / 100);
  --load.in_flight;
}

}  // namespace

int RunStore(int argc, char** argv) {
  ServerOptions options{.name = "store"};
  double loads_per_second = 2;
  double burst = 4;
  LoadClass models{.load_time = Millis(100), .full_speed = 8};
  LoadClass adapters{.load_time = Millis(7), .full_speed = 60};
  Flags flags;
  options.AddTo(flags);
  flags.Add("loads-per-second", &loads_per_second);
  flags.Add("burst", &burst);
  flags.Add("load-ms", &models.load_time);
  flags.Add("concurrent-full-speed", &models.full_speed);
  flags.Add("adapter-load-ms", &adapters.load_time);
  flags.Add("adapter-full-speed", &adapters.full_speed);
  if (!flags.Parse(argc, argv) || models.full_speed < 1 ||
      adapters.full_speed < 1)
    return 2;

  Server server(options);
  TokenBucket rate(loads_per_second, burst);
  std::atomic<std::uint64_t> refused = 0;
  server.Get("/v1/artifacts/(.+)",
             [&](const HttpRequest& req, HttpResponse& res) {
               const bool adapter = req.get_param_value("kind") == "adapter";
               if (!adapter && !rate.TryTake(Now())) {
                 ++refused;
                 ReplyError(res, 429, "too many loads");
                 return;
               }
               Load(adapter ? adapters : models);
               Reply(res, 200, {{"name", req.matches[1].str()}});
             });
  server.OnStats([&](Json& stats) {
    stats["loads"] = models.loads.load();
    stats["loads_refused"] = refused.load();
    stats["most_loads_in_flight"] = models.most_in_flight.load();
    stats["adapter_loads"] = adapters.loads.load();
    stats["most_adapters_in_flight"] = adapters.most_in_flight.load();
  });
  return server.Run();
}

}  // namespace mangoport::standin
