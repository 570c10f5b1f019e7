// DEPENDS: membership
// Measures messages, bytes and propagation time of the gossip between entry
// hosts by the number of hosts. The hosts exchange messages in memory with a
// fixed delay and some loss. Counts are exact; times are simulated.
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
/// Fraction of messages lost although both hosts work.
constexpr double kLossProbability = 0.002;
/// Typical size of a change, such as the settings of one client account.
constexpr std::size_t kChangeBytes = 400;
constexpr Duration kStep = milliseconds(100);
/// Maximum simulated time to wait for a condition.
constexpr Duration kMaxWait = seconds(60);

/// A converged fleet: each host knows all others and has read the log.
class ConvergedFleet {
 public:
  explicit ConvergedFleet(int hosts, GossipOptions options = {}) : fleet(1) {
    fleet.options = options;
    for (int i = 0; i < hosts; ++i)
      fleet.Add("host-" + std::to_string(i),
                "zone-" + std::to_string(ZoneOf(i, hosts)));
    fleet.network = [this](const Host&, const Host&) {
      Fate fate;
      fate.lost = std::bernoulli_distribution(kLossProbability)(fleet.random());
      fate.delay = milliseconds(2);
      return fate;
    };
    fleet.log.Append(fleet.now(), Change());
    for (Host& it : fleet.hosts())
      fleet.Start(it);
    std::vector<HostListEntry> listed;
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

  /// Runs until `holds` is true for every host or `kMaxWait` has passed, and
  /// returns the simulated time that took.
  Duration RunUntilAll(const std::function<bool(const Host&)>& holds) {
    const MonoTime start = fleet.now();
    while (fleet.now() < start + kMaxWait) {
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

/// Background traffic: only periodic exchanges and probes.
void BmIdle(benchmark::State& state) {
  for (auto it : state) {
    ConvergedFleet converged(static_cast<int>(state.range(0)));
    converged.fleet.RunUntil(converged.fleet.now() + seconds(10));
    converged.Report(state, Duration{});
  }
}

/// Time until a change appended to the log is applied on every host.
void BmChangeInForce(benchmark::State& state) {
  for (auto it : state) {
    ConvergedFleet converged(static_cast<int>(state.range(0)));
    converged.fleet.log.Append(converged.fleet.now(), ConvergedFleet::Change());
    const std::uint64_t end = converged.fleet.log.end();
    const Duration until_all = converged.RunUntilAll([end](const Host& host) {
      return host.gossip->replica().next_offset() >= end;
    });
    converged.Report(state, until_all);
  }
}

/// Time until a key withdrawn at one host is withdrawn on every host while the
/// log is unreachable.
void BmWithdrawalWithoutLog(benchmark::State& state) {
  for (auto it : state) {
    ConvergedFleet converged(static_cast<int>(state.range(0)));
    converged.fleet.log_network = [](const Host&) {
      return Fate{.lost = true};
    };
    Host& first = converged.fleet.hosts().front();
    wire::KeyWithdrawal withdrawal;
    withdrawal.set_key("key-1");
    converged.fleet.Act(
        first,
        first.gossip->Withdraw(converged.fleet.LocalTime(first), withdrawal));
    const Duration until_all = converged.RunUntilAll([](const Host& host) {
      return host.gossip->IsWithdrawn(KeyId("key-1"));
    });
    converged.Report(state, until_all);
  }
}

/// Two changes per second, the rate in the busiest minute of a day with 14,000
/// changes.
void BmPeakChangeRate(benchmark::State& state) {
  for (auto it : state) {
    ConvergedFleet converged(static_cast<int>(state.range(0)));
    for (int i = 0; i < 20; ++i) {
      converged.fleet.log.Append(converged.fleet.now(),
                                 ConvergedFleet::Change());
      converged.fleet.RunUntil(converged.fleet.now() + milliseconds(500));
    }
    converged.Report(state, Duration{});
  }
}

/// Time until every host notices a failed host that the platform's list still
/// contains.
void BmFailureKnown(benchmark::State& state) {
  for (auto it : state) {
    ConvergedFleet converged(static_cast<int>(state.range(0)));
    Host& dead = converged.fleet.hosts().back();
    const HostId id = dead.id;
    converged.fleet.Stop(dead);
    const Duration until_all = converged.RunUntilAll([&id](const Host& host) {
      if (!host.up)
        return true;
      const KnownHost* known = host.gossip->directory().Find(id);
      return known->condition != wire::HOST_CONDITION_LIVE;
    });
    converged.Report(state, until_all);
  }
}

/// One host of 100 loses its network for 30 s. Counts the working hosts that it
/// considers failed, and the false suspicions on all hosts 2 s after it is
/// back. The argument is the self-check window; 0 disables the self check.
void BmIsolatedHost(benchmark::State& state) {
  GossipOptions options;
  options.directory.self_check_window =
      static_cast<std::size_t>(state.range(0));
  for (auto it : state) {
    ConvergedFleet converged(100, options);
    const HostId isolated = converged.fleet.hosts().front().id;
    const auto normal_network = converged.fleet.network;
    converged.fleet.network = [&](const Host& from, const Host& to) {
      Fate fate = normal_network(from, to);
      fate.lost = fate.lost || from.id == isolated || to.id == isolated;
      return fate;
    };
    converged.fleet.RunUntil(converged.fleet.now() + seconds(30));
    std::size_t considered_failed = 0;
    for (const auto& [id, known] :
         converged.fleet.hosts().front().gossip->directory().hosts())
      considered_failed += known.condition != wire::HOST_CONDITION_LIVE ? 1 : 0;
    converged.fleet.network = normal_network;
    converged.fleet.RunUntil(converged.fleet.now() + seconds(2));
    std::size_t false_suspicions = 0;
    for (const Host& host : converged.fleet.hosts()) {
      for (const auto& [id, known] : host.gossip->directory().hosts()) {
        const bool is_false =
            id != isolated && known.condition != wire::HOST_CONDITION_LIVE;
        false_suspicions += is_false ? 1 : 0;
      }
    }
    state.counters["taken_for_failed"] = static_cast<double>(considered_failed);
    state.counters["wrong_entries_after"] =
        static_cast<double>(false_suspicions);
  }
}

void FleetSizes(benchmark::internal::Benchmark* it) {
  it->Arg(20)->Arg(100)->Arg(400)->Arg(1700)->Iterations(1)->Unit(
      benchmark::kSecond);
}

BENCHMARK(BmIsolatedHost)
    ->Arg(0)
    ->Arg(8)
    ->Iterations(1)
    ->Unit(benchmark::kSecond);
BENCHMARK(BmIdle)->Apply(FleetSizes);
BENCHMARK(BmChangeInForce)->Apply(FleetSizes);
BENCHMARK(BmWithdrawalWithoutLog)->Apply(FleetSizes);
BENCHMARK(BmPeakChangeRate)->Apply(FleetSizes);
BENCHMARK(BmFailureKnown)->Apply(FleetSizes);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
