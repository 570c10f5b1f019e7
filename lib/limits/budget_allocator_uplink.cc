// Tokens of the shared pool that an allocator of a zone obtains and returns.
#include <algorithm>
#include <string>
#include <utility>

#include "mangoport/limits/budget_allocator.h"

namespace mangoport {
namespace {

/// A zone forwards refill of its full floor for this time after a reply that
/// lists the account as short in the shared pool.
constexpr Duration kForwardOverflowTime = std::chrono::seconds(1);

/// A request without a reply is abandoned after this time.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(100);

}  // namespace

void BudgetAllocator::SetUplink(MonoTime now,
                                const std::optional<AllocatorId>& allocator) {
  uplink_allocator_ = allocator;
  Tick(now);
}

std::optional<wire::BudgetRequest> BudgetAllocator::MakeUplinkRequest(
    MonoTime now) {
  Tick(now);
  if (!uplink_ || !MayAllocate(now))
    return std::nullopt;
  const bool has_sent = uplink_->sent_at() != MonoTime::min();
  const Duration since_last =
      has_sent ? now - uplink_->sent_at() : Duration::max();
  if (since_last < settings_.request_interval)
    return std::nullopt;
  if (uplink_->awaits_reply() && since_last < kReplyTimeout)
    return std::nullopt;
  const bool full = now >= full_report_at_;
  const std::vector<GrantNeed> needs = UplinkNeeds(now, full);
  if (!full && needs.empty())
    return std::nullopt;
  if (full)
    full_report_at_ = now + settings_.report_interval;
  return uplink_->MakeRequest(now, needs);
}

void BudgetAllocator::OnUplinkReply(MonoTime now,
                                    const wire::BudgetReply& reply) {
  Tick(now);
  if (!uplink_)
    return;
  // Existing grants to hosts must not outlive the uplink's lease on the tokens.
  const MonoTime min_lease_end = now + StretchForDrift(grant_lease_, settings_);
  if (!uplink_->OnReply(now, reply, min_lease_end))
    return;
  for (const std::string& it : reply.short_accounts()) {
    const auto found = pools_.find(AccountId(it));
    if (found == pools_.end())
      continue;
    Pool& pool = found->second;
    pool.tokens.Accrue(now, settings_.max_clock_drift);
    pool.tokens.TakeOverflow();
    pool.forward_overflow_until = now + kForwardOverflowTime;
  }
}

bool BudgetAllocator::FloorCoversAllGrants() const {
  for (const auto& [id, pool] : pools_) {
    if (pool.allocated > pool.tokens.level() ||
        pool.tokens.level() - pool.allocated < ReservedIn(pool))
      return false;
  }
  return true;
}

void BudgetAllocator::ReplaceUplink(MonoTime now) {
  uplink_.reset();
  full_report_at_ = now;
  if (uplink_allocator_)
    uplink_.emplace(name_ + "/" + std::to_string(++uplink_count_),
                    *uplink_allocator_);
}

void BudgetAllocator::ExpireUplink(MonoTime now) {
  if (!uplink_ || uplink_->lease_until() == MonoTime::min() ||
      uplink_->Live(now))
    return;
  // Every grant ends no later than the uplink's lease.
  for (auto& [name, grantee] : grantees_)
    ExpireGrantee(now, grantee);
  grantees_.clear();
  uplink_->Expire(now);
}

/// Returns the needs to request from the shared pool: those of all accounts
/// with a full report, and otherwise only those of accounts with waiting
/// requests.
std::vector<GrantNeed> BudgetAllocator::UplinkNeeds(MonoTime now, bool full) {
  std::vector<GrantNeed> needs;
  for (const AccountId& it : unmet_accounts_) {
    Pool& pool = pools_.at(it);
    if (!full && uplink_->exhausted_until(it) <= now)
      needs.push_back(UplinkNeed(now, it, pool));
    if (!full)
      pool.unmet = 0;
  }
  unmet_accounts_.clear();
  if (!full)
    return needs;
  for (auto& [id, pool] : pools_) {
    GrantNeed need = UplinkNeed(now, id, pool);
    if (need.wanted > 0 || need.overflow > 0 || uplink_->balance(id) > 0)
      needs.push_back(std::move(need));
  }
  return needs;
}

GrantNeed BudgetAllocator::UplinkNeed(MonoTime now,
                                      const AccountId& account,
                                      Pool& pool) {
  pool.tokens.Accrue(now, settings_.max_clock_drift);
  GrantNeed need;
  need.account = account;
  const std::int64_t available =
      std::max<std::int64_t>(0, Available(account, pool));
  std::int64_t uplink_balance = uplink_->balance(account);
  need.wanted = pool.wanted + pool.unmet;
  const std::int64_t keep =
      std::min(need.wanted, uplink_->ceiling(account).value_or(need.wanted));
  if (uplink_balance > keep + keep / 2) {
    uplink_->ReturnTokens(account, std::min(uplink_balance - keep, available));
    uplink_balance = uplink_->balance(account);
  }
  if (pool.unmet > available) {
    need.urgent = uplink_balance + pool.unmet - available;
    need.smallest = uplink_balance +
                    std::max<std::int64_t>(1, pool.unmet_smallest - available);
  }
  pool.unmet = 0;
  need.overflow = OverflowToForward(now, pool);
  return need;
}

std::int64_t BudgetAllocator::OverflowToForward(MonoTime now, Pool& pool) {
  const std::int64_t overflow = pool.tokens.TakeOverflow();
  return now < pool.forward_overflow_until ? overflow : 0;
}

}  // namespace mangoport
