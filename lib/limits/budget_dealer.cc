#include "mangoport/limits/budget_dealer.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// A pool counts as contested this long after it could not serve a waiting
/// request; takers without waiting requests then give their tokens back.
constexpr Duration kContestedTime = std::chrono::milliseconds(300);

/// A zone hands refill of its full floor on this long after it heard that the
/// shared pool is short.
constexpr Duration kHandOnTime = std::chrono::seconds(1);

/// A request without an answer is given up after this.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(100);

/// How long a taker takes a pool for dry, at least and at most.
constexpr std::int64_t kShortestDryMs = 5;
constexpr std::int64_t kLongestDryMs = 1000;

/// One demand-driven grant takes at most this part of what is free.
constexpr std::int64_t kGrantDivisor = 4;

/// A reserve is recorded anew once it is off by this part of the pool's cap.
constexpr std::int64_t kReserveStepDivisor = 8;

/// Reserves in one record.
constexpr std::size_t kMostReserves = 256;

}  // namespace

BudgetDealer::BudgetDealer(std::string name,
                           const BudgetSettings& settings,
                           Duration grant_lease)
    : name_(std::move(name)), settings_(settings), grant_lease_(grant_lease) {}

void BudgetDealer::SetLimits(MonoTime now,
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
    PoolOf(now, it);
}

void BudgetDealer::StartEpoch(MonoTime now,
                              const DealerId& id,
                              const BudgetInheritance& inheritance) {
  id_ = id;
  inheritance_ = inheritance;
  unknown_until_ = now;
  if (!inheritance.fresh && !MutantEnabled("earlier_grants_not_waited_out"))
    unknown_until_ = now + StretchForDrift(grant_lease_, settings_);
  next_expiry_ = unknown_until_;
  pools_.clear();
  takers_.clear();
  contested_.clear();
  unmet_.clear();
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
  // What the old uplink holds may be with takers of the old epoch.
  ReplaceUplink(now);
  Tick(now);
}

void BudgetDealer::SetUplink(MonoTime now,
                             const std::optional<DealerId>& dealer) {
  uplink_dealer_ = dealer;
  Tick(now);
}

std::optional<wire::BudgetReply> BudgetDealer::OnRequest(
    MonoTime now,
    const wire::BudgetRequest& request) {
  Tick(now);
  if (!MayDeal(now) || !Answerable(request))
    return std::nullopt;
  const Duration lease = LeaseAt(now);
  if (lease < kShortestGrant)
    return std::nullopt;
  const auto [entry, is_new] = takers_.try_emplace(request.taker());
  Taker& taker = entry->second;
  // Refill that was handed on is dated by the reply it was counted from.
  const bool overflow_is_dated =
      !is_new && request.acknowledged() == taker.sequence &&
      now - taker.replied_at <= settings_.overflow_room_window;
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
    const auto [place, first_seen] = taker.holdings.try_emplace(account);
    Holding& holding = place->second;
    if (first_seen) {
      // Whatever it spent or returned before was settled when it fell silent.
      holding.spent = it.spent();
      holding.returned_recent = it.returned_recent();
      holding.returned_old = it.returned_old();
    }
    SettleReport(now, account, it, pool, holding);
    if (overflow_is_dated && it.overflow() > 0)
      CreditReturned(account, pool, it.overflow(), CreditAge::kOverflow);
    *reply.add_grants() = MakeGrant(now, it, account, pool, holding);
    CheckCovered(account, pool);
  }
  AddShortAccounts(now, reply);
  taker.sequence = request.sequence();
  taker.replied_at = now;
  const Duration counted =
      MutantEnabled("dead_taker_returned_early") ? lease / 4 : lease;
  taker.expires_at =
      std::max(taker.expires_at, now + StretchForDrift(counted, settings_));
  next_expiry_ = std::min(next_expiry_, taker.expires_at);
  return reply;
}

