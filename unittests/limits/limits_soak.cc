// Injects faults into a simulated fleet of hosts, allocators and leases, and
// checks that each account's admitted tokens stay within burst + rate x time
// over every interval. The check uses only the admitted requests and the true
// time.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mangoport/core/invariant.h"
#include "unittests/limits/budget_fleet.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TrueTime = BudgetFleet::TrueTime;

double Seconds(TrueTime time) {
  return std::chrono::duration<double>(time).count();
}

/// Records each admitted request with its true time. The bound holds over
/// every interval if and only if a token bucket with these charges never falls
/// below zero.
class Observer {
 public:
  /// Sets the greatest limits that any process may still apply.
  void SetLimit(const AccountId& account, double rate, double burst) {
    Account& it = accounts_[account];
    if (it.limit_changes.empty())
      it.level = burst;
    if (it.limit_changes.empty() || it.limit_changes.back().rate != rate ||
        it.limit_changes.back().burst != burst)
      it.limit_changes.push_back({now_, rate, burst});
  }

  void SetNow(TrueTime now) { now_ = now; }

  void Admit(const AccountId& account, std::uint64_t id, std::int64_t tokens) {
    accounts_[account].spends.push_back({now_, id, tokens});
  }

  void Refund(const AccountId& account, std::uint64_t id, std::int64_t tokens) {
    auto& spends = accounts_[account].spends;
    for (auto it = spends.rbegin(); it != spends.rend(); ++it) {
      if (it->id == id)
        it->tokens -= tokens;
    }
  }

  /// Checks that all charges so far are within the bound, and would be if all
  /// `spendable` tokens were spent now.
  void Check(const std::function<std::int64_t(const AccountId&)>& spendable) {
    for (auto& [id, it] : accounts_)
      CheckAccount(id, it, spendable(id));
  }

 private:
  struct Spend {
    TrueTime at;
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
  };
  struct LimitChange {
    TrueTime at;
    double rate = 0;
    double burst = 0;
  };
  struct Account {
    double level = 0;
    TrueTime level_at{0};
    std::deque<Spend> spends;
    std::deque<LimitChange> limit_changes;
  };

  /// Refills `level` from the time `at` to the time `to`, and advances `at`.
  static void Fill(const Account& account,
                   TrueTime& at,
                   TrueTime to,
                   double& level) {
    for (std::size_t i = 0; i < account.limit_changes.size(); ++i) {
      const LimitChange& change = account.limit_changes[i];
      if (i > 0 && change.at > to)
        break;
      const TrueTime end = i + 1 < account.limit_changes.size()
                               ? account.limit_changes[i + 1].at
                               : to;
      const TrueTime until = std::min(end, to);
      if (until < at)
        continue;
      level = std::min(change.burst, level + change.rate * Seconds(until - at));
      at = until;
    }
  }

  void CheckAccount(const AccountId& id,
                    Account& account,
                    std::int64_t spendable) {
    double level = account.level;
    TrueTime at = account.level_at;
    // Earlier charges are not refunded any more, so they need not be kept.
    const TrueTime refundable_since = now_ - seconds(6);
    std::size_t settled = 0;
    for (const Spend& it : account.spends) {
      Fill(account, at, it.at, level);
      level -= static_cast<double>(it.tokens);
      CheckInvariant(
          level > -0.5, "admitted tokens stay within rate and burst", [&] {
            return id.value() + ": over by " + std::to_string(-level) +
                   " tokens at " + std::to_string(Seconds(it.at)) + " s";
          });
      if (it.at < refundable_since) {
        ++settled;
        account.level = level;
        account.level_at = it.at;
      }
    }
    Fill(account, at, now_, level);
    CheckInvariant(static_cast<double>(spendable) <= level + 0.5,
                   "spendable tokens stay within rate and burst", [&] {
                     return id.value() + ": " + std::to_string(spendable) +
                            " spendable of " + std::to_string(level);
                   });
    account.spends.erase(
        account.spends.begin(),
        account.spends.begin() + static_cast<std::ptrdiff_t>(settled));
    while (account.limit_changes.size() > 1 &&
           account.limit_changes[1].at <= account.level_at)
      account.limit_changes.pop_front();
  }

  TrueTime now_{0};
  std::map<AccountId, Account> accounts_;
};

/// The kinds of faults in one episode, and their rate. A stop is a planned
/// shutdown.
struct FaultMix {
  bool zone_partitions = false;
  bool log_outages = false;
  bool stops = false;
  bool kills = false;
  bool limit_changes = false;
  bool pauses = false;
  bool log_partitions = false;
  bool large_drift = false;
  /// Injects only changes of the pool's holder, with time to refill in between.
  bool holder_changes_only = false;
  std::uint64_t holder_change_kind = 0;
  double faults_per_second = 0;
  bool unreliable_network = false;
};

