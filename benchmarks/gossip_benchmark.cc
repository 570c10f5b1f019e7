// DEPENDS: membership
// Messages, bytes and time of the gossip between entry hosts, by the number of
// hosts. The pure decision objects exchange messages in memory with a fixed
// delay and some loss; counts are exact, times are simulated.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <benchmark/benchmark.h>

#include "unittests/support/gossip_fleet.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Host = GossipFleet::Host;

constexpr int kZones = 15;
/// Calls that fail although both ends work.
constexpr double kLoss = 0.002;
/// A change of typical size, such as one client account.
constexpr std::size_t kChangeBytes = 400;
constexpr Duration kStep = milliseconds(100);
constexpr Duration kLimit = seconds(60);

/// Hosts that have settled: each knows all others and has read the log.
class SettledFleet {
 public:
  explicit SettledFleet(int hosts, GossipOptions options = {}) : fleet(1) {
    fleet.options = options;
    for (int i = 0; i < hosts; ++i)
      fleet.Add("host-" + std::to_string(i),
                "zone-" + std::to_string(ZoneOf(i, hosts)));
    fleet.network = [this](const Host&, const Host&) {
      Fate fate;
      fate.lost = std::bernoulli_distribution(kLoss)(fleet.random());
      fate.delay = milliseconds(2);
      return fate;
    };
    fleet.log.Append(fleet.now(), Change());
    for (Host& it : fleet.hosts())
      fleet.Start(it);
    std::vector<HostStatement> listed;
    for (const Host& it : fleet.hosts())
      listed.push_back({it.id, it.zone, it.id.value(), false});
    for (Host& it : fleet.hosts())
      it.gossip->OnPlatformList(fleet.LocalTime(it), Duration{}, listed, {});
    fleet.RunUntil(fleet.now() + seconds(10));
    ResetCounts();
  }

  static int ZoneOf(int host, int hosts) {
    return host % std::min(kZones, std::max(3, hosts / 5));
  }

  static std::string Change() { return std::string(kChangeBytes, 'c'); }

  void ResetCounts() {
    for (Host& it : fleet.hosts())
      it.messages = it.bytes = 0;
    since = fleet.now();
  }

  /// Simulated time until `holds` is true of every host.
  Duration Await(const std::function<bool(const Host&)>& holds) {
    const MonoTime start = fleet.now();
    while (fleet.now() < start + kLimit) {
      if (std::all_of(fleet.hosts().begin(), fleet.hosts().end(), holds))
        break;
      fleet.RunUntil(fleet.now() + kStep);
    }
    return fleet.now() - start;
  }

  void Report(benchmark::State& state, Duration until_all) {
    double messages = 0;
    double bytes = 0;
    double most = 0;
    for (const Host& it : fleet.hosts()) {
      messages += static_cast<double>(it.messages);
      bytes += static_cast<double>(it.bytes);
      most = std::max(most, static_cast<double>(it.bytes));
    }
    const auto hosts = static_cast<double>(fleet.hosts().size());
    const double elapsed =
        std::chrono::duration<double>(fleet.now() - since).count();
    state.counters["all_after_s"] =
        std::chrono::duration<double>(until_all).count();
    state.counters["messages_per_node_s"] = messages / hosts / elapsed;
    state.counters["bytes_per_node_s"] = bytes / hosts / elapsed;
    state.counters["busiest_node_bytes_s"] = most / elapsed;
  }

  GossipFleet fleet;
  MonoTime since{};
};

/// Nothing happens but the periodic exchanges and probes.
void BmQuiet(benchmark::State& state) {
  for (auto it : state) {
    SettledFleet settled(static_cast<int>(state.range(0)));
    settled.fleet.RunUntil(settled.fleet.now() + seconds(10));
    settled.Report(state, Duration{});
  }
}

/// One change is appended to the log, which readers in each zone follow.
void BmChangeInForce(benchmark::State& state) {
  for (auto it : state) {
    SettledFleet settled(static_cast<int>(state.range(0)));
    settled.fleet.log.Append(settled.fleet.now(), SettledFleet::Change());
    const std::uint64_t end = settled.fleet.log.end();
    const Duration all = settled.Await([end](const Host& host) {
      return host.gossip->replica().next_offset() >= end;
    });
    settled.Report(state, all);
  }
}