void BudgetDealer::Tick(MonoTime now) {
  ExpireUplink(now);
  if (now >= next_expiry_)
    ExpireTakers(now);
  const bool replaced = uplink_ ? uplink_dealer_ != uplink_->dealer()
                                : uplink_dealer_.has_value();
  if (replaced && FloorCoversAll())
    ReplaceUplink(now);
}

std::optional<wire::BudgetRequest> BudgetDealer::MakeUplinkRequest(
    MonoTime now) {
  Tick(now);
  if (!uplink_ || !MayDeal(now))
    return std::nullopt;
  const bool asked = uplink_->sent_at() != MonoTime::min();
  const Duration since = asked ? now - uplink_->sent_at() : Duration::max();
  if (since < settings_.ask_interval)
    return std::nullopt;
  if (uplink_->awaits_reply() && since < kReplyTimeout)
    return std::nullopt;
  const bool full = now >= full_report_at_;
  const std::vector<GrantNeed> needs = UplinkNeeds(now, full);
  if (!full && needs.empty())
    return std::nullopt;
  if (full)
    full_report_at_ = now + settings_.report_interval;
  return uplink_->MakeRequest(now, needs);
}

void BudgetDealer::OnUplinkReply(MonoTime now, const wire::BudgetReply& reply) {
  Tick(now);
  if (!uplink_)
    return;
  // Grants that hosts already have must not outlast the tokens behind them.
  const MonoTime least = now + StretchForDrift(grant_lease_, settings_);
  if (!uplink_->OnReply(now, reply, least))
    return;
  for (const std::string& it : reply.short_accounts()) {
    const auto found = pools_.find(AccountId(it));
    if (found == pools_.end())
      continue;
    Pool& pool = found->second;
    pool.tokens.Accrue(now, settings_.max_clock_drift);
    pool.tokens.TakeOverflow();
    pool.hand_on_until = now + kHandOnTime;
  }
}

std::vector<wire::BudgetReserve> BudgetDealer::ReservesToRecord(
    std::uint64_t nonce) {
  wants_record_ = false;
  std::vector<wire::BudgetReserve> records;
  for (auto& [id, pool] : pools_) {
    Reserve& reserve = pool.reserve;
    const std::int64_t cap = pool.tokens.limit().burst_tokens;
    const std::int64_t spare =
        std::clamp<std::int64_t>(Free(id, pool), 0, pool.tokens.level());
    const bool in_need = std::exchange(reserve.in_need, false);
    const std::int64_t next = in_need ? 0 : std::min(spare, cap) / 2;
    const std::int64_t off =
        next > reserve.latest ? next - reserve.latest : reserve.latest - next;
    const bool differs =
        off > 0 && (in_need || off > cap / kReserveStepDivisor);
    // The log may have lost the record of an unconfirmed figure.
    if (!differs && reserve.confirmed)
      continue;
    reserve.confirmed = false;
    reserve.pending = std::max(reserve.pending, next);
    reserve.latest = next;
    reserve.latest_nonce = nonce;
    wire::BudgetReserve& record = records.emplace_back();
    record.set_account(id.value());
    record.set_tokens(next);
    if (records.size() == kMostReserves)
      break;
  }
  return records;
}

void BudgetDealer::OnReservesRecorded(std::uint64_t nonce) {
  for (auto& [id, pool] : pools_) {
    Reserve& reserve = pool.reserve;
    // Records of lower numbers are void once this one is in the log.
    if (reserve.latest_nonce != nonce || reserve.confirmed)
      continue;
    reserve.durable = reserve.latest;
    reserve.pending = 0;
    reserve.confirmed = true;
  }
}

std::int64_t BudgetDealer::dealt(const AccountId& account) const {
  const auto it = pools_.find(account);
  return it == pools_.end() ? 0 : it->second.dealt;
}

std::int64_t BudgetDealer::free(MonoTime now, const AccountId& account) const {
  const auto it = pools_.find(account);
  if (it == pools_.end())
    return 0;
  std::int64_t n = Free(account, it->second);
  if (uplink_ && !uplink_->Live(now))
    n -= uplink_->balance(account);
  return std::max<std::int64_t>(0, n);
}