/// Picks a subset of the faults, since many kinds at a time can hide a
/// violation that few would show.
FaultMix PickMix(std::mt19937_64& random) {
  const auto chance = [&random] { return random() % 2 == 0; };
  FaultMix mix;
  mix.zone_partitions = chance();
  mix.log_outages = chance();
  mix.stops = chance();
  mix.kills = chance();
  mix.limit_changes = chance() && chance();
  mix.pauses = chance();
  mix.log_partitions = chance();
  mix.large_drift = random() % 4 != 0;
  mix.unreliable_network = chance();
  constexpr double kRates[] = {0, 0.3, 1, 3};
  mix.faults_per_second = kRates[random() % 4];
  mix.holder_changes_only = chance();
  if (mix.holder_changes_only) {
    mix.unreliable_network = false;
    mix.holder_change_kind = random() % 4;
    mix.faults_per_second = 0.25;
  }
  return mix;
}

FleetOptions SoakFleet(const FaultMix& mix) {
  FleetOptions options;
  options.step = milliseconds(5);
  options.delay_within_zone = milliseconds(4);
  options.delay_between_zones = milliseconds(9);
  if (mix.unreliable_network) {
    options.loss_fraction = 0.03;
    options.duplicated_fraction = 0.03;
    options.delayed_fraction = 0.03;
    options.append_fault_probability = 0.1;
  }
  options.drift = mix.large_drift ? 0.2 : 0.002;
  BudgetSettings& s = options.settings;
  s.pool_holder_lease = milliseconds(1000);
  s.floor_holder_lease = milliseconds(2500);
  s.holder_renew_interval = milliseconds(150);
  s.host_grant_lease = milliseconds(400);
  s.zone_grant_lease = milliseconds(1000);
  s.max_clock_drift = options.drift;
  s.floor_rate_fraction = 0.5;
  s.floor_burst_fraction = 0.4;
  s.max_wait = milliseconds(50);
  s.request_interval = milliseconds(5);
  s.report_interval = milliseconds(60);
  s.demand_horizon = milliseconds(400);
  s.recent_refund_age = milliseconds(500);
  s.old_refund_age = milliseconds(3000);
  s.overflow_capacity_window = milliseconds(200);
  s.recent_capacity_window = milliseconds(2200);
  s.old_capacity_window = milliseconds(4700);
  return options;
}

/// "flooding" always requests several times its rate. Only "steady" and "quick"
/// have refunds, since a lost refund leaves slack that can hide a violation.
std::vector<AccountLimit> FirstLimits() {
  return {{AccountId("steady"), 2000, 3000},
          {AccountId("light"), 20000, 3000},
          {AccountId("quick"), 20000, 5000},
          {AccountId("flooding"), 4000, 6000},
          {AccountId("slow"), 800, 9000}};
}

/// Runs a new fleet with one mix of faults.
class Episode {
 public:
  Episode(const FaultMix& mix, std::uint64_t seed, SoakProgress& progress)
      : mix_(mix),
        options_(SoakFleet(mix)),
        progress_(progress),
        fleet_(options_, seed, FirstLimits()) {
    fleet_.on_admitted = [this](auto& host, const auto& charge) {
      OnAdmitted(host, charge);
    };
    fleet_.on_resumed = [this](auto& host, MonoTime paused_at) {
      OnResumed(host, paused_at);
    };
    fleet_.on_refused = [this](auto&, const auto&) { ++refused_; };
    fleet_.on_event = [this](std::string it) {
      const bool pool = it.ends_with(" is the holder of log 0");
      progress_.Note(std::move(it));
      if (fleet_.Chance(0.5))
        StartSpendAll(pool);
      if (!pool || !std::exchange(kill_next_holder_, false))
        return;
      scheduled_.emplace(fleet_.now() + milliseconds(100 + fleet_.Pick(500)),
                         [this] { KillPoolHolder(); });
    };
  }

  /// Runs one step of the soak, which has several steps of the fleet.
  void Step() {
    constexpr int kFleetSteps = 10;
    for (int i = 0; i < kFleetSteps; ++i) {
      fleet_.Step();
      observer_.SetNow(fleet_.now());
      UpdateObservedLimits();
      GenerateDemand();
      RefundFinished();
      InjectFaults();
    }
    observer_.Check([this](const AccountId& it) { return Spendable(it); });
  }

  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t refused() const { return refused_; }

