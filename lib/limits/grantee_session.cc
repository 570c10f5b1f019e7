#include "mangoport/limits/grantee_session.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {

wire::BudgetEpoch ToWire(const LogPosition& position) {
  wire::BudgetEpoch epoch;
  epoch.set_offset(position.offset);
  epoch.set_index(position.index);
  return epoch;
}

LogPosition FromWire(const wire::BudgetEpoch& epoch) {
  return {epoch.offset(), epoch.index()};
}

wire::BudgetDealerId ToWire(const AllocatorId& allocator) {
  wire::BudgetDealerId id;
  id.set_stream(allocator.stream.value());
  *id.mutable_epoch() = ToWire(allocator.epoch);
  return id;
}

AllocatorId FromWire(const wire::BudgetDealerId& allocator) {
  return {StreamId(allocator.stream()), FromWire(allocator.epoch())};
}

bool GranteeSession::Live(MonoTime now) const {
  if (MutantEnabled("lease_not_checked_at_spend"))
    return lease_until_ != MonoTime::min();
  return now < lease_until_;
}

void GranteeSession::Expire(MonoTime now) {
  if (lease_until_ != MonoTime::min() && !Live(now))
    DropAll();
}

void GranteeSession::DropAll() {
  for (auto& [id, it] : accounts_) {
    if (it.balance == 0)
      continue;
    it.balance = 0;
    MarkChanged(id);
  }
  total_balance_ = 0;
  lease_until_ = MonoTime::min();
  awaited_sequence_ = 0;
}

std::int64_t GranteeSession::balance(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? 0 : it->second.balance;
}

std::int64_t GranteeSession::Spend(const AccountId& account,
                                   std::int64_t tokens) {
  const std::int64_t n = std::min(tokens, balance(account));
  if (n <= 0)
    return 0;
  Account& entry = MarkChanged(account);
  entry.balance -= n;
  total_balance_ -= n;
  entry.spent += n;
  return n;
}

void GranteeSession::ReturnTokens(const AccountId& account,
                                  std::int64_t tokens) {
  Account& entry = MarkChanged(account);
  CheckInvariant(tokens >= 0 && tokens <= entry.balance,
                 "a grantee returns no more tokens than it holds",
                 [&account, tokens] {
                   return account.value() + " " + std::to_string(tokens);
                 });
  entry.balance -= tokens;
  total_balance_ -= tokens;
}

void GranteeSession::Refund(const AccountId& account,
                            std::int64_t tokens,
                            CreditAge age) {
  Account& entry = MarkChanged(account);
  (age == CreditAge::kRecent ? entry.returned_recent : entry.returned_old) +=
      tokens;
  if (MutantEnabled("refund_after_expiry_credited"))
    entry.balance += tokens;
}

std::optional<std::int64_t> GranteeSession::ceiling(
    const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? std::nullopt : it->second.ceiling;
}

MonoTime GranteeSession::exhausted_until(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? MonoTime::min() : it->second.exhausted_until;
}

wire::BudgetRequest GranteeSession::MakeRequest(
    MonoTime now,
    const std::vector<GrantNeed>& needs) {
  Expire(now);
  wire::BudgetRequest request;
  request.set_taker(name_);
  *request.mutable_dealer() = ToWire(allocator_);
  request.set_sequence(++sequence_);
  request.set_acknowledged(acknowledged_);
  request.set_holds_tokens(total_balance_ > 0);
  for (const GrantNeed& it : needs)
    AddAsk(MarkChanged(it.account), it, request);
  for (Account* it : unreported_) {
    if (it->last_request != sequence_)
      AddAsk(*it, GrantNeed{}, request);
  }
  awaited_sequence_ = sequence_;
  sent_at_ = now;
  return request;
}

bool GranteeSession::OnReply(MonoTime now,
                             const wire::BudgetReply& reply,
                             MonoTime min_lease_end) {
  Expire(now);
  if (awaited_sequence_ == 0 || reply.sequence() != awaited_sequence_ ||
      FromWire(reply.dealer()) != allocator_)
    return false;
  const MonoTime until =
      sent_at_ + Duration(static_cast<std::int64_t>(reply.lease_ns()));
  if (now >= until || until < min_lease_end)
    return false;
  acknowledged_ = std::exchange(awaited_sequence_, 0);
  lease_until_ = std::max(lease_until_, until);
  std::erase_if(unreported_, [this](Account* it) {
    if (it->last_request == acknowledged_ && !it->changed)
      return true;
    return false;
  });
  for (const wire::BudgetGrant& it : reply.grants())
    ApplyGrant(now, it);
  return true;
}

GranteeSession::Account& GranteeSession::MarkChanged(const AccountId& account) {
  Account& entry = accounts_[account];
  if (entry.id.empty())
    entry.id = account;
  const bool is_unreported =
      entry.changed || entry.last_request > acknowledged_;
  if (!is_unreported)
    unreported_.push_back(&entry);
  entry.changed = true;
  return entry;
}

void GranteeSession::AddAsk(Account& account,
                            const GrantNeed& need,
                            wire::BudgetRequest& request) {
  account.last_request = sequence_;
  account.changed = false;
  wire::BudgetAsk& ask = *request.add_asks();
  ask.set_account(account.id.value());
  ask.set_held(account.balance);
  ask.set_spent(account.spent);
  ask.set_returned_recent(account.returned_recent);
  ask.set_returned_old(account.returned_old);
  ask.set_wanted(need.wanted);
  ask.set_urgent(need.urgent);
  ask.set_smallest(need.smallest);
  ask.set_overflow(need.overflow);
}

void GranteeSession::ApplyGrant(MonoTime now, const wire::BudgetGrant& grant) {
  const auto it = accounts_.find(AccountId(grant.account()));
  if (it == accounts_.end() || grant.granted() < 0)
    return;
  Account& entry = it->second;
  entry.balance += grant.granted();
  total_balance_ += grant.granted();
  entry.ceiling = std::nullopt;
  if (grant.has_ceiling())
    entry.ceiling = grant.ceiling();
  entry.exhausted_until = MonoTime::min();
  if (grant.dry())
    entry.exhausted_until =
        now + std::chrono::milliseconds(grant.retry_after_ms());
}

}  // namespace mangoport
