#include "mangoport/limits/shared_quota.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AccountId kAccount("gallery");
constexpr std::int64_t kRate = 1000;
constexpr std::int64_t kBurst = 1000;
constexpr MonoTime kStart{seconds(500)};

/// Hosts that report their usage to each other. `connected` selects the pairs
/// of hosts that can communicate.
class QuotaFleet {
 public:
  explicit QuotaFleet(std::size_t hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      quotas_.push_back(std::make_unique<SharedQuota>());
      quotas_.back()->SetLimits(kStart, {{kAccount, kRate, kBurst}});
    }
    ReportUsage(kStart, [](std::size_t, std::size_t) { return true; });
  }

  template <typename Connected>
  void ReportUsage(MonoTime now, Connected connected) {
    for (std::size_t i = 0; i < quotas_.size(); ++i) {
      for (std::size_t j = 0; j < quotas_.size(); ++j) {
        if (i == j || !connected(i, j))
          continue;
        quotas_[j]->OnPeerUsage(now, {.host = Name(i),
                                      .incarnation = 1,
                                      .leaving = false,
                                      .uses = quotas_[i]->OwnUsage()});
      }
    }
  }

  /// Requests `amount` tokens at every host. Returns the tokens admitted.
  std::int64_t SpendEverywhere(MonoTime now, std::int64_t amount) {
    std::int64_t spent = 0;
    for (const auto& it : quotas_)
      spent += it->TrySpend(now, kAccount, amount).admitted ? amount : 0;
    return spent;
  }

  SharedQuota& host(std::size_t i) { return *quotas_[i]; }

 private:
  static HostId Name(std::size_t i) { return HostId("h" + std::to_string(i)); }

  std::vector<std::unique_ptr<SharedQuota>> quotas_;
};

/// Requests eight times the rate for eight seconds, with usage reports every
/// 200 ms. Returns the tokens admitted.
template <typename Connected>
std::int64_t SpendForEightSeconds(QuotaFleet& fleet, Connected connected) {
  MonoTime now = kStart + seconds(10);
  // After 10 s without requests the bucket is full on every host.
  for (MonoTime it = kStart; it < now; it += milliseconds(200))
    fleet.ReportUsage(it, connected);
  std::int64_t spent = 0;
  const MonoTime end = now + seconds(8);
  int step = 0;
  for (; now < end; now += milliseconds(10)) {
    // Ten hosts request eight tokens every 10 ms: 8,000 tokens/s.
    spent += fleet.SpendEverywhere(now, 8);
    if (++step % 20 == 0)
      fleet.ReportUsage(now, connected);
  }
  return spent;
}

/// The tokens that an account may spend in eight seconds, from a full bucket.
constexpr std::int64_t kEightSecondLimit = kRate * 8 + kBurst;

Test(shared_quota, account_at_eight_times_its_rate_is_limited_to_its_rate) {
  QuotaFleet fleet(10);
  const std::int64_t spent = SpendForEightSeconds(
      fleet, [](std::size_t, std::size_t) { return true; });
  cr_assert_leq(spent, kEightSecondLimit * 11 / 10);
  cr_assert_geq(spent, kEightSecondLimit * 9 / 10);
}

Test(shared_quota, partitioned_hosts_together_stay_within_rate) {
  QuotaFleet fleet(10);
  const std::int64_t spent = SpendForEightSeconds(
      fleet, [](std::size_t i, std::size_t j) { return (i < 3) == (j < 3); });
  cr_assert_leq(spent, kEightSecondLimit * 11 / 10);
}

/// Like `SpendForEightSeconds`, for a large fleet in which each host sends
/// reports to few others at a time, so that a full round takes 1.5 s.
std::int64_t SpendInLargeFleet(std::size_t hosts,
                               std::int64_t per_host,
                               Duration interval) {
  QuotaFleet fleet(hosts);
  for (std::size_t i = 0; i < hosts; ++i)
    fleet.host(i).set_update_round(milliseconds(1500));
  MonoTime now = kStart;
  std::size_t round_step = 0;
  const auto report = [&] {
    ++round_step;
    fleet.ReportUsage(now, [&](std::size_t i, std::size_t j) {
      return (i + round_step) % (hosts / 2) == j % (hosts / 2);
    });
  };
  // Each host reports to two peers per step, so a round has hosts / 2 steps.
  const Duration step = milliseconds(1500) / (hosts / 2);
  for (; now < kStart + seconds(10); now += step)
    report();
  std::int64_t spent = 0;
  MonoTime requested = now;
  for (const MonoTime end = now + seconds(8); now < end; now += step) {
    for (; requested <= now; requested += interval)
      spent += fleet.SpendEverywhere(now, per_host);
    report();
  }
  return spent;
}