 private:
  /// Returns the tokens that hosts hold under live leases plus those that
  /// holders can allocate.
  std::int64_t Spendable(const AccountId& account) {
    std::int64_t n = 0;
    for (BudgetFleet::Process& it : fleet_.processes()) {
      if (!it.up)
        continue;
      const MonoTime now = fleet_.ClockOf(it);
      n += it.budget->balance(now, account);
      for (int tier : {0, 1}) {
        if (it.leases[tier]->holds(now))
          n += it.allocators[tier]->free(now, account);
      }
    }
    return n;
  }

  struct OpenRequest {
    BudgetFleet::Process* host = nullptr;
    int run = 0;
    BudgetFleet::Charge charge;
    TrueTime ends;
  };

  void OnAdmitted(BudgetFleet::Process& host,
                  const BudgetFleet::Charge& charge) {
    ++admitted_;
    CheckInvariant(fleet_.ClockOf(host) < charge.receipt.valid_until,
                   "no request is dispatched on an expired grant",
                   [&host] { return host.name; });
    observer_.Admit(charge.receipt.account, charge.id, charge.receipt.tokens);
    const TrueTime length = milliseconds(fleet_.Pick(2500));
    const std::string& account = charge.receipt.account.value();
    const bool refunds = account == "steady" || account == "quick";
    if (refunds && fleet_.Chance(0.7))
      open_requests_.push_back(
          {&host, host.run, charge, fleet_.now() + length});
  }

  /// Passes the current limits to the observer. The greater of the old and new
  /// limits applies until every process has applied a change and the grants
  /// from before it have expired.
  void UpdateObservedLimits() {
    std::size_t oldest = fleet_.configs().size() - 1;
    for (const auto& it : fleet_.processes()) {
      if (it.up)
        oldest = std::min(oldest, it.config_version);
    }
    if (oldest != oldest_applied_config_) {
      old_grants_until_ = fleet_.now() + 3 * options_.settings.zone_grant_lease;
      oldest_granted_config_ =
          std::min(oldest_granted_config_, oldest_applied_config_);
      oldest_applied_config_ = oldest;
    }
    if (fleet_.now() >= old_grants_until_)
      oldest_granted_config_ = oldest;
    for (const AccountLimit& account : FirstLimits()) {
      double rate = 0;
      double burst = 0;
      for (std::size_t v = oldest_granted_config_; v < fleet_.configs().size();
           ++v) {
        for (const AccountLimit& it : fleet_.configs()[v]) {
          if (it.account != account.account)
            continue;
          if (v >= oldest)
            rate = std::max(rate, static_cast<double>(it.tokens_per_second));
          burst = std::max(burst, static_cast<double>(it.burst_tokens));
        }
      }
      observer_.SetLimit(account.account, rate, burst);
    }
  }

  void GenerateDemand() {
    if (!mix_.holder_changes_only &&
        fleet_.Chance(0.3 * Seconds(options_.step)))
      StartSpendAll();
    if (fleet_.now() < spend_all_until_)
      SpendAll();
    for (const AccountLimit& it : fleet_.configs().back()) {
      const std::int64_t max_size = it.burst_tokens / 8;
      const double load = it.account.value() == "flooding" ? 5.0
                          : it.account.value() == "light"  ? 0.1
                          : it.account.value() == "slow"   ? 0.2
                                                           : 0.6;
      double arrivals = load * static_cast<double>(it.tokens_per_second) *
                        Seconds(options_.step) /
                        (static_cast<double>(max_size) / 2);
      for (; arrivals >= 1 || (arrivals > 0 && fleet_.Chance(arrivals));
           arrivals -= 1) {
        BudgetFleet::Process& host = PickHost();
        const auto size = static_cast<std::int64_t>(
            1 + fleet_.Pick(static_cast<std::uint64_t>(max_size)));
        if (host.up && !host.paused)
          fleet_.Submit(host, it.account, size);
      }
    }
  }

  /// Requests all available tokens at all hosts, in small requests. This
  /// reveals tokens that were allocated twice.
  void SpendAll() {
    for (BudgetFleet::Process& host : fleet_.processes()) {
      if (!host.up || host.paused)
        continue;
      for (const AccountLimit& it : fleet_.configs().back()) {
        // The slow account takes a long time to refill.
        if (it.account.value() != "slow" || spends_slow_account_)
          fleet_.Submit(host, it.account, 1 + it.burst_tokens / 40);
      }
    }
  }

