// DEPENDS: limits
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/limits/budget_allocator.h"
#include "mangoport/limits/host_budget.h"
#include "unittests/limits/budget_fleet.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<AccountLimit> MakeAccounts(std::int64_t n) {
  std::vector<AccountLimit> limits;
  for (std::int64_t i = 0; i < n; ++i)
    limits.push_back(
        {AccountId("account-" + std::to_string(i)), 1000000, 1000000000});
  return limits;
}

const AllocatorId kAllocator = {StreamId("budget.a"), {7, 0}};

BudgetAllocator MakeAllocator(const std::vector<AccountLimit>& limits,
                              MonoTime now) {
  const BudgetSettings settings;
  BudgetAllocator allocator("dealer", settings, settings.host_grant_lease);
  allocator.SetLimits(now, limits);
  allocator.StartEpoch(now, kAllocator, {.fresh = true, .reserves = {}});
  allocator.SetHeldUntil(MonoTime::max());
  return allocator;
}

/// Time per admitted request, by number of accounts.
void BmSpend(benchmark::State& state) {
  const auto limits = MakeAccounts(state.range(0));
  MonoTime now{seconds(1000)};
  BudgetAllocator allocator = MakeAllocator(limits, now);
  HostBudget host("host", {});
  host.SetLimits(limits);
  host.SetAllocator(now, kAllocator);
  for (const AccountLimit& it : limits)
    host.TrySpend(now, {it.account, 50'000'000, now, false});
  if (auto request = host.MakeRequest(now))
    host.OnReply(now, *allocator.OnRequest(now, *request));
  std::size_t i = 0;
  std::int64_t admitted = 0;
  for (auto it : state) {
    const auto decision = host.TrySpend(
        now, {limits[i++ % limits.size()].account, 1, now, false});
    admitted += decision.verdict == SpendVerdict::kAdmitted ? 1 : 0;
  }
  state.counters["admitted_part"] =
      static_cast<double>(admitted) / static_cast<double>(state.iterations());
}
BENCHMARK(BmSpend)->Arg(5)->Arg(50)->Arg(500)->Arg(5000);

/// Time per exchange with one host that reports 20 accounts, by number of hosts
/// in the zone.
void BmDeal(benchmark::State& state) {
  constexpr int kAccounts = 20;
  const auto limits = MakeAccounts(kAccounts);
  MonoTime now{seconds(1000)};
  BudgetAllocator allocator = MakeAllocator(limits, now);
  std::vector<std::unique_ptr<GranteeSession>> grantees;
  std::vector<GrantNeed> needs;
  for (int i = 0; i < state.range(0); ++i)
    grantees.push_back(
        std::make_unique<GranteeSession>("h" + std::to_string(i), kAllocator));
  for (const AccountLimit& it : limits)
    needs.push_back({it.account, 100, 0, 0, 0});
  std::size_t i = 0;
  std::size_t bytes = 0;
  for (auto it : state) {
    now += std::chrono::microseconds(100);
    GranteeSession& grantee = *grantees[i++ % grantees.size()];
    const auto request = grantee.MakeRequest(now, needs);
    const auto reply = allocator.OnRequest(now, request);
    if (!reply)
      continue;
    bytes += request.ByteSizeLong() + reply->ByteSizeLong();
    grantee.OnReply(now, *reply, MonoTime::min());
  }
  state.counters["bytes_per_exchange"] =
      static_cast<double>(bytes) / static_cast<double>(state.iterations());
}
BENCHMARK(BmDeal)->Arg(20)->Arg(60)->Arg(120);

