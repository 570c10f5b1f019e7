#ifndef MANGOPORT_LIMITS_GRANT_TAKER_H_
#define MANGOPORT_LIMITS_GRANT_TAKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/log_position.h"
#include "mangoport/core/time.h"
#include "mangoport/limits.pb.h"
#include "mangoport/limits/account_limit.h"
#include "mangoport/limits/token_pool.h"

namespace mangoport {

/// What a taker needs of one account.
struct GrantNeed {
  AccountId account;
  std::int64_t wanted = 0;
  std::int64_t urgent = 0;
  std::int64_t smallest = 0;
  std::int64_t overflow = 0;
};

/// Names a dealer: the holder of a budget stream in one epoch.
struct DealerId {
  StreamId stream;
  LogPosition epoch;

  friend bool operator==(const DealerId&, const DealerId&) = default;
};

/// One taker's side of its session with one dealer: a host's with its zone's
/// dealer, or a zone's with the dealer of the shared pool.
///
/// Every request states all that changed, so a later one makes up for a lost
/// one. Only the reply to the latest request is accepted, so the dealer knows
/// that earlier replies can add nothing any more. One lease covers all
/// balances; it counts from the sending of the request.
class GrantTaker {
 public:
  /// `name` must be used for one session only, ever.
  GrantTaker(std::string name, DealerId dealer)
      : name_(std::move(name)), dealer_(std::move(dealer)) {}

  bool Live(MonoTime now) const;
  MonoTime lease_until() const { return lease_until_; }
  const DealerId& dealer() const { return dealer_; }
  const std::string& name() const { return name_; }

  /// Drops all balances once the lease has passed.
  void Expire(MonoTime now);

  /// Drops all balances and refuses the reply that is under way.
  void DropAll();

  std::int64_t balance(const AccountId& account) const;

  /// Spends at most `tokens` of the balance; returns how many.
  std::int64_t Spend(const AccountId& account, std::int64_t tokens);

  /// Lowers the balance; the dealer has the tokens back with the next request.
  void GiveBack(const AccountId& account, std::int64_t tokens);

  /// Reports tokens of an earlier charge that were not used.
  void Refund(const AccountId& account, std::int64_t tokens, CreditAge age);

  /// The most that the dealer lets this taker keep, if it named a limit.
  std::optional<std::int64_t> ceiling(const AccountId& account) const;

  /// Until when the dealer expects to have nothing, or a time in the past.
  MonoTime dry_until(const AccountId& account) const;

  wire::BudgetRequest MakeRequest(MonoTime now,
                                  const std::vector<GrantNeed>& needs);

  /// Takes the grants of a reply. False if it is not the reply to the latest
  /// request, or if its lease would end before `least_lease_end`.
  bool OnReply(MonoTime now,
               const wire::BudgetReply& reply,
               MonoTime least_lease_end);

  bool awaits_reply() const { return awaited_ != 0; }
  MonoTime sent_at() const { return sent_at_; }

  /// Calls `visit(account, balance)` for each account with a balance.
  template <typename Visit>
  void ForEachBalance(Visit visit) const {
    for (const auto& [id, it] : accounts_) {
      if (it.balance > 0)
        visit(id, it.balance);
    }
  }

 private:
  struct Account {
    AccountId id;
    std::int64_t balance = 0;
    std::int64_t spent = 0;
    std::int64_t returned_recent = 0;
    std::int64_t returned_old = 0;
    std::optional<std::int64_t> ceiling;
    MonoTime dry_until = MonoTime::min();
    std::uint64_t asked_in = 0;
    bool changed = false;
  };

  Account& Touch(const AccountId& account);
  void AddAsk(Account& account,
              const GrantNeed& need,
              wire::BudgetRequest& request);
  void TakeGrant(MonoTime now, const wire::BudgetGrant& grant);

  std::string name_;
  DealerId dealer_;
  MonoTime lease_until_ = MonoTime::min();
  MonoTime sent_at_ = MonoTime::min();
  std::int64_t total_balance_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t awaited_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::unordered_map<AccountId, Account> accounts_;
  /// Accounts of requests without an accepted reply, and changed ones.
  std::vector<Account*> unreported_;
};

wire::BudgetEpoch ToWire(const LogPosition& position);
LogPosition FromWire(const wire::BudgetEpoch& epoch);
wire::BudgetDealerId ToWire(const DealerId& dealer);
DealerId FromWire(const wire::BudgetDealerId& dealer);

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_GRANT_TAKER_H_