  /// Makes the hosts spend all available tokens for a short time. Includes the
  /// slow account if `also_slow` is set.
  void StartSpendAll(bool also_slow = false) {
    spends_slow_account_ =
        also_slow || (spends_slow_account_ && fleet_.now() < spend_all_until_);
    spend_all_until_ =
        fleet_.now() + milliseconds((also_slow ? 500 : 50) + fleet_.Pick(400));
  }

  /// Returns the host for a new request: mostly one that changes every 3 s.
  BudgetFleet::Process& PickHost() {
    const std::size_t n = fleet_.processes().size();
    const auto period = static_cast<std::size_t>(fleet_.now() / seconds(3));
    if (fleet_.Chance(0.7))
      return fleet_.processes()[period * 5 % n];
    return fleet_.processes()[fleet_.Pick(n)];
  }

  void RefundFinished() {
    std::erase_if(open_requests_, [this](OpenRequest& it) {
      const bool alive = it.host->up && it.host->run == it.run;
      if (!alive)
        return true;
      if (it.host->paused || fleet_.now() < it.ends)
        return false;
      SpendReceipt receipt = it.charge.receipt;
      const std::int64_t unused = static_cast<std::int64_t>(
          fleet_.Pick(static_cast<std::uint64_t>(receipt.tokens) + 1));
      observer_.Refund(receipt.account, it.charge.id, unused);
      it.host->budget->Refund(fleet_.ClockOf(*it.host), receipt, unused);
      return true;
    });
  }

  void InjectFaults() {
    for (auto it = scheduled_.begin();
         it != scheduled_.end() && it->first <= fleet_.now();
         it = scheduled_.erase(it))
      it->second();
    if (!fleet_.Chance(mix_.faults_per_second * Seconds(options_.step)))
      return;
    if (mix_.holder_changes_only) {
      FailPoolHolder();
      return;
    }
    // Holders are hit more often than other hosts.
    BudgetFleet::Process& host =
        fleet_.Chance(0.7)
            ? PickHolder()
            : fleet_.processes()[fleet_.Pick(fleet_.processes().size())];
    const Duration time = milliseconds(50 + fleet_.Pick(3000));
    if (fleet_.Chance(0.5))
      scheduled_.emplace(fleet_.now() + milliseconds(fleet_.Pick(1500)),
                         [this] { StartSpendAll(); });
    switch (fleet_.Pick(7)) {
      case 0:
        if (mix_.zone_partitions)
          PartitionZone(static_cast<int>(fleet_.Pick(3)), time);
        break;
      case 1:
        if (mix_.log_outages)
          StartLogOutage(time);
        break;
      case 2:
        if (mix_.stops)
          Stop(host, time / 8);
        break;
      case 3:
        if (mix_.kills)
          Kill(host, time / 4);
        break;
      case 4:
        if (mix_.limit_changes)
          ChangeLimits();
        break;
      case 5:
        if (mix_.log_partitions)
          DisconnectFromLog(host, time);
        break;
      default:
        if (mix_.pauses)
          PauseHost(host, time);
    }
  }

  void PartitionZone(int zone, Duration time) {
    Note("partition zone " + std::to_string(zone));
    fleet_.SetPartitioned(zone, true);
    scheduled_.emplace(fleet_.now() + time,
                       [this, zone] { fleet_.SetPartitioned(zone, false); });
  }

  void StartLogOutage(Duration time) {
    Note("start of log outage");
    fleet_.SetLogOutage(true);
    scheduled_.emplace(fleet_.now() + time,
                       [this] { fleet_.SetLogOutage(false); });
  }

  void FailPoolHolder() {
    for (BudgetFleet::Process& it : fleet_.processes()) {
      if (!it.up || !it.leases[0]->holds(fleet_.ClockOf(it)))
        continue;
      kill_next_holder_ = fleet_.Chance(0.5);
      switch (mix_.holder_change_kind) {
        case 0:
          Stop(it, milliseconds(100));
          break;
        case 1:
          Kill(it, milliseconds(100));
          break;
        case 2:
          PauseHost(it, milliseconds(1000 + fleet_.Pick(1500)));
          break;
        default:
          DisconnectFromLog(it, milliseconds(3000));
      }
      return;
    }
  }

  void KillPoolHolder() {
    for (BudgetFleet::Process& it : fleet_.processes()) {
      if (it.up && it.leases[0]->holds(fleet_.ClockOf(it)))
        fleet_.Kill(it, milliseconds(100));
    }
  }

