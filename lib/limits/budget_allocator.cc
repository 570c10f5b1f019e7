#include "mangoport/limits/budget_allocator.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

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

void BudgetAllocator::Tick(MonoTime now) {
  ExpireUplink(now);
  if (now >= next_expiry_)
    ExpireGrantees(now);
  const bool changed = uplink_ ? uplink_allocator_ != uplink_->allocator()
                               : uplink_allocator_.has_value();
  if (changed && FloorCoversAllGrants())
    ReplaceUplink(now);
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
