// DEPENDS: routing
// Time per routing decision and memory use of the routing state.
#include <malloc.h>

#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/routing/fair_queue.h"
#include "mangoport/routing/fingerprint.h"
#include "mangoport/routing/request_supervisor.h"
#include "mangoport/routing/router.h"

namespace mangoport {
namespace {

const MonoTime kNow = MonoTime() + std::chrono::hours(1);
constexpr int kZones = 15;
constexpr int kModelsPerEngine = 3;

ModelId Model(std::int64_t i) {
  return ModelId("model-" + std::to_string(i));
}

ServerList Servers(std::int64_t engines, std::int64_t models) {
  ServerList list{.as_of = kNow, .servers = {}};
  for (std::int64_t i = 0; i < engines; ++i) {
    ServerSpec spec{.id = ServerId("engine-" + std::to_string(i)),
                    .zone = ZoneId("zone-" + std::to_string(i % kZones)),
                    .models = {},
                    .adapters = {}};
    for (int n = 0; n < kModelsPerEngine; ++n)
      spec.models.push_back(Model((i * kModelsPerEngine + n) % models));
    list.servers.push_back(std::move(spec));
  }
  return list;
}

/// One routing decision and its state updates: choose, dispatch, first token,
/// finish.
void BmDecision(benchmark::State& state) {
  const std::int64_t models = state.range(1);
  Router router;
  router.SetServers(kNow, Servers(state.range(0), models));
  RouteRequest request;
  request.own_zone = ZoneId("zone-3");
  std::vector<ModelId> names;
  for (std::int64_t i = 0; i < models; ++i)
    names.push_back(Model(i));
  MonoTime now = kNow;
  std::uint64_t n = 0;
  for (auto it : state) {
    now += std::chrono::microseconds(100);
    request.model = names[n++ % names.size()];
    request.prefix_hash = n;
    const RouteChoice choice = router.Choose(now, request);
    if (!choice.server)
      continue;
    router.OnDispatched(now, *choice.server);
    router.OnFirstToken(now, *choice.server);
    router.OnFinished(now, *choice.server, AttemptOutcome::kCompleted,
                      std::chrono::seconds(4));
  }
}
BENCHMARK(BmDecision)
    ->Args({15, 20})
    ->Args({150, 20})
    ->Args({1500, 20})
    ->Args({10000, 20})
    ->Args({10000, 200})
    ->Args({10000, 1100});

/// A whole supervised request of 50 tokens, without I/O.
void BmSupervisedRequest(benchmark::State& state) {
  RoutingState routing;
  routing.router.SetServers(kNow, Servers(state.range(0), 20));
  MonoTime now = kNow;
  std::uint64_t n = 0;
  for (auto it : state) {
    now += std::chrono::milliseconds(1);
    const SupervisorStep step{now, WallTime(std::chrono::hours(1)), routing};
    SupervisedRequest request;
    request.route.request = RequestId("r");
    request.route.account = AccountId("a");
    request.route.model = Model(static_cast<std::int64_t>(n++ % 20));
    request.route.own_zone = ZoneId("zone-3");
    request.fingerprint = {AccountId("a"), n};
    RequestSupervisor supervisor(SupervisorSettings{}, std::move(request));
    supervisor.Start(step);
    for (std::uint32_t i = 0; i < 50; ++i)
      supervisor.OnToken(step, 1, RequestId("r"), i, "word ");
    benchmark::DoNotOptimize(
        supervisor.OnFinal(step, 1, RequestId("r"), 50).size());
  }
}
BENCHMARK(BmSupervisedRequest)->Arg(15)->Arg(10000);

void BmFingerprint(benchmark::State& state) {
  const std::string prompt(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto it : state)
    benchmark::DoNotOptimize(
        FingerprintOf({AccountId("a"), Model(1), AdapterId(), prompt}).hash);
}
BENCHMARK(BmFingerprint)->Arg(1 << 10)->Arg(1 << 14);

void BmSketch(benchmark::State& state) {
  std::string prompt;
  while (prompt.size() < static_cast<std::size_t>(state.range(0)))
    prompt += "word" + std::to_string(prompt.size() * 7919) + " ";
  for (auto it : state)
    benchmark::DoNotOptimize(SketchOf(prompt));
}
BENCHMARK(BmSketch)->Arg(1 << 10)->Arg(1 << 14)->Arg(1 << 17);

/// Push and pop while every account has queued requests.
void BmFairQueue(benchmark::State& state) {
  FairQueue queue;
  const std::int64_t accounts = state.range(0);
  std::uint64_t ticket = 0;
  MonoTime now = kNow;
  const auto push = [&](std::int64_t account) {
    queue.Push(now, {.ticket = ++ticket,
                     .account = AccountId("a" + std::to_string(account)),
                     .model = Model(1),
                     .tokens = 100});
  };
  for (std::int64_t i = 0; i < accounts; ++i)
    push(i);
  std::int64_t next = 0;
  for (auto it : state) {
    now += std::chrono::microseconds(100);
    push(next++ % accounts);
    benchmark::DoNotOptimize(
        queue.Pop(now, [](const ModelId&) { return true; }));
  }
}
BENCHMARK(BmFairQueue)->Arg(5)->Arg(50)->Arg(500);

/// Heap bytes per server, in the counter "bytes_each".
void BmRouterMemory(benchmark::State& state) {
  for (auto it : state) {
    const ServerList list = Servers(state.range(0), state.range(1));
    const std::size_t before = mallinfo2().uordblks;
    Router router;
    router.SetServers(kNow, list);
    const std::size_t after = mallinfo2().uordblks;
    state.counters["bytes_each"] = static_cast<double>(after - before) /
                                   static_cast<double>(state.range(0));
  }
}
BENCHMARK(BmRouterMemory)
    ->Args({150, 20})
    ->Args({1500, 20})
    ->Args({10000, 20})
    ->Args({10000, 1100})
    ->Iterations(1);

/// Object and heap bytes per supervisor of an open stream, in the counter
/// "bytes_each".
void BmStreamMemory(benchmark::State& state) {
  for (auto it : state) {
    RoutingState routing;
    routing.router.SetServers(kNow, Servers(150, 20));
    const SupervisorStep step{kNow, WallTime(std::chrono::hours(1)), routing};
    std::vector<RequestSupervisor> open;
    open.reserve(static_cast<std::size_t>(state.range(0)));
    const std::size_t before = mallinfo2().uordblks;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      SupervisedRequest request;
      request.route.request = RequestId("request-" + std::to_string(i));
      request.route.account = AccountId("a");
      request.route.model = Model(i % 20);
      request.fingerprint = {AccountId("a"), static_cast<std::uint64_t>(i)};
      open.emplace_back(SupervisorSettings{}, std::move(request));
      open.back().Start(step);
    }
    const std::size_t after = mallinfo2().uordblks;
    state.counters["bytes_each"] =
        sizeof(RequestSupervisor) + static_cast<double>(after - before) /
                                        static_cast<double>(state.range(0));
  }
}
BENCHMARK(BmStreamMemory)->Arg(10000)->Iterations(1);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
