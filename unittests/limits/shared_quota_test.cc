#include "mangoport/limits/shared_quota.h"

#include <array>
#include <chrono>
#include <memory>
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

/// Hosts that tell each other their spending, as far as `connected` allows.
class QuotaFleet {
 public:
  explicit QuotaFleet(std::size_t hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      quotas_.push_back(std::make_unique<SharedQuota>());
      quotas_.back()->SetLimits(kStart, {{kAccount, kRate, kBurst}});
    }
    Tell(kStart, [](std::size_t, std::size_t) { return true; });
  }

  template <typename Connected>
  void Tell(MonoTime now, Connected connected) {
    for (std::size_t i = 0; i < quotas_.size(); ++i) {
      for (std::size_t j = 0; j < quotas_.size(); ++j) {
        if (i == j || !connected(i, j))
          continue;
        quotas_[j]->OnPeer(now, {.host = Name(i),
                                 .incarnation = 1,
                                 .leaving = false,
                                 .uses = quotas_[i]->OwnUse()});
      }
    }
  }

  /// Asks for `amount` at every host; returns what was admitted.
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

/// Eight seconds of eight times the rate, told every 200 ms.
template <typename Connected>
std::int64_t SpendInWindow(QuotaFleet& fleet, Connected connected) {
  MonoTime now = kStart + seconds(10);
  // The account has been idle: its bucket is full on every host.
  for (MonoTime it = kStart; it < now; it += milliseconds(200))
    fleet.Tell(it, connected);
  std::int64_t spent = 0;
  const MonoTime end = now + seconds(8);
  int step = 0;
  for (; now < end; now += milliseconds(10)) {
    // Ten hosts ask for eight tokens every 10 ms: 8,000 a second.
    spent += fleet.SpendEverywhere(now, 8);
    if (++step % 20 == 0)
      fleet.Tell(now, connected);
  }
  return spent;
}

constexpr std::int64_t kAllowed = kRate * 8 + kBurst;

Test(shared_quota, one_account_at_eight_times_its_rate_gets_its_rate) {
  QuotaFleet fleet(10);
  const std::int64_t spent =
      SpendInWindow(fleet, [](std::size_t, std::size_t) { return true; });
  cr_assert_leq(spent, kAllowed * 11 / 10);
  cr_assert_geq(spent, kAllowed * 9 / 10);
}

Test(shared_quota, hosts_that_are_cut_off_stay_within_the_rate_together) {
  QuotaFleet fleet(10);
  const std::int64_t spent = SpendInWindow(
      fleet, [](std::size_t i, std::size_t j) { return (i < 3) == (j < 3); });
  cr_assert_leq(spent, kAllowed * 11 / 10);
}

/// A large fleet in which each host tells one other at a time, so that a round
/// takes a second and a half.
std::int64_t SpendInLargeFleet(std::size_t hosts,
                               std::int64_t per_host,
                               Duration every) {
  QuotaFleet fleet(hosts);
  for (std::size_t i = 0; i < hosts; ++i)
    fleet.host(i).set_round(milliseconds(1500));
  MonoTime now = kStart;
  std::size_t turn = 0;
  const auto tell = [&] {
    ++turn;
    fleet.Tell(now, [&](std::size_t i, std::size_t j) {
      return (i + turn) % (hosts / 2) == j % (hosts / 2);
    });
  };
  // Each of half as many steps tells two peers: a round of 1.5 s.
  const Duration step = milliseconds(1500) / (hosts / 2);
  for (; now < kStart + seconds(10); now += step)
    tell();
  std::int64_t spent = 0;
  MonoTime asked = now;
  for (const MonoTime end = now + seconds(8); now < end; now += step) {
    for (; asked <= now; asked += every)
      spent += fleet.SpendEverywhere(now, per_host);
    tell();
  }
  return spent;
}

// Sixty hosts hear of each other's spending each 1.5 s: an account at eight
// times its rate spent its burst several times over before the words came.
Test(shared_quota, a_large_fleet_keeps_the_rate_between_rare_words) {
  // 60 hosts x 13 tokens a 100 ms: 7,800 a second.
  const std::int64_t spent = SpendInLargeFleet(60, 13, milliseconds(100));
  cr_assert_leq(spent, kAllowed * 11 / 10, "%ld", static_cast<long>(spent));
  cr_assert_geq(spent, kAllowed * 8 / 10, "%ld", static_cast<long>(spent));
}

