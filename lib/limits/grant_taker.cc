#include "mangoport/limits/grant_taker.h"

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

wire::BudgetDealerId ToWire(const DealerId& dealer) {
  wire::BudgetDealerId id;
  id.set_stream(dealer.stream.value());
  *id.mutable_epoch() = ToWire(dealer.epoch);
  return id;
}

DealerId FromWire(const wire::BudgetDealerId& dealer) {
  return {StreamId(dealer.stream()), FromWire(dealer.epoch())};
}

bool GrantTaker::Live(MonoTime now) const {
  if (MutantEnabled("lease_not_checked_at_spend"))
    return lease_until_ != MonoTime::min();
  return now < lease_until_;
}

void GrantTaker::Expire(MonoTime now) {
  if (lease_until_ != MonoTime::min() && !Live(now))
    DropAll();
}

void GrantTaker::DropAll() {
  for (auto& [id, it] : accounts_) {
    if (it.balance == 0)
      continue;
    it.balance = 0;
    Touch(id);
  }
  total_balance_ = 0;
  lease_until_ = MonoTime::min();
  awaited_ = 0;
}

std::int64_t GrantTaker::balance(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? 0 : it->second.balance;
}

std::int64_t GrantTaker::Spend(const AccountId& account, std::int64_t tokens) {
  const std::int64_t n = std::min(tokens, balance(account));
  if (n <= 0)
    return 0;
  Account& entry = Touch(account);
  entry.balance -= n;
  total_balance_ -= n;
  entry.spent += n;
  return n;
}

void GrantTaker::GiveBack(const AccountId& account, std::int64_t tokens) {
  Account& entry = Touch(account);
  CheckInvariant(tokens >= 0 && tokens <= entry.balance,
                 "a taker gives back no more than it holds",
                 [&account, tokens] {
                   return account.value() + " " + std::to_string(tokens);
                 });
  entry.balance -= tokens;
  total_balance_ -= tokens;
}

void GrantTaker::Refund(const AccountId& account,
                        std::int64_t tokens,
                        CreditAge age) {
  Account& entry = Touch(account);
  (age == CreditAge::kRecent ? entry.returned_recent : entry.returned_old) +=
      tokens;
  if (MutantEnabled("refund_after_expiry_credited"))
    entry.balance += tokens;
}

std::optional<std::int64_t> GrantTaker::ceiling(
    const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? std::nullopt : it->second.ceiling;
}

MonoTime GrantTaker::dry_until(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? MonoTime::min() : it->second.dry_until;
}

wire::BudgetRequest GrantTaker::MakeRequest(
    MonoTime now,
    const std::vector<GrantNeed>& needs) {
  Expire(now);
  wire::BudgetRequest request;
  request.set_taker(name_);
  *request.mutable_dealer() = ToWire(dealer_);
  request.set_sequence(++sequence_);
  request.set_acknowledged(acknowledged_);
  request.set_holds_tokens(total_balance_ > 0);
  for (const GrantNeed& it : needs)
    AddAsk(Touch(it.account), it, request);
  for (Account* it : unreported_) {
    if (it->asked_in != sequence_)
      AddAsk(*it, GrantNeed{}, request);
  }
  awaited_ = sequence_;
  sent_at_ = now;
  return request;
}

bool GrantTaker::OnReply(MonoTime now,
                         const wire::BudgetReply& reply,
                         MonoTime least_lease_end) {
  Expire(now);
  if (awaited_ == 0 || reply.sequence() != awaited_ ||
      FromWire(reply.dealer()) != dealer_)
    return false;
  const MonoTime until =
      sent_at_ + Duration(static_cast<std::int64_t>(reply.lease_ns()));
  if (now >= until || until < least_lease_end)
    return false;
  acknowledged_ = std::exchange(awaited_, 0);
  lease_until_ = std::max(lease_until_, until);
  std::erase_if(unreported_, [this](Account* it) {
    if (it->asked_in == acknowledged_ && !it->changed)
      return true;
    return false;
  });
  for (const wire::BudgetGrant& it : reply.grants())
    TakeGrant(now, it);
  return true;
}

GrantTaker::Account& GrantTaker::Touch(const AccountId& account) {
  Account& entry = accounts_[account];
  if (entry.id.empty())
    entry.id = account;
  const bool listed = entry.changed || entry.asked_in > acknowledged_;
  if (!listed)
    unreported_.push_back(&entry);
  entry.changed = true;
  return entry;
}

void GrantTaker::AddAsk(Account& account,
                        const GrantNeed& need,
                        wire::BudgetRequest& request) {
  account.asked_in = sequence_;
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

void GrantTaker::TakeGrant(MonoTime now, const wire::BudgetGrant& grant) {
  const auto it = accounts_.find(AccountId(grant.account()));
  if (it == accounts_.end() || grant.granted() < 0)
    return;
  Account& entry = it->second;
  entry.balance += grant.granted();
  total_balance_ += grant.granted();
  entry.ceiling = std::nullopt;
  if (grant.has_ceiling())
    entry.ceiling = grant.ceiling();
  entry.dry_until = MonoTime::min();
  if (grant.dry())
    entry.dry_until = now + std::chrono::milliseconds(grant.retry_after_ms());
}

}  // namespace mangoport
