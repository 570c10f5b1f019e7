#include "mangoport/limits/budget_allocator.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// A pool counts as contested for this time after it could not serve a waiting
/// request. Grantees without waiting requests then return their tokens.
constexpr Duration kContestedTime = std::chrono::milliseconds(300);

/// A zone forwards refill of its full floor for this time after a reply that
/// lists the account as short in the shared pool.
constexpr Duration kForwardOverflowTime = std::chrono::seconds(1);

/// The minimum interval at which a grantee receives the list of accounts whose
/// pools have free capacity, the maximum length of the list, and the fraction
/// (1/n) of the cap that must be unused for an account to be listed.
constexpr Duration kShortAccountsInterval = std::chrono::milliseconds(250);
constexpr int kMaxShortAccounts = 64;
constexpr std::int64_t kShortAccountDivisor = 16;

/// A request without a reply is abandoned after this time.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(100);

/// The minimum and maximum time for which a grantee treats a pool as exhausted.
constexpr std::int64_t kMinExhaustedMs = 5;
constexpr std::int64_t kMaxExhaustedMs = 1000;

/// The estimated time until other grantees return the tokens that they hold.
constexpr std::int64_t kExpectedReturnMs = 50;

/// A grant for expected demand takes at most this fraction (1/n) of the
/// available tokens.
constexpr std::int64_t kGrantDivisor = 4;

/// A reserve is recorded again once it differs from the recorded amount by more
/// than this fraction (1/n) of the pool's cap.
constexpr std::int64_t kReserveStepDivisor = 8;

/// Maximum number of reserves in one record.
constexpr std::size_t kMaxReservesPerRecord = 256;

}  // namespace

BudgetAllocator::BudgetAllocator(std::string name,
                                 const BudgetSettings& settings,
                                 Duration grant_lease)
    : name_(std::move(name)), settings_(settings), grant_lease_(grant_lease) {}

void BudgetAllocator::SetLimits(MonoTime now,
                                const std::vector<AccountLimit>& limits) {
  std::unordered_map<AccountId, AccountLimit> given;
  for (const AccountLimit& it : limits)
    given[it.account] = it;
  for (auto& [id, pool] : pools_) {
    pool.tokens.Accrue(now, settings_.max_clock_drift);
    const auto it = given.find(id);
    AccountLimit limit = {id, 0, 0};
    if (it != given.end())
      limit = it->second;
    const AccountLimit& old = pool.tokens.limit();
    const bool lowered = limit.tokens_per_second < old.tokens_per_second ||
                         limit.burst_tokens < old.burst_tokens;
    if (lowered && MutantEnabled("lowered_rate_not_applied"))
      continue;
    pool.tokens.SetLimit(limit);
    pool.tokens.Trim(Available(id, pool));
  }
  limits_ = limits;
  if (!id_)
    return;
  for (const AccountLimit& it : limits_)
    FindOrCreatePool(now, it);
}

void BudgetAllocator::StartEpoch(MonoTime now,
                                 const AllocatorId& id,
                                 const BudgetInheritance& inheritance) {
  id_ = id;
  inheritance_ = inheritance;
  earlier_grants_until_ = now;
  if (!inheritance.fresh && !MutantEnabled("earlier_grants_not_waited_out"))
    earlier_grants_until_ = now + StretchForDrift(grant_lease_, settings_);
  next_expiry_ = earlier_grants_until_;
  pools_.clear();
  grantees_.clear();
  unmet_accounts_.clear();
  for (const AccountLimit& it : limits_) {
    const std::int64_t cap = it.burst_tokens;
    std::int64_t level = cap;
    if (!inheritance.fresh) {
      const auto reserve = inheritance.reserves.find(it.account);
      level = reserve == inheritance.reserves.end()
                  ? 0
                  : std::clamp<std::int64_t>(reserve->second, 0, cap);
    }
    pools_.try_emplace(it.account,
                       Pool(TokenPool(now, it, settings_, level, cap - level)));
  }
  // Grantees of the old epoch may hold the tokens of the old uplink.
  ReplaceUplink(now);
  Tick(now);
}

void BudgetAllocator::SetUplink(MonoTime now,
                                const std::optional<AllocatorId>& allocator) {
  uplink_allocator_ = allocator;
  Tick(now);
}

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

