#ifndef MANGOPORT_LIMITS_GRANTEE_SESSION_H_
#define MANGOPORT_LIMITS_GRANTEE_SESSION_H_

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

/// The tokens that a grantee needs of one account.
struct GrantNeed {
  AccountId account;
  /// Balance to hold for the recent demand.
  std::int64_t wanted = 0;
  /// Tokens that waiting requests need now, and the smallest such request.
  std::int64_t urgent = 0;
  std::int64_t smallest = 0;
  /// Floor refill to forward to the shared pool.
  std::int64_t overflow = 0;
};

/// Identifies an allocator: the holder of a budget stream in one epoch.
struct AllocatorId {
  StreamId stream;
  LogPosition epoch;

  friend bool operator==(const AllocatorId&, const AllocatorId&) = default;
};

/// The grantee's side of a session with one allocator. The grantee is either a
/// host that requests tokens from the allocator of its zone, or a zone that
/// requests them from the allocator of the shared pool.
///
/// Every request reports all unacknowledged changes, so a later request
/// replaces a lost one. Only the reply to the latest request is accepted, so
/// the allocator can assume that earlier replies have no effect. One lease
/// covers all balances; it starts when the request is sent.
class GranteeSession {
 public:
  /// `name` must be unique to this session, across all processes and restarts.
  GranteeSession(std::string name, AllocatorId allocator)
      : name_(std::move(name)), allocator_(std::move(allocator)) {}

  /// True if the lease on the balances has not expired.
  bool Live(MonoTime now) const;
  MonoTime lease_until() const { return lease_until_; }
  const AllocatorId& allocator() const { return allocator_; }
  const std::string& name() const { return name_; }

  /// Drops all balances if the lease has expired.
  void Expire(MonoTime now);

  /// Drops all balances and ignores the reply to the pending request.
  void DropAll();

  std::int64_t balance(const AccountId& account) const;

  /// Spends up to `tokens` of the balance and returns the number spent.
  std::int64_t Spend(const AccountId& account, std::int64_t tokens);

  /// Lowers the balance. The next request returns the tokens to the allocator.
  void ReturnTokens(const AccountId& account, std::int64_t tokens);

  /// Reports unused tokens of an earlier charge with the next request.
  void Refund(const AccountId& account, std::int64_t tokens, CreditAge age);

  /// The maximum balance that the allocator permits, if it set one.
  std::optional<std::int64_t> ceiling(const AccountId& account) const;

  /// The time until which the allocator expects its pool to be exhausted. It
  /// lies in the past if the pool is not exhausted.
  MonoTime exhausted_until(const AccountId& account) const;

  /// Builds a request with `needs` and all unacknowledged changes. Replies to
  /// earlier requests are ignored from then on.
  wire::BudgetRequest MakeRequest(MonoTime now,
                                  const std::vector<GrantNeed>& needs);

  /// Applies the grants of a reply. Returns false if it is not the reply to the
  /// latest request, or if its lease would end before `min_lease_end`.
  bool OnReply(MonoTime now,
               const wire::BudgetReply& reply,
               MonoTime min_lease_end);

  bool awaits_reply() const { return awaited_sequence_ != 0; }
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
    /// Totals since the session started.
    std::int64_t spent = 0;
    std::int64_t returned_recent = 0;
    std::int64_t returned_old = 0;
    std::optional<std::int64_t> ceiling;
    MonoTime exhausted_until = MonoTime::min();
    /// The sequence number of the last request that reported this account.
    std::uint64_t last_request = 0;
    /// True if the account changed after that request.
    bool changed = false;
  };

  /// Returns the entry of `account`, marked to be reported.
  Account& MarkChanged(const AccountId& account);
  void AddAsk(Account& account,
              const GrantNeed& need,
              wire::BudgetRequest& request);
  void ApplyGrant(MonoTime now, const wire::BudgetGrant& grant);

  std::string name_;
  AllocatorId allocator_;
  MonoTime lease_until_ = MonoTime::min();
  MonoTime sent_at_ = MonoTime::min();
  std::int64_t total_balance_ = 0;
  /// Sequence numbers of the last request, of the request whose reply is
  /// awaited (zero if none is), and of the last accepted reply.
  std::uint64_t sequence_ = 0;
  std::uint64_t awaited_sequence_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::unordered_map<AccountId, Account> accounts_;
  /// Accounts that changed, or whose last report has no accepted reply. Points
  /// into `accounts_`, whose entries are never removed.
  std::vector<Account*> unreported_;
};

wire::BudgetEpoch ToWire(const LogPosition& position);
LogPosition FromWire(const wire::BudgetEpoch& epoch);
wire::BudgetDealerId ToWire(const AllocatorId& allocator);
AllocatorId FromWire(const wire::BudgetDealerId& allocator);

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_GRANTEE_SESSION_H_
