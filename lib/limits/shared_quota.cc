#include "mangoport/limits/shared_quota.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace mangoport {
namespace {

/// A refused request is never told to come back sooner.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(10);

constexpr Duration kShortestRateSpan = std::chrono::milliseconds(50);

/// Hosts that refuse while the level is low all spend again once it has risen:
/// a peer's rate is remembered over its pauses, in part at each word.
constexpr double kRateMemory = 0.7;

Duration TimeFor(double amount, double rate) {
  if (rate <= 0)
    return kLongestRetryAfter;
  const std::chrono::duration<double> time(amount / rate);
  if (time > kLongestRetryAfter)
    return kLongestRetryAfter;
  return std::max(kShortestRetryAfter,
                  std::chrono::duration_cast<Duration>(time));
}

}  // namespace

void SharedQuota::SetLimits(MonoTime now,
                            const std::vector<AccountLimit>& limits) {
  std::set<AccountId> named;
  for (const AccountLimit& it : limits) {
    named.insert(it.account);
    const bool known = buckets_.contains(it.account);
    Bucket& bucket = buckets_[it.account];
    if (known)
      Fill(now, bucket);
    else
      bucket.filled_at = now;
    bucket.limit = it;
    bucket.limited = it.tokens_per_second > 0;
    bucket.level = std::min(bucket.level, static_cast<double>(it.burst_tokens));
  }
  for (auto& [id, bucket] : buckets_) {
    if (!named.contains(id))
      bucket.limited = false;
  }
}

void SharedQuota::OnListed(MonoTime now, std::size_t hosts) {
  if (!std::exchange(awaits_list_, false))
    return;
  listed_ = hosts;
  listed_until_ = now + std::max(settings_.list_lifetime, 2 * Silence());
}

void SharedQuota::DropOldList(MonoTime now) {
  if (now >= listed_until_)
    listed_ = 0;
}

Duration SharedQuota::Silence() const {
  return std::max(settings_.silence, std::chrono::duration_cast<Duration>(
                                         round_ * settings_.silent_rounds));
}

double SharedQuota::Reserve(const AccountLimit& limit) const {
  const auto burst = static_cast<double>(limit.burst_tokens);
  const std::chrono::duration<double> half_round = round_ / 2;
  const double untold =
      static_cast<double>(limit.tokens_per_second) * half_round.count();
  return std::clamp(untold, settings_.reserve * burst,
                    settings_.most_reserve * burst);
}

double SharedQuota::HeardPart(MonoTime now) const {
  const Duration silence = Silence();
  std::size_t heard = 1;
  for (const auto& [id, host] : hosts_) {
    const bool in_touch = now - host.heard_at <= silence;
    heard += in_touch && !host.leaving ? 1 : 0;
  }
  return static_cast<double>(heard) / static_cast<double>(host_count());
}

void SharedQuota::Fill(MonoTime now, Bucket& bucket) {
  const double seconds =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.filled_at = now;
  if (!bucket.limited || seconds <= 0 || awaits_list_)
    return;
  DropOldList(now);
  const double heard = HeardPart(now);
  const auto rate = static_cast<double>(bucket.limit.tokens_per_second);
  const auto burst = static_cast<double>(bucket.limit.burst_tokens);
  bucket.level = std::min(burst * heard, bucket.level + rate * heard * seconds);
  // What the hosts have overspent together is paid back before any saves.
  if (bucket.level <= 0)
    return;
  const double share_rate = rate / static_cast<double>(host_count());
  const double horizon =
      std::chrono::duration<double>(settings_.share_horizon).count();
  bucket.share =
      std::min(share_rate * horizon, bucket.share + share_rate * seconds);
}

double SharedQuota::Untold(MonoTime now, const AccountId& account) const {
  const Duration silence = Silence();
  double out = 0;
  for (const auto& [id, host] : hosts_) {
    const auto use = host.uses.find(account);
    if (use == host.uses.end())
      continue;
    const Duration age = std::min(now - host.heard_at, silence);
    out += use->second.per_second * std::chrono::duration<double>(age).count();
  }
  return out;
}

QuotaDecision SharedQuota::TrySpend(MonoTime now,
                                    const AccountId& account,
                                    std::int64_t amount) {
  Bucket& bucket = buckets_[account];
  const auto spend = [&] {
    bucket.level -= static_cast<double>(amount);
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
  if (bucket.level - wanted >= reserve &&
      bucket.level - wanted - Untold(now, account) >= reserve) {
    // What comes out of the burst is not saved up besides.
    if (bucket.share > 0)
      bucket.share = std::max(0.0, bucket.share - wanted);
    return spend();
  }
  // A share smaller than one request is saved up past its horizon by letting
  // the balance go below zero.
  const double most_debt =
      settings_.reserve * static_cast<double>(bucket.limit.burst_tokens);
  if (bucket.share > 0 && bucket.level + most_debt > 0) {
    bucket.share -= wanted;
    return spend();
  }
  const double share_rate =
      static_cast<double>(bucket.limit.tokens_per_second) /
      static_cast<double>(host_count());
  const auto rate = static_cast<double>(bucket.limit.tokens_per_second);
  return {
      .admitted = false,
      .retry_after = std::max(TimeFor(std::max(0.0, -bucket.share), share_rate),
                              TimeFor(std::max(0.0, -bucket.level), rate)),
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

void SharedQuota::OnPeer(MonoTime now, const PeerSpending& peer) {
  std::erase_if(hosts_, [&](const auto& it) {
    return it.first != peer.host && now - it.second.heard_at > settings_.forget;
  });
  const auto [it, is_new] = hosts_.try_emplace(peer.host);
  Host& host = it->second;
  if (is_new || host.incarnation != peer.incarnation) {
    // What a host had spent before this one knew of it is past: this one's
    // bucket never held those tokens. A run that follows a known one began at
    // zero.
    host.incarnation = peer.incarnation;
    host.uses.clear();
  }
  const std::chrono::duration<double> passed = now - host.heard_at;
  host.heard_at = now;
  host.leaving = peer.leaving;
  for (const AccountUse& use : peer.uses) {
    const auto [it_use, first] = host.uses.try_emplace(use.account);
    PeerUse& known = it_use->second;
    if (first && is_new)
      known.total = use.total;
    const auto spent = static_cast<double>(use.total - known.total);
    known.total = use.total;
    // Words that come close together say little about the rate.
    if (!first && passed >= kShortestRateSpan)
      known.per_second =
          std::max(spent / passed.count(), known.per_second * kRateMemory);
    Bucket& bucket = buckets_[use.account];
    Fill(now, bucket);
    bucket.level -= spent;
  }
}

std::size_t SharedQuota::host_count() const {
  std::size_t n = 1;
  for (const auto& [id, host] : hosts_)
    n += host.leaving ? 0 : 1;
  return std::max(n, listed_);
}

std::vector<AccountUse> SharedQuota::OwnUse() const {
  std::vector<AccountUse> out;
  for (const auto& [id, bucket] : buckets_) {
    if (bucket.own_total != 0)
      out.push_back({.account = id, .total = bucket.own_total});
  }
  return out;
}

}  // namespace mangoport