void BudgetAllocator::Tick(MonoTime now) {
  ExpireUplink(now);
  if (now >= next_expiry_)
    ExpireGrantees(now);
  const bool changed = uplink_ ? uplink_allocator_ != uplink_->allocator()
                               : uplink_allocator_.has_value();
  if (changed && FloorCoversAllGrants())
    ReplaceUplink(now);
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

std::vector<wire::BudgetReserve> BudgetAllocator::ReservesToRecord(
    std::uint64_t nonce) {
  wants_record_ = false;
  std::vector<wire::BudgetReserve> records;
  for (auto& [id, pool] : pools_) {
    Reserve& reserve = pool.reserve;
    const std::int64_t cap = pool.tokens.limit().burst_tokens;
    const std::int64_t spare =
        std::clamp<std::int64_t>(Free(id, pool), 0, pool.tokens.level());
    const bool needed = std::exchange(reserve.needed, false);
    // Reserves half of the free tokens, or none while a grantee waits for them.
    const std::int64_t amount = needed ? 0 : std::min(spare, cap) / 2;
    const std::int64_t difference = amount > reserve.latest
                                        ? amount - reserve.latest
                                        : reserve.latest - amount;
    const bool differs =
        difference > 0 && (needed || difference > cap / kReserveStepDivisor);
    // The record of an unconfirmed amount may be lost, so it is repeated.
    if (!differs && reserve.confirmed)
      continue;
    reserve.confirmed = false;
    reserve.pending = std::max(reserve.pending, amount);
    reserve.latest = amount;
    reserve.latest_nonce = nonce;
    wire::BudgetReserve& record = records.emplace_back();
    record.set_account(id.value());
    record.set_tokens(amount);
    if (records.size() == kMaxReservesPerRecord)
      break;
  }
  return records;
}

void BudgetAllocator::OnReservesRecorded(std::uint64_t nonce) {
  for (auto& [id, pool] : pools_) {
    Reserve& reserve = pool.reserve;
    // Records with lower nonces are invalid once this one is in the log.
    if (reserve.latest_nonce != nonce || reserve.confirmed)
      continue;
    reserve.durable = reserve.latest;
    reserve.pending = 0;
    reserve.confirmed = true;
  }
}

std::int64_t BudgetAllocator::allocated(const AccountId& account) const {
  const auto it = pools_.find(account);
  return it == pools_.end() ? 0 : it->second.allocated;
}

std::int64_t BudgetAllocator::free(MonoTime now,
                                   const AccountId& account) const {
  const auto it = pools_.find(account);
  if (it == pools_.end())
    return 0;
  std::int64_t n = Free(account, it->second);
  if (uplink_ && !uplink_->Live(now))
    n -= uplink_->balance(account);
  return std::max<std::int64_t>(0, n);
}

bool BudgetAllocator::MayAllocate(MonoTime now) const {
  if (!id_)
    return false;
  return now < held_until_ || MutantEnabled("superseded_holder_deals");
}

Duration BudgetAllocator::LeaseAt(MonoTime now) const {
  if (!uplink_ || uplink_->lease_until() == MonoTime::min())
    return grant_lease_;
  if (MutantEnabled("grant_outlives_uplink"))
    return grant_lease_;
  return std::min(grant_lease_,
                  ShrinkForDrift(uplink_->lease_until() - now, settings_));
}

std::int64_t BudgetAllocator::Free(const AccountId& account,
                                   const Pool& pool) const {
  const std::int64_t uplink_balance = uplink_ ? uplink_->balance(account) : 0;
  return pool.tokens.level() + uplink_balance - pool.allocated;
}

/// A successor uses at most the cap of an inherited reserve. After the cap was
/// lowered, the part of the reserve above it is therefore not kept.
std::int64_t BudgetAllocator::ReservedIn(const Pool& pool) {
  return std::min(std::max(pool.reserve.durable, pool.reserve.pending),
                  pool.tokens.limit().burst_tokens);
}

std::int64_t BudgetAllocator::Available(const AccountId& account,
                                        const Pool& pool) const {
  if (MutantEnabled("reserve_dealt"))
    return Free(account, pool);
  return Free(account, pool) - ReservedIn(pool);
}

BudgetAllocator::Pool& BudgetAllocator::FindOrCreatePool(
    MonoTime now,
    const AccountLimit& limit) {
  const auto found = pools_.find(limit.account);
  if (found != pools_.end())
    return found->second;
  // An account that is new to this holder may have spent all of its tokens with
  // an earlier holder. It gets only the refill since that holder's grants
  // expired.
  std::int64_t level = limit.burst_tokens;
  if (!inheritance_.fresh) {
    const double seconds = std::max(
        0.0,
        std::chrono::duration<double>(now - earlier_grants_until_).count());
    const double refill = seconds *
                          static_cast<double>(limit.tokens_per_second) /
                          (1 + settings_.max_clock_drift);
    level = static_cast<std::int64_t>(
        std::min(refill, static_cast<double>(limit.burst_tokens)));
  }
  const std::int64_t earlier_grants =
      now < earlier_grants_until_ ? limit.burst_tokens - level : 0;
  return pools_
      .try_emplace(limit.account, Pool(TokenPool(now, limit, settings_, level,
                                                 earlier_grants)))
      .first->second;
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

/// Charges tokens that were or may have been spent, to the uplink first and the
/// rest to the pool.
void BudgetAllocator::ChargeSpent(MonoTime now,
                                  const AccountId& account,
                                  Pool& pool,
                                  std::int64_t tokens) {
  pool.tokens.Accrue(now, settings_.max_clock_drift);
  const std::int64_t from_uplink =
      uplink_ ? uplink_->Spend(account, tokens) : 0;
  pool.tokens.Charge(tokens - from_uplink);
}

/// Credits refunded tokens to the pool first, and returns the rest to the
/// uplink. Overflow is credited only as far as the pool has capacity.
void BudgetAllocator::CreditReturned(const AccountId& account,
                                     Pool& pool,
                                     std::int64_t tokens,
                                     CreditAge age) {
  const std::int64_t credited = pool.tokens.Credit(tokens, age);
  const std::int64_t rest = tokens - credited;
  if (rest > 0 && uplink_ && age != CreditAge::kOverflow)
    uplink_->Refund(account, rest, age);
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

void BudgetAllocator::CheckCovered(const AccountId& account,
                                   const Pool& pool) const {
  const std::int64_t uplink_balance = uplink_ ? uplink_->balance(account) : 0;
  CheckInvariant(
      pool.allocated >= 0 &&
          pool.allocated <= pool.tokens.level() + uplink_balance,
      "allocated tokens are covered by pool level and uplink balance",
      [&account, &pool, uplink_balance] {
        return account.value() + ": allocated " +
               std::to_string(pool.allocated) + ", level " +
               std::to_string(pool.tokens.level()) + ", uplink " +
               std::to_string(uplink_balance);
      });
}

}  // namespace mangoport