  void DisconnectFromLog(BudgetFleet::Process& host, Duration time) {
    Note("disconnect " + host.name + " from the log");
    host.log_unreachable = true;
    // It still allocates tokens, but can't record its reserves in the log.
    StartSpendAll(true);
    scheduled_.emplace(fleet_.now() + time,
                       [&host] { host.log_unreachable = false; });
  }

  void Stop(BudgetFleet::Process& host, Duration down) {
    Note("release and stop " + host.name);
    if (host.up && !host.paused)
      fleet_.Release(host);
    fleet_.Kill(host, down);
  }

  void Kill(BudgetFleet::Process& host, Duration down) {
    Note("kill " + host.name);
    fleet_.Kill(host, down);
    // In half of the cases the successor is killed soon after it takes over.
    if (fleet_.Chance(0.5))
      kill_next_holder_ = true;
  }

  /// Returns a holder of a random stream, or any host if there is none.
  BudgetFleet::Process& PickHolder() {
    const std::uint64_t tier = fleet_.Pick(2);
    const auto n = fleet_.processes().size();
    const auto first = fleet_.Pick(n);
    for (std::size_t i = 0; i < n; ++i) {
      BudgetFleet::Process& it = fleet_.processes()[(first + i) % n];
      if (it.up && it.leases[tier]->holds(fleet_.ClockOf(it)))
        return it;
    }
    return fleet_.processes()[first];
  }

  void PauseHost(BudgetFleet::Process& host, Duration time) {
    if (!host.up || host.paused)
      return;
    Note("pause " + host.name + " for " +
         std::to_string(time / milliseconds(1)) + " ms");
    fleet_.Pause(host, time);
  }

  /// Simulates threads that read the clock before the pause and use the value
  /// after it.
  void OnResumed(BudgetFleet::Process& host, MonoTime paused_at) {
    if (fleet_.Chance(0.5))
      StartSpendAll();
    for (int i = 0; i < 20; ++i) {
      for (const AccountLimit& limit : FirstLimits())
        fleet_.SubmitWithStaleTime(host, limit.account, 10, paused_at);
    }
  }

  void ChangeLimits() {
    std::vector<AccountLimit> limits = FirstLimits();
    for (AccountLimit& it : limits) {
      const auto part = static_cast<std::int64_t>(1 + fleet_.Pick(4));
      it.tokens_per_second = it.tokens_per_second * part / 4;
      it.burst_tokens = it.burst_tokens * part / 4;
    }
    Note("publish limits");
    fleet_.PublishLimits(limits);
  }

  void Note(std::string event) { progress_.Note(std::move(event)); }

  FaultMix mix_;
  FleetOptions options_;
  SoakProgress& progress_;
  BudgetFleet fleet_;
  Observer observer_;
  std::vector<OpenRequest> open_requests_;
  std::multimap<TrueTime, std::function<void()>> scheduled_;
  /// The oldest configuration that a running process still applies, and the
  /// oldest one from which live grants may come.
  std::size_t oldest_applied_config_ = 0;
  std::size_t oldest_granted_config_ = 0;
  TrueTime old_grants_until_{0};
  TrueTime spend_all_until_{0};
  bool spends_slow_account_ = false;
  bool kill_next_holder_ = false;
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  constexpr std::uint64_t kEpisodeSteps = 250;
  std::mt19937_64 random(options.seed);
  std::unique_ptr<Episode> episode;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  for (progress.step = 0; progress.step < options.steps; ++progress.step) {
    if (progress.step % kEpisodeSteps == 0)
      episode = std::make_unique<Episode>(PickMix(random), random(), progress);
    const std::uint64_t admitted_before = episode->admitted();
    const std::uint64_t refused_before = episode->refused();
    episode->Step();
    admitted += episode->admitted() - admitted_before;
    refused += episode->refused() - refused_before;
  }
  std::printf("admitted %llu requests, refused %llu\n",
              static_cast<unsigned long long>(admitted),
              static_cast<unsigned long long>(refused));
  CheckInvariant(admitted > options.steps,
                 "the fleet admits more requests than the soak has steps",
                 [admitted] { return std::to_string(admitted); });
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"lease_not_checked_at_spend", "lease_not_checked_at_dispatch",
       "burst_granted_at_takeover", "reserve_inherited_twice", "reserve_dealt",
       "earlier_grants_not_waited_out", "dead_taker_returned_early",
       "grant_outlives_uplink", "drift_ignored", "drift_ignored_in_refill",
       "refund_after_expiry_credited", "credit_ignores_past_room",
       "lowered_rate_not_applied", "superseded_holder_deals", "floor_lent"},
      mangoport::Run);
}