// Guards against overspending between rare updates: with 60 hosts and an update
// round of 1.5 s, an account at eight times its rate spent its burst several
// times over before the updates arrived.
Test(shared_quota, large_fleet_with_rare_updates_stays_within_rate) {
  // 60 hosts x 13 tokens per 100 ms: 7,800 tokens/s.
  const std::int64_t spent = SpendInLargeFleet(60, 13, milliseconds(100));
  cr_assert_leq(spent, kEightSecondLimit * 11 / 10, "%ld",
                static_cast<long>(spent));
  cr_assert_geq(spent, kEightSecondLimit * 8 / 10, "%ld",
                static_cast<long>(spent));
}

// Guards against overspending after all hosts of a large fleet were killed at
// once: each one restarted without knowing any peer and gave the whole rate to
// an account that sent eight times its rate.
Test(shared_quota, hosts_that_start_simultaneously_share_rate) {
  constexpr std::int64_t kHosts = 60;
  std::vector<SharedQuota> quotas(kHosts);
  for (SharedQuota& it : quotas) {
    it.set_update_round(milliseconds(1500));
    it.AwaitHostList();
    it.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  }
  std::int64_t spent = 0;
  for (int step = 1; step <= 15; ++step) {
    const MonoTime now = kStart + milliseconds(100) * step;
    for (SharedQuota& it : quotas) {
      if (step == 3)
        it.OnListed(now, kHosts);
      spent += it.TrySpend(now, kAccount, 13).admitted ? 13 : 0;
    }
  }
  // The rate for 1.5 s, plus one request per host.
  cr_assert_leq(spent, kRate * 3 / 2 + 13 * kHosts, "%ld",
                static_cast<long>(spent));
}

Test(shared_quota, host_list_with_missing_hosts_expires) {
  SharedQuota quota;
  quota.AwaitHostList();
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  quota.OnListed(kStart, 10);
  quota.TrySpend(kStart + seconds(1), kAccount, 1);
  cr_assert_eq(quota.host_count(), 10);
  quota.TrySpend(kStart + seconds(6), kAccount, 1);
  cr_assert_eq(quota.host_count(), 1);
}

Test(shared_quota, account_within_its_rate_is_not_refused) {
  QuotaFleet fleet(10);
  // All requests of the account go to one host.
  MonoTime now = kStart;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    fleet.ReportUsage(now, [](std::size_t, std::size_t) { return true; });
    if (i > 20)
      cr_assert(fleet.host(0).TrySpend(now, kAccount, 90).admitted);
  }
}

Test(shared_quota, refusal_has_retry_after) {
  QuotaFleet fleet(2);
  QuotaDecision last;
  last.admitted = true;
  MonoTime now = kStart + seconds(5);
  while (last.admitted)
    last = fleet.host(0).TrySpend(now, kAccount, 100);
  cr_assert_gt(last.retry_after.count(), 0);
}

Test(shared_quota, refunded_tokens_can_be_spent_again) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  const MonoTime now = kStart + seconds(5);
  cr_assert(quota.TrySpend(now, kAccount, 700).admitted);
  quota.Refund(now, kAccount, 700);
  cr_assert(quota.TrySpend(now, kAccount, 700).admitted);
}

PeerUsage UsageReport(std::uint64_t incarnation, std::int64_t total) {
  return {.host = HostId("b"),
          .incarnation = incarnation,
          .leaving = false,
          .uses = {{kAccount, total}}};
}

Test(shared_quota, usage_of_restarted_peer_starts_from_zero) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  quota.OnPeerUsage(kStart, UsageReport(1, 0));
  const MonoTime now = kStart + seconds(5);
  quota.OnPeerUsage(now, UsageReport(1, 400));
  // The second run has spent 100 tokens. The total did not fall by 300.
  quota.OnPeerUsage(now, UsageReport(2, 100));
  cr_assert(quota.TrySpend(now, kAccount, 400).admitted);
  cr_assert_not(quota.TrySpend(now, kAccount, 300).admitted &&
                quota.TrySpend(now, kAccount, 300).admitted);
}