/// A key is withdrawn at one host while the log is out for all.
void BmWithdrawalWithoutLog(benchmark::State& state) {
  for (auto it : state) {
    SettledFleet settled(static_cast<int>(state.range(0)));
    settled.fleet.log_network = [](const Host&) { return Fate{.lost = true}; };
    Host& first = settled.fleet.hosts().front();
    wire::KeyWithdrawal withdrawal;
    withdrawal.set_key("key-1");
    settled.fleet.Act(first, first.gossip->Withdraw(
                                 settled.fleet.LocalTime(first), withdrawal));
    const Duration all = settled.Await([](const Host& host) {
      return host.gossip->IsWithdrawn(KeyId("key-1"));
    });
    settled.Report(state, all);
  }
}

/// The busiest minute of a day of 14,000 changes: two a second.
void BmBusy(benchmark::State& state) {
  for (auto it : state) {
    SettledFleet settled(static_cast<int>(state.range(0)));
    for (int i = 0; i < 20; ++i) {
      settled.fleet.log.Append(settled.fleet.now(), SettledFleet::Change());
      settled.fleet.RunUntil(settled.fleet.now() + milliseconds(500));
    }
    settled.Report(state, Duration{});
  }
}

/// One host dies; the list goes on to show it. Until all hosts know.
void BmFailureKnown(benchmark::State& state) {
  for (auto it : state) {
    SettledFleet settled(static_cast<int>(state.range(0)));
    Host& dead = settled.fleet.hosts().back();
    const HostId id = dead.id;
    settled.fleet.Stop(dead);
    const Duration all = settled.Await([&id](const Host& host) {
      if (!host.up)
        return true;
      const KnownHost* known = host.gossip->directory().Find(id);
      return known->condition != wire::HOST_CONDITION_LIVE;
    });
    settled.Report(state, all);
  }
}

/// One host of 100 loses its network for a while. Counts the working hosts
/// that it takes for failed, and the hosts that are wrongly suspected by
/// anybody once it is back; with and without the host judging itself first.
void BmIsolatedHost(benchmark::State& state) {
  GossipOptions options;
  options.directory.self_check_window =
      static_cast<std::size_t>(state.range(0));
  for (auto it : state) {
    SettledFleet settled(100, options);
    const HostId cut = settled.fleet.hosts().front().id;
    const auto working = settled.fleet.network;
    settled.fleet.network = [&](const Host& from, const Host& to) {
      Fate fate = working(from, to);
      fate.lost = fate.lost || from.id == cut || to.id == cut;
      return fate;
    };
    settled.fleet.RunUntil(settled.fleet.now() + seconds(30));
    std::size_t taken_for_failed = 0;
    for (const auto& [id, known] :
         settled.fleet.hosts().front().gossip->directory().hosts())
      taken_for_failed += known.condition != wire::HOST_CONDITION_LIVE ? 1 : 0;
    settled.fleet.network = working;
    settled.fleet.RunUntil(settled.fleet.now() + seconds(2));
    std::size_t suspected = 0;
    for (const Host& host : settled.fleet.hosts()) {
      for (const auto& [id, known] : host.gossip->directory().hosts()) {
        const bool wrongly =
            id != cut && known.condition != wire::HOST_CONDITION_LIVE;
        suspected += wrongly ? 1 : 0;
      }
    }
    state.counters["taken_for_failed"] = static_cast<double>(taken_for_failed);
    state.counters["wrong_entries_after"] = static_cast<double>(suspected);
  }
}

void Sizes(benchmark::internal::Benchmark* it) {
  it->Arg(20)->Arg(100)->Arg(400)->Arg(1700)->Iterations(1)->Unit(
      benchmark::kSecond);
}

BENCHMARK(BmIsolatedHost)
    ->Arg(0)
    ->Arg(8)
    ->Iterations(1)
    ->Unit(benchmark::kSecond);
BENCHMARK(BmQuiet)->Apply(Sizes);
BENCHMARK(BmChangeInForce)->Apply(Sizes);
BENCHMARK(BmWithdrawalWithoutLog)->Apply(Sizes);
BENCHMARK(BmBusy)->Apply(Sizes);
BENCHMARK(BmFailureKnown)->Apply(Sizes);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