bool BudgetDealer::MayDeal(MonoTime now) const {
  if (!id_)
    return false;
  return now < held_until_ || MutantEnabled("superseded_holder_deals");
}

Duration BudgetDealer::LeaseAt(MonoTime now) const {
  if (!uplink_ || uplink_->lease_until() == MonoTime::min())
    return grant_lease_;
  if (MutantEnabled("grant_outlives_uplink"))
    return grant_lease_;
  return std::min(grant_lease_,
                  ShrinkForDrift(uplink_->lease_until() - now, settings_));
}

std::int64_t BudgetDealer::Free(const AccountId& account,
                                const Pool& pool) const {
  const std::int64_t taken = uplink_ ? uplink_->balance(account) : 0;
  return pool.tokens.level() + taken - pool.dealt;
}

/// A successor counts on no more than the cap, so after the cap was lowered
/// the rest of the reserve need not be kept.
std::int64_t BudgetDealer::ReservedIn(const Pool& pool) {
  return std::min(std::max(pool.reserve.durable, pool.reserve.pending),
                  pool.tokens.limit().burst_tokens);
}

std::int64_t BudgetDealer::Available(const AccountId& account,
                                     const Pool& pool) const {
  if (MutantEnabled("reserve_dealt"))
    return Free(account, pool);
  return Free(account, pool) - ReservedIn(pool);
}

BudgetDealer::Pool& BudgetDealer::PoolOf(MonoTime now,
                                         const AccountLimit& limit) {
  const auto found = pools_.find(limit.account);
  if (found != pools_.end())
    return found->second;
  // An account that this holder has not seen before may have spent all of its
  // tokens with an earlier holder: it has what came in since then.
  std::int64_t level = limit.burst_tokens;
  if (!inheritance_.fresh) {
    const double seconds = std::max(
        0.0, std::chrono::duration<double>(now - unknown_until_).count());
    const double refill = seconds *
                          static_cast<double>(limit.tokens_per_second) /
                          (1 + settings_.max_clock_drift);
    level = static_cast<std::int64_t>(
        std::min(refill, static_cast<double>(limit.burst_tokens)));
  }
  const std::int64_t unknown =
      now < unknown_until_ ? limit.burst_tokens - level : 0;
  return pools_
      .try_emplace(limit.account,
                   Pool(TokenPool(now, limit, settings_, level, unknown)))
      .first->second;
}

/// A taker whose grants have been charged as spent must not have its lease
/// renewed before it has dropped them. Its old requests may still arrive.
bool BudgetDealer::Answerable(const wire::BudgetRequest& request) const {
  if (FromWire(request.dealer()) != *id_)
    return false;
  const auto taker = takers_.find(request.taker());
  if (taker == takers_.end())
    return !request.holds_tokens();
  if (request.sequence() <= taker->second.sequence)
    return false;
  for (const wire::BudgetAsk& it : request.asks()) {
    const auto holding = taker->second.holdings.find(AccountId(it.account()));
    const std::int64_t dealt =
        holding == taker->second.holdings.end() ? 0 : holding->second.held;
    if (it.held() > dealt)
      return false;
  }
  return true;
}

bool BudgetDealer::FloorCoversAll() const {
  for (const auto& [id, pool] : pools_) {
    if (pool.dealt > pool.tokens.level() ||
        pool.tokens.level() - pool.dealt < ReservedIn(pool))
      return false;
  }
  return true;
}

void BudgetDealer::ReplaceUplink(MonoTime now) {
  uplink_.reset();
  full_report_at_ = now;
  if (uplink_dealer_)
    uplink_.emplace(name_ + "/" + std::to_string(++uplink_count_),
                    *uplink_dealer_);
}

/// Charges tokens that were spent, or may have been, to the uplink first.
void BudgetDealer::ChargeSpent(MonoTime now,
                               const AccountId& account,
                               Pool& pool,
                               std::int64_t tokens) {
  pool.tokens.Accrue(now, settings_.max_clock_drift);
  const std::int64_t from_uplink =
      uplink_ ? uplink_->Spend(account, tokens) : 0;
  pool.tokens.Charge(tokens - from_uplink);
}