// Guards against a fault in rolling restarts: each new host charged the whole
// past usage of its peers and refused accounts within their rate for the rest
// of the day.
Test(shared_quota, new_host_does_not_charge_earlier_usage_of_peers) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  const MonoTime now = kStart + seconds(5);
  quota.OnPeerUsage(now, UsageReport(1, 500000));
  quota.OnPeerUsage(now, UsageReport(1, 500100));
  const QuotaDecision decision = quota.TrySpend(now, kAccount, 400);
  cr_assert(decision.admitted);
  cr_assert_geq(decision.level, 0);
}

Test(shared_quota, leaving_host_does_not_count_towards_shares) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  quota.OnPeerUsage(kStart, UsageReport(1, 0));
  cr_assert_eq(quota.host_count(), 2);
  PeerUsage leaving = UsageReport(1, 50);
  leaving.leaving = true;
  quota.OnPeerUsage(kStart, leaving);
  cr_assert_eq(quota.host_count(), 1);
}

// What was spent while there was no limit is no debt: the account was refused
// until a whole day's use had been filled up again.
Test(shared_quota, a_new_limit_does_not_count_what_came_before_it) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, 0, 0}});
  quota.OnPeerUsage(kStart, UsageReport(1, 0));
  cr_assert(quota.TrySpend(kStart, kAccount, 300000).admitted);
  quota.OnPeerUsage(kStart + seconds(1), UsageReport(1, 300000));
  quota.SetLimits(kStart + seconds(1), {{kAccount, kRate, kBurst}});
  const MonoTime now = kStart + seconds(3);
  quota.OnPeerUsage(now, UsageReport(1, 300000));
  cr_assert(quota.TrySpend(now, kAccount, 400).admitted);
}

/// Requests that come at random times to random hosts.
struct RandomLoad {
  AccountId account;
  double tokens_per_second = 0;
  /// Only the first `hosts` of the fleet get them.
  std::size_t hosts = 0;
};

struct LoadResult {
  std::uint64_t asked = 0;
  std::uint64_t refused = 0;
  /// The most tokens admitted in any eight seconds.
  std::int64_t most_in_window = 0;

  double refused_share() const {
    return static_cast<double>(refused) / static_cast<double>(asked);
  }
};

/// A fleet of which each host tells each other one its usage once in two
/// seconds.
class RareReports {
 public:
  static constexpr std::size_t kHosts = 134;
  static constexpr Duration kRound = seconds(2);
  static constexpr Duration kStep = milliseconds(20);

  explicit RareReports(const std::vector<AccountLimit>& limits)
      : quotas_(kHosts), random_(7) {
    for (SharedQuota& it : quotas_) {
      it.set_update_round(kRound);
      it.SetLimits(kStart, limits);
    }
  }

  /// Runs the loads for some time; counts only what comes later than the first
  /// ten seconds.
  std::map<AccountId, LoadResult> Run(const std::vector<RandomLoad>& loads,
                                      Duration time) {
    std::map<AccountId, LoadResult> out;
    std::map<AccountId, std::deque<std::pair<MonoTime, std::int64_t>>> windows;
    const MonoTime end = now_ + time;
    const MonoTime counted_from = now_ + seconds(10);
    for (; now_ < end; now_ += kStep) {
      Report();
      for (const RandomLoad& it : loads) {
        const double mean = it.tokens_per_second / kMeanTokens *
                            std::chrono::duration<double>(kStep).count();
        const int n = std::poisson_distribution<int>(mean)(random_);
        for (int i = 0; i < n; ++i)
          Ask(it, now_ >= counted_from, out[it.account], windows[it.account]);
      }
    }
    return out;
  }

 private:
  static constexpr int kMinTokens = 200;
  static constexpr int kMaxTokens = 1900;
  static constexpr double kMeanTokens = (kMinTokens + kMaxTokens) / 2.0;