// All hosts of a large fleet were killed at once while an account sent eight
// times its rate: each came back knowing no other and gave it the whole rate.
Test(shared_quota, hosts_that_all_start_at_once_share_the_rate) {
  constexpr std::int64_t kHosts = 60;
  std::vector<SharedQuota> quotas(kHosts);
  for (SharedQuota& it : quotas) {
    it.set_round(milliseconds(1500));
    it.AwaitList();
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
  // A second and a half, and the last request of each host.
  cr_assert_leq(spent, kRate * 3 / 2 + 13 * kHosts, "%ld",
                static_cast<long>(spent));
}

Test(shared_quota, a_list_that_names_lost_hosts_counts_for_a_time) {
  SharedQuota quota;
  quota.AwaitList();
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  quota.OnListed(kStart, 10);
  quota.TrySpend(kStart + seconds(1), kAccount, 1);
  cr_assert_eq(quota.host_count(), 10);
  quota.TrySpend(kStart + seconds(6), kAccount, 1);
  cr_assert_eq(quota.host_count(), 1);
}

Test(shared_quota, an_account_within_its_rate_is_not_refused) {
  QuotaFleet fleet(10);
  // All of its requests come to one host.
  MonoTime now = kStart;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    fleet.Tell(now, [](std::size_t, std::size_t) { return true; });
    if (i > 20)
      cr_assert(fleet.host(0).TrySpend(now, kAccount, 90).admitted);
  }
}

Test(shared_quota, a_refused_caller_is_told_when_to_come_back) {
  QuotaFleet fleet(2);
  QuotaDecision last;
  last.admitted = true;
  MonoTime now = kStart + seconds(5);
  while (last.admitted)
    last = fleet.host(0).TrySpend(now, kAccount, 100);
  cr_assert_gt(last.retry_after.count(), 0);
}

Test(shared_quota, what_did_not_run_is_given_back) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  const MonoTime now = kStart + seconds(5);
  cr_assert(quota.TrySpend(now, kAccount, 700).admitted);
  quota.Refund(now, kAccount, 700);
  cr_assert(quota.TrySpend(now, kAccount, 700).admitted);
}

PeerSpending Spent(std::uint64_t incarnation, std::int64_t total) {
  return {.host = HostId("b"),
          .incarnation = incarnation,
          .leaving = false,
          .uses = {{kAccount, total}}};
}

Test(shared_quota, a_peers_restart_counts_anew) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  quota.OnPeer(kStart, Spent(1, 0));
  const MonoTime now = kStart + seconds(5);
  quota.OnPeer(now, Spent(1, 400));
  // Its second run has spent 100, not 300 less.
  quota.OnPeer(now, Spent(2, 100));
  cr_assert(quota.TrySpend(now, kAccount, 400).admitted);
  cr_assert_not(quota.TrySpend(now, kAccount, 300).admitted &&
                quota.TrySpend(now, kAccount, 300).admitted);
}

// Hosts were stopped and started in turn; each new one charged all that its
// peers had ever spent, and refused accounts that were within their rate for
// the rest of the day.
Test(shared_quota, a_new_host_does_not_charge_what_peers_spent_before) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  const MonoTime now = kStart + seconds(5);
  quota.OnPeer(now, Spent(1, 500000));
  quota.OnPeer(now, Spent(1, 500100));
  const QuotaDecision decision = quota.TrySpend(now, kAccount, 400);
  cr_assert(decision.admitted);
  cr_assert_geq(decision.level, 0);
}

Test(shared_quota, a_stopping_hosts_share_falls_to_the_others) {
  SharedQuota quota;
  quota.SetLimits(kStart, {{kAccount, kRate, kBurst}});
  quota.OnPeer(kStart, Spent(1, 0));
  cr_assert_eq(quota.host_count(), 2);
  PeerSpending leaving = Spent(1, 50);
  leaving.leaving = true;
  quota.OnPeer(kStart, leaving);
  cr_assert_eq(quota.host_count(), 1);
}

}  // namespace
}  // namespace mangoport