void BudgetDealer::CreditReturned(const AccountId& account,
                                  Pool& pool,
                                  std::int64_t tokens,
                                  CreditAge age) {
  const std::int64_t credited = pool.tokens.Credit(tokens, age);
  const std::int64_t rest = tokens - credited;
  if (rest > 0 && uplink_ && age != CreditAge::kOverflow)
    uplink_->Refund(account, rest, age);
}

/// Takes all that `taker` holds for spent.
void BudgetDealer::EndTaker(MonoTime now, Taker& taker) {
  for (auto& [id, holding] : taker.holdings) {
    Pool& pool = pools_.at(id);
    ChargeSpent(now, id, pool, holding.held);
    pool.dealt -= holding.held;
    pool.wanted -= holding.wanted;
    CheckCovered(id, pool);
  }
}

void BudgetDealer::ExpireTakers(MonoTime now) {
  next_expiry_ = MonoTime::max();
  if (now >= unknown_until_ && unknown_until_ != MonoTime::min()) {
    for (auto& [id, pool] : pools_)
      pool.tokens.ForgetUnknown(now);
    unknown_until_ = MonoTime::min();
  } else if (unknown_until_ != MonoTime::min()) {
    next_expiry_ = unknown_until_;
  }
  for (auto it = takers_.begin(); it != takers_.end();) {
    if (now < it->second.expires_at) {
      next_expiry_ = std::min(next_expiry_, it->second.expires_at);
      ++it;
      continue;
    }
    EndTaker(now, it->second);
    it = takers_.erase(it);
  }
}

void BudgetDealer::ExpireUplink(MonoTime now) {
  if (!uplink_ || uplink_->lease_until() == MonoTime::min() ||
      uplink_->Live(now))
    return;
  // Every grant was made to end with the uplink's lease.
  for (auto& [name, taker] : takers_)
    EndTaker(now, taker);
  takers_.clear();
  uplink_->Expire(now);
}

void BudgetDealer::SettleReport(MonoTime now,
                                const AccountId& account,
                                const wire::BudgetAsk& ask,
                                Pool& pool,
                                Holding& holding) {
  const std::int64_t most = holding.held;
  const std::int64_t spent =
      std::clamp<std::int64_t>(ask.spent() - holding.spent, 0, most);
  const std::int64_t held =
      std::clamp<std::int64_t>(ask.held(), 0, most - spent);
  ChargeSpent(now, account, pool, spent);
  pool.dealt += held - holding.held;
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

wire::BudgetGrant BudgetDealer::MakeGrant(MonoTime now,
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
      NoteUnmet(now, needed, smallest, account, pool, grant);
  }
  const std::int64_t spare = ask.wanted() - holding.held - n;
  if (spare > 0 && now >= pool.contested_until)
    n += std::min(spare, (available - n) / kGrantDivisor);
  grant.set_granted(n);
  holding.held += n;
  pool.dealt += n;
  if (const auto ceiling = CeilingFor(now, ask, account, pool, holding))
    grant.set_ceiling(*ceiling);
  return grant;
}

void BudgetDealer::NoteUnmet(MonoTime now,
                             std::int64_t needed,
                             std::int64_t smallest,
                             const AccountId& account,
                             Pool& pool,
                             wire::BudgetGrant& grant) {
  if (uplink_) {
    if (pool.unmet == 0)
      unmet_.push_back(account);
    pool.unmet_smallest =
        pool.unmet == 0 ? smallest : std::min(pool.unmet_smallest, smallest);
    pool.unmet += needed;
  }
  if (now >= pool.contested_until)
    contested_.push_back(account);
  pool.contested_until = now + kContestedTime;
  const std::int64_t free = Free(account, pool);
  if (free >= smallest) {
    pool.reserve.in_need = true;
    wants_record_ = true;
  }
  const bool may_come =
      free >= smallest ||
      (uplink_ && uplink_->Live(now) && uplink_->dry_until(account) <= now);
  if (may_come)
    return;
  const std::int64_t rate = pool.tokens.limit().tokens_per_second;
  const std::int64_t wait_ms =
      rate > 0 ? (smallest - free) * 1000 / rate : kLongestDryMs;
  grant.set_dry(true);
  grant.set_retry_after_ms(static_cast<std::uint64_t>(
      std::clamp(wait_ms, kShortestDryMs, kLongestDryMs)));
}