  void Ask(const RandomLoad& load,
           bool counted,
           LoadResult& result,
           std::deque<std::pair<MonoTime, std::int64_t>>& window) {
    const std::int64_t tokens =
        std::uniform_int_distribution<int>(kMinTokens, kMaxTokens)(random_);
    SharedQuota& host = quotas_[random_() % load.hosts];
    const bool admitted = host.TrySpend(now_, load.account, tokens).admitted;
    result.asked += counted ? 1 : 0;
    result.refused += counted && !admitted ? 1 : 0;
    if (!admitted)
      return;
    window.emplace_back(now_, tokens);
    while (now_ - window.front().first > seconds(8))
      window.pop_front();
    std::int64_t sum = 0;
    for (const auto& [at, n] : window)
      sum += n;
    result.most_in_window = std::max(result.most_in_window, sum);
  }

  /// In each step some pairs of hosts exchange reports, all in one round.
  void Report() {
    constexpr std::size_t kSteps = kRound / kStep;
    const std::size_t step = steps_++ % kSteps;
    for (std::size_t i = 0; i < kHosts; ++i) {
      const PeerUsage report{.host = HostId("h" + std::to_string(i)),
                             .incarnation = 1,
                             .leaving = false,
                             .uses = quotas_[i].OwnUsage()};
      for (std::size_t j = (step + i) % kSteps; j < kHosts; j += kSteps) {
        if (i != j)
          quotas_[j].OnPeerUsage(now_, report);
      }
    }
  }

  std::vector<SharedQuota> quotas_;
  std::mt19937_64 random_;
  MonoTime now_ = kStart;
  std::size_t steps_ = 0;
};

const AccountId kCalm("calm");
const AccountId kHot("hot");
constexpr std::int64_t kLargeRate = 78240;

std::vector<AccountLimit> LargeLimits() {
  return {{kCalm, kLargeRate, kLargeRate}, {kHot, kLargeRate, kLargeRate}};
}

/// What an account may spend in eight seconds, and a tenth more.
constexpr std::int64_t kLargeWindow = (kLargeRate * 8 + kLargeRate) * 11 / 10;

// An account far below its rate was refused a quarter of what it asked, its
// bucket full: each host took the last report of each other one for its rate,
// and a share of the rate is less than one request.
Test(shared_quota, large_fleet_refuses_no_account_below_its_rate) {
  for (const double use : {0.1, 0.33, 0.6}) {
    RareReports fleet(LargeLimits());
    const auto results = fleet.Run({{.account = kCalm,
                                     .tokens_per_second = kLargeRate * use,
                                     .hosts = RareReports::kHosts}},
                                   seconds(40));
    const LoadResult& calm = results.at(kCalm);
    cr_assert_lt(calm.refused_share(), 0.01, "at %f of its rate: %f", use,
                 calm.refused_share());
  }
}

// The same for an account whose callers come to few hosts.
Test(shared_quota, large_fleet_serves_an_account_with_few_callers) {
  RareReports fleet(LargeLimits());
  const auto results = fleet.Run(
      {{.account = kCalm, .tokens_per_second = kLargeRate / 3.0, .hosts = 12}},
      seconds(40));
  cr_assert_lt(results.at(kCalm).refused_share(), 0.01, "%f",
               results.at(kCalm).refused_share());
}

// The account beside it must keep to its rate and burst, from a calm beginning
// on, and gets what it may spend.
Test(shared_quota, large_fleet_limits_a_hot_account_beside_a_calm_one) {
  RareReports fleet(LargeLimits());
  const RandomLoad calm{.account = kCalm,
                        .tokens_per_second = kLargeRate / 3.0,
                        .hosts = RareReports::kHosts};
  RandomLoad hot{.account = kHot,
                 .tokens_per_second = kLargeRate / 3.0,
                 .hosts = RareReports::kHosts};
  fleet.Run({calm, hot}, seconds(20));
  hot.tokens_per_second = kLargeRate * 6.0;
  const auto results = fleet.Run({calm, hot}, seconds(30));
  cr_assert_lt(results.at(kCalm).refused_share(), 0.01, "%f",
               results.at(kCalm).refused_share());
  cr_assert_leq(results.at(kHot).most_in_window, kLargeWindow, "%ld",
                static_cast<long>(results.at(kHot).most_in_window));
  const LoadResult& served = results.at(kHot);
  cr_assert_leq(served.refused_share(), 0.9, "%f", served.refused_share());
}

}  // namespace
}  // namespace mangoport
