// How grantees get tokens, report what they spent, and lose their grants.
#include <algorithm>

#include "mangoport/core/mutant.h"
#include "mangoport/limits/budget_allocator.h"

namespace mangoport {
namespace {

/// A pool counts as contested for this time after it could not serve a waiting
/// request. Grantees without waiting requests then return their tokens.
constexpr Duration kContestedTime = std::chrono::milliseconds(300);

/// The minimum interval at which a grantee receives the list of accounts whose
/// pools have free capacity, the maximum length of the list, and the fraction
/// (1/n) of the cap that must be unused for an account to be listed.
constexpr Duration kShortAccountsInterval = std::chrono::milliseconds(250);
constexpr int kMaxShortAccounts = 64;
constexpr std::int64_t kShortAccountDivisor = 16;

/// The minimum and maximum time for which a grantee treats a pool as exhausted.
constexpr std::int64_t kMinExhaustedMs = 5;
constexpr std::int64_t kMaxExhaustedMs = 1000;

/// The estimated time until other grantees return the tokens that they hold.
constexpr std::int64_t kExpectedReturnMs = 50;

/// A grant for expected demand takes at most this fraction (1/n) of the
/// available tokens.
constexpr std::int64_t kGrantDivisor = 4;

}  // namespace

std::optional<wire::BudgetReply> BudgetAllocator::OnRequest(
    MonoTime now,
    const wire::BudgetRequest& request) {
  Tick(now);
  if (!MayAllocate(now) || !IsAcceptable(request))
    return std::nullopt;
  const Duration lease = LeaseAt(now);
  if (lease < kMinGrantLease)
    return std::nullopt;
  const auto [entry, is_new] = grantees_.try_emplace(request.taker());
  Grantee& grantee = entry->second;
  // The grantee counts forwarded refill from the last acknowledged reply. If
  // that is this allocator's last reply, its time bounds the age of the refill.
  const bool overflow_age_is_bounded =
      !is_new && request.acknowledged() == grantee.sequence &&
      now - grantee.replied_at <= settings_.overflow_capacity_window;
  wire::BudgetReply reply;
  *reply.mutable_dealer() = ToWire(*id_);
  reply.set_sequence(request.sequence());
  reply.set_lease_ns(static_cast<std::uint64_t>(lease.count()));
  for (const wire::BudgetAsk& it : request.asks()) {
    const AccountId account(it.account());
    const auto found = pools_.find(account);
    if (found == pools_.end())
      continue;
    Pool& pool = found->second;
    pool.tokens.Accrue(now, settings_.max_clock_drift);
    const auto [place, first_seen] = grantee.holdings.try_emplace(account);
    Holding& holding = place->second;
    if (first_seen) {
      // Earlier usage and returns were accounted for when the grantee's
      // previous grants expired.
      holding.spent = it.spent();
      holding.returned_recent = it.returned_recent();
      holding.returned_old = it.returned_old();
    }
    ApplyReport(now, account, it, pool, holding);
    if (overflow_age_is_bounded && it.overflow() > 0)
      CreditReturned(account, pool, it.overflow(), CreditAge::kOverflow);
    *reply.add_grants() = MakeGrant(now, it, account, pool, holding);
    CheckCovered(account, pool);
  }
  AddShortAccounts(now, grantee, reply);
  grantee.sequence = request.sequence();
  grantee.replied_at = now;
  const Duration assumed_lease =
      MutantEnabled("dead_taker_returned_early") ? lease / 4 : lease;
  grantee.expires_at = std::max(
      grantee.expires_at, now + StretchForDrift(assumed_lease, settings_));
  next_expiry_ = std::min(next_expiry_, grantee.expires_at);
  return reply;
}

/// Rejects requests for another allocator, old requests that arrive late, and
/// requests that report tokens which this allocator did not grant or has
/// already charged as spent. The lease of such a grantee must not be renewed
/// before it has dropped these tokens.
bool BudgetAllocator::IsAcceptable(const wire::BudgetRequest& request) const {
  if (FromWire(request.dealer()) != *id_)
    return false;
  const auto grantee = grantees_.find(request.taker());
  if (grantee == grantees_.end())
    return !request.holds_tokens();
  if (request.sequence() <= grantee->second.sequence)
    return false;
  for (const wire::BudgetAsk& it : request.asks()) {
    const auto holding = grantee->second.holdings.find(AccountId(it.account()));
    const std::int64_t max_held =
        holding == grantee->second.holdings.end() ? 0 : holding->second.held;
    if (it.held() > max_held)
      return false;
  }
  return true;
}

/// Charges all tokens that `grantee` holds as spent.
void BudgetAllocator::ExpireGrantee(MonoTime now, Grantee& grantee) {
  for (auto& [id, holding] : grantee.holdings) {
    Pool& pool = pools_.at(id);
    ChargeSpent(now, id, pool, holding.held);
    pool.allocated -= holding.held;
    pool.wanted -= holding.wanted;
    CheckCovered(id, pool);
  }
}

void BudgetAllocator::ExpireGrantees(MonoTime now) {
  next_expiry_ = MonoTime::max();
  if (now >= earlier_grants_until_ &&
      earlier_grants_until_ != MonoTime::min()) {
    for (auto& [id, pool] : pools_)
      pool.tokens.ReleaseEarlierGrants(now);
    earlier_grants_until_ = MonoTime::min();
  } else if (earlier_grants_until_ != MonoTime::min()) {
    next_expiry_ = earlier_grants_until_;
  }
  for (auto it = grantees_.begin(); it != grantees_.end();) {
    if (now < it->second.expires_at) {
      next_expiry_ = std::min(next_expiry_, it->second.expires_at);
      ++it;
      continue;
    }
    ExpireGrantee(now, it->second);
    it = grantees_.erase(it);
  }
}

void BudgetAllocator::ApplyReport(MonoTime now,
                                  const AccountId& account,
                                  const wire::BudgetAsk& ask,
                                  Pool& pool,
                                  Holding& holding) {
  const std::int64_t previously_held = holding.held;
  const std::int64_t spent =
      std::clamp<std::int64_t>(ask.spent() - holding.spent, 0, previously_held);
  const std::int64_t held =
      std::clamp<std::int64_t>(ask.held(), 0, previously_held - spent);
  ChargeSpent(now, account, pool, spent);
  pool.allocated += held - holding.held;
  holding.held = held;
  holding.spent = ask.spent();
  const std::int64_t recent = ask.returned_recent() - holding.returned_recent;
  const std::int64_t old = ask.returned_old() - holding.returned_old;
  holding.returned_recent = ask.returned_recent();
  holding.returned_old = ask.returned_old();
  if (recent > 0)
    CreditReturned(account, pool, recent, CreditAge::kRecent);
  if (old > 0)
    CreditReturned(account, pool, old, CreditAge::kOld);
  pool.wanted += ask.wanted() - holding.wanted;
  holding.wanted = ask.wanted();
  pool.tokens.Trim(Available(account, pool));
}

/// Grants the tokens for waiting requests if at least the smallest one can be
/// served, and a part of the expected demand while the pool is not contested.
wire::BudgetGrant BudgetAllocator::MakeGrant(MonoTime now,
                                             const wire::BudgetAsk& ask,
                                             const AccountId& account,
                                             Pool& pool,
                                             Holding& holding) {
  wire::BudgetGrant grant;
  grant.set_account(account.value());
  const std::int64_t available =
      std::max<std::int64_t>(0, Available(account, pool));
  const std::int64_t needed = ask.urgent() - holding.held;
  const std::int64_t smallest = ask.smallest() - holding.held;
  std::int64_t n = 0;
  if (ask.urgent() > 0 && needed > 0) {
    if (available >= smallest)
      n = std::min(available, needed);
    else
      RecordUnmetNeed(now, needed, smallest, account, pool, grant);
  }
  const std::int64_t spare = ask.wanted() - holding.held - n;
  if (spare > 0 && now >= pool.contested_until)
    n += std::min(spare, (available - n) / kGrantDivisor);
  grant.set_granted(n);
  holding.held += n;
  pool.allocated += n;
  if (const auto ceiling = CeilingFor(now, ask, account, pool, holding))
    grant.set_ceiling(*ceiling);
  return grant;
}

/// Records a need that the pool can't serve, to request the tokens from the
/// uplink or to release reserved ones. Marks the grant as dry if neither can
/// help soon.
void BudgetAllocator::RecordUnmetNeed(MonoTime now,
                                      std::int64_t needed,
                                      std::int64_t smallest,
                                      const AccountId& account,
                                      Pool& pool,
                                      wire::BudgetGrant& grant) {
  if (uplink_) {
    if (pool.unmet == 0)
      unmet_accounts_.push_back(account);
    pool.unmet_smallest =
        pool.unmet == 0 ? smallest : std::min(pool.unmet_smallest, smallest);
    pool.unmet += needed;
  }
  pool.contested_until = now + kContestedTime;
  const std::int64_t free = Free(account, pool);
  if (free >= smallest) {
    pool.reserve.needed = true;
    wants_record_ = true;
  }
  const bool may_become_available =
      free >= smallest || (uplink_ && uplink_->Live(now) &&
                           uplink_->exhausted_until(account) <= now);
  if (may_become_available)
    return;
  const std::int64_t rate = pool.tokens.limit().tokens_per_second;
  std::int64_t wait_ms =
      rate > 0 ? (smallest - free) * 1000 / rate : kMaxExhaustedMs;
  // Grantees return excess tokens with their next report.
  if (free + pool.allocated >= smallest)
    wait_ms = std::min(wait_ms, kExpectedReturnMs);
  grant.set_dry(true);
  grant.set_retry_after_ms(static_cast<std::uint64_t>(
      std::clamp(wait_ms, kMinExhaustedMs, kMaxExhaustedMs)));
}

/// If more than the cap is allocated, each grantee is limited to its proportion
/// of the cap. While the pool is contested, it is limited to the tokens that
/// its waiting requests need.
std::optional<std::int64_t> BudgetAllocator::CeilingFor(
    MonoTime now,
    const wire::BudgetAsk& ask,
    const AccountId& account,
    const Pool& pool,
    const Holding& holding) const {
  const std::int64_t uplink_balance = uplink_ ? uplink_->balance(account) : 0;
  const std::int64_t cap = pool.tokens.limit().burst_tokens + uplink_balance;
  if (pool.allocated > cap)
    return static_cast<std::int64_t>(static_cast<double>(holding.held) *
                                     static_cast<double>(cap) /
                                     static_cast<double>(pool.allocated));
  if (now < pool.contested_until)
    return ask.urgent();
  return std::nullopt;
}

/// Lists accounts whose pools have free capacity, so that zones forward refill
/// that their full floors would discard.
void BudgetAllocator::AddShortAccounts(MonoTime now,
                                       Grantee& grantee,
                                       wire::BudgetReply& reply) {
  const bool due =
      grantee.short_accounts_sent_at == MonoTime::min() ||
      now - grantee.short_accounts_sent_at >= kShortAccountsInterval;
  if (uplink_allocator_ || !due)
    return;
  grantee.short_accounts_sent_at = now;
  for (auto& [id, pool] : pools_) {
    pool.tokens.Accrue(now, settings_.max_clock_drift);
    const std::int64_t cap = pool.tokens.limit().burst_tokens;
    if (cap - pool.tokens.level() <= cap / kShortAccountDivisor)
      continue;
    reply.add_short_accounts(id.value());
    if (reply.short_accounts_size() == kMaxShortAccounts)
      return;
  }
}

}  // namespace mangoport
