#include "mangoport/limits/host_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Time constant of the exponential decay of past demand.
constexpr double kDemandTimeConstantSeconds = 1.0;

/// Demand below this rate, in tokens per second, counts as none, and the
/// account's tokens are returned.
constexpr double kMinTokensPerSecond = 1.0;

/// A request without a reply is repeated after this time.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(100);

/// A host sends an early request when its balance is below this fraction (1/n)
/// of the wanted balance.
constexpr std::int64_t kLowBalanceDivisor = 2;

/// Minimum time between early requests because of a low balance. If spend
/// requests are waiting, a request to the allocator may follow sooner.
constexpr Duration kLowBalanceRequestInterval = std::chrono::milliseconds(100);

}  // namespace

bool MayDispatch(const SpendReceipt& receipt, MonoTime now) {
  return now < receipt.valid_until ||
         MutantEnabled("lease_not_checked_at_dispatch");
}

HostBudget::HostBudget(std::string name, const BudgetSettings& settings)
    : name_(std::move(name)), settings_(settings) {}

void HostBudget::SetLimits(const std::vector<AccountLimit>& limits) {
  std::unordered_map<AccountId, Demand> next;
  for (const AccountLimit& it : limits) {
    const auto old = demands_.find(it.account);
    Demand& entry = next[it.account];
    if (old != demands_.end())
      entry = old->second;
    entry.limit = it;
  }
  demands_ = std::move(next);
  std::erase_if(active_accounts_,
                [this](const AccountId& it) { return !demands_.contains(it); });
}

void HostBudget::SetAllocator(MonoTime now, const AllocatorId& allocator) {
  if (current_ && current_->allocator() == allocator)
    return;
  if (current_ && current_->Live(now))
    draining_ = std::move(current_);
  ++session_count_;
  current_.emplace(name_ + "#" + std::to_string(session_count_), allocator);
  last_reply_.reset();
  next_report_at_ = now;
}

SpendDecision HostBudget::TrySpend(MonoTime now, const SpendRequest& request) {
  SpendDecision decision;
  const auto found = demands_.find(request.account);
  if (found == demands_.end()) {
    decision.verdict = SpendVerdict::kUnknownAccount;
    return decision;
  }
  Demand& demand = found->second;
  if (request.tokens > demand.limit.burst_tokens || request.tokens < 0) {
    decision.verdict = SpendVerdict::kTooLarge;
    return decision;
  }
  if (!request.retried)
    RecordDemand(now, demand, request.tokens);
  if (SpendFromSessions(now, request, decision.receipt)) {
    CheckLowBalance(now, demand);
    decision.verdict = SpendVerdict::kAdmitted;
    return decision;
  }
  return Decline(now, request, demand);
}

void HostBudget::Refund(MonoTime now,
                        SpendReceipt& receipt,
                        std::int64_t unused) {
  const std::int64_t n = std::min(unused, std::exchange(receipt.tokens, 0));
  if (n <= 0 || !current_)
    return;
  current_->Expire(now);
  const Duration age = now - receipt.charged_at;
  if (age <= settings_.recent_refund_age)
    current_->Refund(receipt.account, n, CreditAge::kRecent);
  else if (age <= settings_.old_refund_age)
    current_->Refund(receipt.account, n, CreditAge::kOld);
}

std::optional<wire::BudgetRequest> HostBudget::MakeRequest(MonoTime now) {
  if (!current_)
    return std::nullopt;
  current_->Expire(now);
  const bool has_sent = current_->sent_at() != MonoTime::min();
  const Duration since_last =
      has_sent ? now - current_->sent_at() : Duration::max();
  if (since_last < settings_.request_interval)
    return std::nullopt;
  if (current_->awaits_reply() && since_last < kReplyTimeout)
    return std::nullopt;
  const bool low = balance_is_low_ && since_last >= kLowBalanceRequestInterval;
  if (now < next_report_at_ && !has_waiting_ && !low)
    return std::nullopt;
  next_report_at_ = now + settings_.report_interval;
  balance_is_low_ = false;
  return current_->MakeRequest(now, Needs(now));
}

bool HostBudget::OnReply(MonoTime now, const wire::BudgetReply& reply) {
  if (!current_ || !current_->OnReply(now, reply, MonoTime::min()))
    return false;
  last_reply_ = now;
  return true;
}

std::int64_t HostBudget::balance(MonoTime now, const AccountId& account) const {
  std::int64_t n = 0;
  if (draining_ && draining_->Live(now))
    n += draining_->balance(account);
  if (current_ && current_->Live(now))
    n += current_->balance(account);
  return n;
}

void HostBudget::RecordDemand(MonoTime now,
                              Demand& demand,
                              std::int64_t tokens) {
  demand.tokens_per_second =
      DemandAt(now, demand) +
      static_cast<double>(tokens) / kDemandTimeConstantSeconds;
  demand.updated_at = now;
  if (std::exchange(demand.active, true))
    return;
  active_accounts_.push_back(demand.limit.account);
}