std::optional<std::int64_t> BudgetDealer::CeilingFor(
    MonoTime now,
    const wire::BudgetAsk& ask,
    const AccountId& account,
    const Pool& pool,
    const Holding& holding) const {
  const std::int64_t taken = uplink_ ? uplink_->balance(account) : 0;
  const std::int64_t cap = pool.tokens.limit().burst_tokens + taken;
  if (pool.dealt > cap)
    return static_cast<std::int64_t>(static_cast<double>(holding.held) *
                                     static_cast<double>(cap) /
                                     static_cast<double>(pool.dealt));
  if (now < pool.contested_until)
    return ask.urgent();
  return std::nullopt;
}

void BudgetDealer::AddShortAccounts(MonoTime now, wire::BudgetReply& reply) {
  std::erase_if(contested_, [this, now](const AccountId& it) {
    return now >= pools_.at(it).contested_until;
  });
  for (const AccountId& it : contested_)
    reply.add_short_accounts(it.value());
}

/// What to ask of the shared pool: for all accounts at a full report, between
/// reports for those that a waiting request needs.
std::vector<GrantNeed> BudgetDealer::UplinkNeeds(MonoTime now, bool full) {
  std::vector<GrantNeed> needs;
  for (const AccountId& it : unmet_) {
    Pool& pool = pools_.at(it);
    if (!full && uplink_->dry_until(it) <= now)
      needs.push_back(UplinkNeed(now, it, pool));
    if (!full)
      pool.unmet = 0;
  }
  unmet_.clear();
  if (!full)
    return needs;
  for (auto& [id, pool] : pools_) {
    GrantNeed need = UplinkNeed(now, id, pool);
    if (need.wanted > 0 || need.overflow > 0 || uplink_->balance(id) > 0)
      needs.push_back(std::move(need));
  }
  return needs;
}

GrantNeed BudgetDealer::UplinkNeed(MonoTime now,
                                   const AccountId& account,
                                   Pool& pool) {
  pool.tokens.Accrue(now, settings_.max_clock_drift);
  GrantNeed need;
  need.account = account;
  const std::int64_t available =
      std::max<std::int64_t>(0, Available(account, pool));
  std::int64_t taken = uplink_->balance(account);
  need.wanted = 2 * pool.wanted + pool.unmet;
  const std::int64_t keep =
      std::min(need.wanted, uplink_->ceiling(account).value_or(need.wanted));
  if (taken > keep + keep / 2) {
    uplink_->GiveBack(account, std::min(taken - keep, available));
    taken = uplink_->balance(account);
  }
  if (pool.unmet > available) {
    need.urgent = taken + pool.unmet - available;
    need.smallest =
        taken + std::max<std::int64_t>(1, pool.unmet_smallest - available);
  }
  pool.unmet = 0;
  need.overflow = HandOnOverflow(now, pool);
  return need;
}

std::int64_t BudgetDealer::HandOnOverflow(MonoTime now, Pool& pool) {
  const std::int64_t overflow = pool.tokens.TakeOverflow();
  return now < pool.hand_on_until ? overflow : 0;
}

void BudgetDealer::CheckCovered(const AccountId& account,
                                const Pool& pool) const {
  const std::int64_t taken = uplink_ ? uplink_->balance(account) : 0;
  CheckInvariant(pool.dealt >= 0 && pool.dealt <= pool.tokens.level() + taken,
                 "tokens dealt are covered", [&account, &pool, taken] {
                   return account.value() + ": dealt " +
                          std::to_string(pool.dealt) + ", level " +
                          std::to_string(pool.tokens.level()) + ", uplink " +
                          std::to_string(taken);
                 });
}

}  // namespace mangoport
