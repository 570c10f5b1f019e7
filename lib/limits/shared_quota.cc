#include "mangoport/limits/shared_quota.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace mangoport {
namespace {

/// Bounds of the retry delay reported with a refusal.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

/// Minimum time between two updates of a peer for an estimate of its rate.
constexpr Duration kMinRateInterval = std::chrono::milliseconds(50);

/// The shortest time over which a mean rate is taken.
constexpr Duration kMinAveragingTime = std::chrono::seconds(1);

/// The shortest time without a refusal after which demand counts as fallen.
constexpr Duration kMinCalmTime = std::chrono::seconds(1);

/// Returns the time in which `amount` tokens are refilled at `rate`, within the
/// bounds of the retry delay.
Duration RetryDelay(double amount, double rate) {
  if (rate <= 0)
    return kMaxRetryAfter;
  const std::chrono::duration<double> time(amount / rate);
  if (time > kMaxRetryAfter)
    return kMaxRetryAfter;
  return std::max(kMinRetryAfter, std::chrono::duration_cast<Duration>(time));
}

}  // namespace

void SharedQuota::SetLimits(MonoTime now,
                            const std::vector<AccountLimit>& limits) {
  std::set<AccountId> given;
  for (const AccountLimit& it : limits) {
    given.insert(it.account);
    const bool known = buckets_.contains(it.account);
    Bucket& bucket = buckets_[it.account];
    if (known)
      Fill(now, bucket);
    else
      bucket.filled_at = now;
    // What was spent without a limit is not owed.
    if (!bucket.limited)
      bucket.level = std::max(bucket.level, 0.0);
    bucket.limit = it;
    bucket.limited = it.tokens_per_second > 0;
    bucket.level = std::min(bucket.level, static_cast<double>(it.burst_tokens));
  }
  for (auto& [id, bucket] : buckets_) {
    if (!given.contains(id))
      bucket.limited = false;
  }
}

void SharedQuota::OnListed(MonoTime now, std::size_t hosts) {
  if (!std::exchange(awaits_host_list_, false))
    return;
  listed_hosts_ = hosts;
  host_list_valid_until_ =
      now + std::max(settings_.host_list_lifetime, 2 * HostTimeout());
}

void SharedQuota::DropExpiredHostList(MonoTime now) {
  if (now >= host_list_valid_until_)
    listed_hosts_ = 0;
}

Duration SharedQuota::HostTimeout() const {
  return std::max(settings_.host_timeout,
                  std::chrono::duration_cast<Duration>(
                      update_round_ * settings_.host_timeout_rounds));
}

double SharedQuota::Reserve(const AccountLimit& limit) const {
  const auto burst = static_cast<double>(limit.burst_tokens);
  const std::chrono::duration<double> half_round = update_round_ / 2;
  const double unreported =
      static_cast<double>(limit.tokens_per_second) * half_round.count();
  return std::clamp(unreported, settings_.min_reserve_fraction * burst,
                    settings_.max_reserve_fraction * burst);
}

double SharedQuota::MeanWeight(Duration time) const {
  const std::chrono::duration<double> average = std::max<Duration>(
      kMinAveragingTime, std::chrono::duration_cast<Duration>(
                             update_round_ * settings_.averaging_rounds));
  return 1 - std::exp(-std::chrono::duration<double>(time) / average);
}

double SharedQuota::MaxRoundAllowance(const Bucket& bucket) const {
  const std::chrono::duration<double> round = update_round_;
  const double part = settings_.bursts_per_round *
                      static_cast<double>(bucket.limit.burst_tokens) /
                      static_cast<double>(host_count());
  return part + 2 * bucket.own_per_second * round.count();
}

void SharedQuota::NoteLevel(MonoTime now, Bucket& bucket) const {
  const auto burst = static_cast<double>(bucket.limit.burst_tokens);
  if (bucket.level <= 0) {
    // Shares that were saved up would be spent by all hosts at the same moment,
    // as soon as the bucket has something again. What each spent last differs.
    if (!std::exchange(bucket.exhausted, true))
      bucket.share = std::min(bucket.share, -bucket.last_amount);
    return;
  }
  const Duration calm =
      std::max(kMinCalmTime, std::chrono::duration_cast<Duration>(
                                 update_round_ * settings_.reopen_rounds));
  if (now - bucket.refused_at >= calm &&
      bucket.level >=
          settings_.reopen_fraction * burst * ReachableFraction(now))
    bucket.exhausted = false;
}

double SharedQuota::ReachableFraction(MonoTime now) const {
  const Duration timeout = HostTimeout();
  std::size_t reachable = 1;
  for (const auto& [id, host] : hosts_) {
    const bool is_reachable = now - host.last_update_at <= timeout;
    reachable += is_reachable && !host.leaving ? 1 : 0;
  }
  return static_cast<double>(reachable) / static_cast<double>(host_count());
}