/// Makes the next request due early if the balance is well below the demand.
void HostBudget::CheckLowBalance(MonoTime now, const Demand& demand) {
  if (!current_ || now < current_->exhausted_until(demand.limit.account))
    return;
  const double horizon =
      std::chrono::duration<double>(settings_.demand_horizon).count();
  const auto wanted =
      static_cast<std::int64_t>(demand.tokens_per_second * horizon);
  balance_is_low_ |=
      current_->balance(demand.limit.account) < wanted / kLowBalanceDivisor;
}

double HostBudget::DemandAt(MonoTime now, const Demand& demand) const {
  if (demand.updated_at == MonoTime::min())
    return 0;
  const double age =
      std::chrono::duration<double>(now - demand.updated_at).count();
  return demand.tokens_per_second *
         std::exp(-std::max(0.0, age) / kDemandTimeConstantSeconds);
}

/// Spends from the older session first, since its tokens expire first.
bool HostBudget::SpendFromSessions(MonoTime now,
                                   const SpendRequest& request,
                                   SpendReceipt& receipt) {
  if (draining_ && !draining_->Live(now))
    draining_.reset();
  if (current_)
    current_->Expire(now);
  if (balance(now, request.account) < request.tokens)
    return false;
  receipt.account = request.account;
  receipt.tokens = request.tokens;
  receipt.charged_at = now;
  receipt.valid_until = MonoTime::max();
  std::int64_t remaining = request.tokens;
  for (std::optional<GranteeSession>* it : {&draining_, &current_}) {
    if (remaining == 0 || !*it || !(*it)->Live(now))
      continue;
    const std::int64_t n = (*it)->Spend(request.account, remaining);
    if (n > 0)
      receipt.valid_until = std::min(receipt.valid_until, (*it)->lease_until());
    remaining -= n;
  }
  CheckInvariant(remaining == 0, "a host spends no more than it was granted",
                 [&request] { return request.account.value(); });
  return true;
}

SpendDecision HostBudget::Decline(MonoTime now,
                                  const SpendRequest& request,
                                  Demand& demand) {
  SpendDecision decision;
  const MonoTime exhausted_until =
      current_ ? current_->exhausted_until(request.account) : MonoTime::min();
  const MonoTime wait_deadline = request.arrived_at + settings_.max_wait;
  if (now < exhausted_until) {
    // Waiting is useful only if tokens may become available in time.
    if (exhausted_until < wait_deadline)
      decision.verdict = SpendVerdict::kWait;
    decision.retry_after = exhausted_until - now;
    return decision;
  }
  RecordWaiting(demand, request.tokens);
  if (now < wait_deadline) {
    decision.verdict = SpendVerdict::kWait;
    return decision;
  }
  const std::int64_t rate =
      std::max<std::int64_t>(1, demand.limit.tokens_per_second);
  decision.retry_after =
      std::chrono::milliseconds(1 + request.tokens * 1000 / rate);
  return decision;
}

void HostBudget::RecordWaiting(Demand& demand, std::int64_t tokens) {
  demand.waiting_smallest =
      demand.waiting == 0 ? tokens : std::min(demand.waiting_smallest, tokens);
  demand.waiting += tokens;
  has_waiting_ = true;
}

std::vector<GrantNeed> HostBudget::Needs(MonoTime now) {
  has_waiting_ = false;
  std::vector<GrantNeed> needs;
  needs.reserve(active_accounts_.size());
  std::erase_if(active_accounts_, [&](const AccountId& id) {
    Demand& demand = demands_.at(id);
    needs.push_back(NeedFor(now, demand));
    const GrantNeed& need = needs.back();
    demand.active = need.wanted > 0 || need.urgent > 0;
    return !demand.active;
  });
  return needs;
}

/// Returns the need of one account and gives tokens that exceed it back to the
/// allocator.
GrantNeed HostBudget::NeedFor(MonoTime now, Demand& demand) {
  GrantNeed need;
  need.account = demand.limit.account;
  const double rate = DemandAt(now, demand);
  const double horizon =
      std::chrono::duration<double>(settings_.demand_horizon).count();
  if (rate >= kMinTokensPerSecond)
    need.wanted = std::min(static_cast<std::int64_t>(rate * horizon),
                           demand.limit.burst_tokens);
  need.urgent =
      std::min(std::exchange(demand.waiting, 0), demand.limit.burst_tokens);
  need.smallest = need.urgent > 0 ? demand.waiting_smallest : 0;
  const std::int64_t held = current_->balance(need.account);
  const std::int64_t target = std::max(need.wanted, need.urgent);
  const std::int64_t keep =
      std::min(target, current_->ceiling(need.account).value_or(target));
  if (held > keep + keep / 2)
    current_->ReturnTokens(need.account, held - keep);
  return need;
}

}  // namespace mangoport