/// Heap bytes of one host's state per account, after one request per account.
void BmHostBytesPerAccount(benchmark::State& state) {
  const auto limits = MakeAccounts(state.range(0));
  const MonoTime now{seconds(1000)};
  double bytes = 0;
  for (auto it : state) {
    const auto before = mallinfo2().uordblks;
    HostBudget host("host", {});
    host.SetLimits(limits);
    host.SetAllocator(now, kAllocator);
    for (const AccountLimit& limit : limits)
      host.TrySpend(now, {limit.account, 100, now, false});
    benchmark::DoNotOptimize(host.MakeRequest(now));
    bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  state.counters["bytes_per_account"] =
      bytes / static_cast<double>(state.range(0));
}
BENCHMARK(BmHostBytesPerAccount)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Iterations(1);

std::vector<AccountLimit> MakeFiveAccounts(double scale) {
  std::vector<AccountLimit> limits;
  for (const int rate : {8000, 4000, 2000, 1000, 500}) {
    const auto tokens = static_cast<std::int64_t>(rate * scale);
    limits.push_back({AccountId("a" + std::to_string(rate)), tokens,
                      std::max<std::int64_t>(5 * tokens, 4000)});
  }
  return limits;
}

/// Generates arrivals at 80% of each account's rate, in bursts, with a skewed
/// distribution over hosts.
class Arrivals {
 public:
  struct Arrival {
    std::size_t host = 0;
    std::size_t account = 0;
    std::int64_t tokens = 0;
  };

  Arrivals(std::uint64_t seed,
           std::size_t hosts,
           double skew,
           const std::vector<AccountLimit>& limits)
      : random_(seed), limits_(limits) {
    std::vector<double> weights;
    for (std::size_t i = 0; i < hosts; ++i)
      weights.push_back(1 / std::pow(static_cast<double>(i + 1), skew));
    for (std::size_t a = 0; a < limits.size(); ++a) {
      std::shuffle(weights.begin(), weights.end(), random_);
      hosts_.emplace_back(weights.begin(), weights.end());
    }
  }

  std::vector<Arrival> Next(std::chrono::nanoseconds now, Duration step) {
    std::vector<Arrival> arrivals;
    for (std::size_t a = 0; a < limits_.size(); ++a) {
      // Twice the mean rate for two seconds, then no arrivals for two seconds.
      const auto phase = (now + seconds(a)) % seconds(4);
      if (phase > seconds(2))
        continue;
      const double mean_tokens = 600;
      const double n =
          2 * 0.8 * static_cast<double>(limits_[a].tokens_per_second) *
          std::chrono::duration<double>(step).count() / mean_tokens;
      const int count = std::poisson_distribution<int>(n)(random_);
      for (int i = 0; i < count; ++i)
        arrivals.push_back(
            {hosts_[a](random_), a,
             std::uniform_int_distribution<std::int64_t>(200, 1000)(random_)});
    }
    return arrivals;
  }

 private:
  std::mt19937_64 random_;
  std::vector<AccountLimit> limits_;
  std::vector<std::discrete_distribution<std::size_t>> hosts_;
};

/// A reference token bucket that is charged with all requests that one policy
/// admitted. Its level is what the account may still spend.
struct Bucket {
  double level = 0;
  double rate = 0;
  double cap = 0;
  double at = 0;

  void Fill(double now) {
    level = std::min(cap, level + rate * (now - at));
    at = now;
  }
};

/// Counts all requests, and those that a policy refused although the reference
/// bucket had enough tokens.
struct Refusals {
  std::uint64_t offered = 0;
  std::uint64_t refused_within_rate = 0;
  double refused_fraction() const {
    return static_cast<double>(refused_within_rate) /
           static_cast<double>(offered);
  }
};

/// Requests that arrive in the first `kWarmUp` are not submitted.
constexpr auto kWarmUp = seconds(3);
constexpr auto kRunTime = seconds(33);

Refusals RunEqualSplit(std::uint64_t seed, std::size_t hosts, double skew) {
  const auto limits = MakeFiveAccounts(1);
  Arrivals arrivals(seed, hosts, skew, limits);
  std::vector<Bucket> reference;
  std::vector<Bucket> shares;
  for (const AccountLimit& it : limits) {
    const auto rate = static_cast<double>(it.tokens_per_second);
    const auto burst = static_cast<double>(it.burst_tokens);
    const auto n = static_cast<double>(hosts);
    reference.push_back({burst, rate, burst, 0});
    for (std::size_t i = 0; i < hosts; ++i)
      shares.push_back({burst / n, rate / n, burst / n, 0});
  }
  Refusals refusals;
  for (auto now = std::chrono::nanoseconds(0); now < kRunTime;
       now += milliseconds(1)) {
    const double t = std::chrono::duration<double>(now).count();
    for (const auto& it : arrivals.Next(now, milliseconds(1))) {
      if (now < kWarmUp)
        continue;
      Bucket& total = reference[it.account];
      Bucket& share = shares[it.account * hosts + it.host];
      total.Fill(t);
      share.Fill(t);
      ++refusals.offered;
      const auto tokens = static_cast<double>(it.tokens);
      if (share.level >= tokens) {
        share.level -= tokens;
        total.level -= tokens;
      } else if (total.level >= tokens) {
        ++refusals.refused_within_rate;
      }
    }
  }
  return refusals;
}

Refusals RunAllocator(std::uint64_t seed, int hosts_per_zone, double skew) {
  const auto limits = MakeFiveAccounts(1);
  FleetOptions options;
  options.hosts_per_zone = hosts_per_zone;
  BudgetFleet fleet(options, seed, limits);
  Arrivals arrivals(seed, fleet.processes().size(), skew, limits);
  std::map<AccountId, Bucket> reference;
  for (const AccountLimit& it : limits) {
    const auto burst = static_cast<double>(it.burst_tokens);
    reference[it.account] = {burst, static_cast<double>(it.tokens_per_second),
                             burst, 0};
  }
  Refusals refusals;
  const auto seconds_now = [&fleet] {
    return std::chrono::duration<double>(fleet.now()).count();
  };
  fleet.on_admitted = [&](auto&, const BudgetFleet::Charge& charge) {
    Bucket& total = reference[charge.receipt.account];
    total.Fill(seconds_now());
    total.level -= static_cast<double>(charge.receipt.tokens);
  };
  fleet.on_refused = [&](auto&, const SpendRequest& request) {
    Bucket& total = reference[request.account];
    total.Fill(seconds_now());
    if (total.level >= static_cast<double>(request.tokens))
      ++refusals.refused_within_rate;
  };
  while (fleet.now() < kRunTime) {
    fleet.Step();
    for (const auto& it : arrivals.Next(fleet.now(), options.step)) {
      if (fleet.now() < kWarmUp)
        continue;
      ++refusals.offered;
      fleet.Submit(fleet.processes()[it.host], limits[it.account].account,
                   it.tokens);
    }
  }
  return refusals;
}

/// Fraction of requests that were refused although the account was within its
/// limits, for 18 hosts and ten seeds. `skew` is the exponent x 100 of the
/// power law that distributes arrivals over hosts.
void BmRefusedInsideRate(benchmark::State& state) {
  constexpr int kSeeds = 10;
  const double skew = static_cast<double>(state.range(0)) / 100;
  const bool equal_split = state.range(1) != 0;
  double sum = 0;
  double min_fraction = 1;
  double max_fraction = 0;
  double offered = 0;
  for (auto it : state) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      const Refusals refusals = equal_split ? RunEqualSplit(seed, 18, skew)
                                            : RunAllocator(seed, 6, skew);
      sum += refusals.refused_fraction();
      min_fraction = std::min(min_fraction, refusals.refused_fraction());
      max_fraction = std::max(max_fraction, refusals.refused_fraction());
      offered += static_cast<double>(refusals.offered);
    }
  }
  state.counters["refused_inside_percent"] = 100 * sum / kSeeds;
  state.counters["least_percent"] = 100 * min_fraction;
  state.counters["most_percent"] = 100 * max_fraction;
  state.counters["requests"] = offered;
}
BENCHMARK(BmRefusedInsideRate)
    ->ArgNames({"skew", "equal_split"})
    ->ArgsProduct({{0, 100, 200}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Rates of budget messages and bytes, by number of hosts in each of three
/// zones. The load per host is constant.
void BmFleetTraffic(benchmark::State& state) {
  constexpr double kSeconds = 10;
  FleetOptions options;
  options.hosts_per_zone = static_cast<int>(state.range(0));
  const int hosts = options.zones * options.hosts_per_zone;
  const auto limits = MakeFiveAccounts(hosts / 18.0);
  for (auto it : state) {
    BudgetFleet fleet(options, 1, limits);
    Arrivals arrivals(1, fleet.processes().size(), 1.0, limits);
    fleet.on_admitted = [](auto&, const auto&) {};
    fleet.on_refused = [](auto&, const auto&) {};
    while (fleet.now() < seconds(10)) {
      fleet.Step();
      for (const auto& arrival : arrivals.Next(fleet.now(), options.step))
        fleet.Submit(fleet.processes()[arrival.host],
                     limits[arrival.account].account, arrival.tokens);
    }
    state.counters["messages_per_host_s"] =
        static_cast<double>(fleet.messages()) / hosts / kSeconds;
    state.counters["bytes_per_host_s"] =
        static_cast<double>(fleet.message_bytes()) / hosts / kSeconds;
    state.counters["log_records_s"] =
        static_cast<double>(fleet.log_records()) / kSeconds;
  }
}
BENCHMARK(BmFleetTraffic)
    ->Arg(6)
    ->Arg(20)
    ->Arg(60)
    ->Arg(120)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