void SharedQuota::Fill(MonoTime now, Bucket& bucket) {
  const double seconds =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.filled_at = now;
  if (!bucket.limited || seconds <= 0 || awaits_host_list_)
    return;
  DropExpiredHostList(now);
  const double reachable = ReachableFraction(now);
  const auto rate = static_cast<double>(bucket.limit.tokens_per_second);
  const auto burst = static_cast<double>(bucket.limit.burst_tokens);
  bucket.level =
      std::min(burst * reachable, bucket.level + rate * reachable * seconds);
  bucket.own_per_second *= 1 - MeanWeight(std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(seconds)));
  const double max_allowance = MaxRoundAllowance(bucket);
  const std::chrono::duration<double> round = update_round_;
  const double refill = round.count() > 0
                            ? max_allowance * seconds / round.count()
                            : max_allowance;
  bucket.round_allowance =
      std::min(max_allowance, bucket.round_allowance + refill);
  NoteLevel(now, bucket);
  // Shares accumulate only after the joint overspending has been refilled.
  if (bucket.level <= 0)
    return;
  const double share_rate = rate / static_cast<double>(host_count());
  const double horizon =
      std::chrono::duration<double>(settings_.max_share_accumulation).count();
  bucket.share =
      std::min(share_rate * horizon, bucket.share + share_rate * seconds);
}

double SharedQuota::UnreportedUsage(MonoTime now,
                                    const AccountId& account) const {
  const Duration timeout = HostTimeout();
  double result = 0;
  for (const auto& [id, host] : hosts_) {
    const auto use = host.uses.find(account);
    if (use == host.uses.end())
      continue;
    const Duration age = std::min(now - host.last_update_at, timeout);
    result +=
        use->second.per_second * std::chrono::duration<double>(age).count();
  }
  return result;
}

QuotaDecision SharedQuota::TrySpend(MonoTime now,
                                    const AccountId& account,
                                    std::int64_t amount) {
  Bucket& bucket = buckets_[account];
  const auto spend = [&] {
    bucket.level -= static_cast<double>(amount);
    bucket.last_amount = static_cast<double>(amount);
    bucket.own_per_second +=
        static_cast<double>(amount) * MeanWeight(std::chrono::seconds(1));
    bucket.own_total += amount;
    return QuotaDecision{.admitted = true,
                         .retry_after = {},
                         .level = static_cast<std::int64_t>(bucket.level),
                         .share = static_cast<std::int64_t>(bucket.share)};
  };
  if (!bucket.limited)
    return spend();
  Fill(now, bucket);
  const auto wanted = static_cast<double>(amount);
  const double reserve = Reserve(bucket.limit);
  if (!bucket.exhausted && bucket.round_allowance > 0 &&
      bucket.level - wanted >= reserve &&
      bucket.level - wanted - UnreportedUsage(now, account) >= reserve) {
    bucket.round_allowance -= wanted;
    return spend();
  }
  // With a positive share, a host may spend until the level is `max_overdraft`
  // below zero. The share may become negative, so that a request larger than
  // the maximum share can still be admitted.
  const double max_overdraft = settings_.min_reserve_fraction *
                               static_cast<double>(bucket.limit.burst_tokens);
  if (bucket.share > 0 && bucket.level + max_overdraft > 0) {
    bucket.share -= wanted;
    return spend();
  }
  bucket.refused_at = now;
  const double share_rate =
      static_cast<double>(bucket.limit.tokens_per_second) /
      static_cast<double>(host_count());
  const auto rate = static_cast<double>(bucket.limit.tokens_per_second);
  return {.admitted = false,
          .retry_after =
              std::max(RetryDelay(std::max(0.0, -bucket.share), share_rate),
                       RetryDelay(std::max(0.0, -bucket.level), rate)),
          .level = static_cast<std::int64_t>(bucket.level),
          .share = static_cast<std::int64_t>(bucket.share)};
}

void SharedQuota::Refund(MonoTime /*now*/,
                         const AccountId& account,
                         std::int64_t amount) {
  Bucket& bucket = buckets_[account];
  bucket.level += static_cast<double>(amount);
  bucket.own_total -= amount;
}

void SharedQuota::OnPeerUsage(MonoTime now, const PeerUsage& peer) {
  std::erase_if(hosts_, [&](const auto& it) {
    return it.first != peer.host &&
           now - it.second.last_update_at > settings_.host_removal_delay;
  });
  const auto [it, is_new] = hosts_.try_emplace(peer.host);
  Host& host = it->second;
  if (is_new || host.incarnation != peer.incarnation) {
    // Usage from before the first report of a host is not charged, since this
    // host's bucket never held those tokens. A later run of a known host starts
    // from zero, so all of its usage is charged.
    host.incarnation = peer.incarnation;
    host.uses.clear();
  }
  const std::chrono::duration<double> elapsed = now - host.last_update_at;
  host.last_update_at = now;
  host.leaving = peer.leaving;
  for (const AccountUsage& use : peer.uses) {
    const auto [entry, first] = host.uses.try_emplace(use.account);
    PeerAccountUsage& known = entry->second;
    if (first && is_new)
      known.total = use.total;
    const auto spent = static_cast<double>(use.total - known.total);
    known.total = use.total;
    // Updates in quick succession give a poor estimate of the rate.
    if (!first && elapsed >= kMinRateInterval)
      known.per_second +=
          (spent / elapsed.count() - known.per_second) *
          MeanWeight(std::chrono::duration_cast<Duration>(elapsed));
    Bucket& bucket = buckets_[use.account];
    Fill(now, bucket);
    bucket.level -= spent;
  }
}

std::size_t SharedQuota::host_count() const {
  std::size_t n = 1;
  for (const auto& [id, host] : hosts_)
    n += host.leaving ? 0 : 1;
  return std::max(n, listed_hosts_);
}

std::vector<AccountUsage> SharedQuota::OwnUsage() const {
  std::vector<AccountUsage> result;
  for (const auto& [id, bucket] : buckets_) {
    if (bucket.own_total != 0)
      result.push_back({.account = id, .total = bucket.own_total});
  }
  return result;
}

}  // namespace mangoport
