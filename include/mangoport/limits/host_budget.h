#ifndef MANGOPORT_LIMITS_HOST_BUDGET_H_
#define MANGOPORT_LIMITS_HOST_BUDGET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/limits.pb.h"
#include "mangoport/limits/account_limit.h"
#include "mangoport/limits/grantee_session.h"

namespace mangoport {

/// A request to spend tokens: the length of its prompt plus the maximum number
/// of generated tokens.
struct SpendRequest {
  AccountId account;
  std::int64_t tokens = 0;
  MonoTime arrived_at;
  /// True from the second attempt of the same request on.
  bool retried = false;
};

enum class SpendVerdict {
  kAdmitted,
  /// Tokens may become available before `BudgetSettings::max_wait` has elapsed.
  /// Try again after the next reply of the allocator, or soon.
  kWait,
  kRefused,
  /// The request exceeds the account's burst, so it can never be admitted.
  kTooLarge,
  kUnknownAccount,
};

/// Receipt for a charge. Pass it to `HostBudget::Refund` to return unused
/// tokens.
struct SpendReceipt {
  AccountId account;
  std::int64_t tokens = 0;
  MonoTime charged_at;
  /// The earliest lease end of the grants that the charge was made from.
  MonoTime valid_until;
};

/// Returns whether a charged request may still be dispatched. Read `now` from
/// the clock right before the dispatch: if the process was suspended since the
/// charge, the grant may have expired and the request must be charged again.
bool MayDispatch(const SpendReceipt& receipt, MonoTime now);

struct SpendDecision {
  SpendVerdict verdict = SpendVerdict::kRefused;
  /// Valid with `kAdmitted`.
  SpendReceipt receipt;
  /// With `kRefused`: the time until the account may have tokens again.
  Duration retry_after{0};
};

/// The token budgets of one entry host. Spends granted tokens and requests
/// more.
class HostBudget {
 public:
  /// `name` identifies one run of this process.
  HostBudget(std::string name, const BudgetSettings& settings);

  /// Sets the limits of all accounts. Accounts that are left out become
  /// unknown.
  void SetLimits(const std::vector<AccountLimit>& limits);

  /// Sets the allocator to request tokens from: the allocator of the zone, or
  /// the allocator of the shared pool while the zone has none. Tokens granted
  /// by the previous allocator can be spent until their lease ends.
  void SetAllocator(MonoTime now, const AllocatorId& allocator);

  /// Charges `request` to the balance of its account if that is sufficient.
  SpendDecision TrySpend(MonoTime now, const SpendRequest& request);

  /// Returns the unused part of a charge to the allocator. Only the first call
  /// for a receipt has an effect. The tokens are never added to this host's own
  /// balance: only the allocator knows whether the pool had free capacity for
  /// them throughout. Charges older than `BudgetSettings::old_refund_age` are
  /// not refunded.
  void Refund(MonoTime now, SpendReceipt& receipt, std::int64_t unused);

  /// Returns the next request to the allocator, if one is due.
  std::optional<wire::BudgetRequest> MakeRequest(MonoTime now);
  /// Applies a reply. Returns false if it is not the reply to the latest
  /// request or if its lease has expired.
  bool OnReply(MonoTime now, const wire::BudgetReply& reply);

  /// The time of the last reply of the current allocator. Absent before the
  /// first one.
  std::optional<MonoTime> last_reply() const { return last_reply_; }
  /// Tokens of `account` that this host can spend at `now`.
  std::int64_t balance(MonoTime now, const AccountId& account) const;

 private:
  struct Demand {
    AccountLimit limit;
    /// Exponentially decaying average of the tokens that requests ask for.
    double tokens_per_second = 0;
    MonoTime updated_at = MonoTime::min();
    /// Tokens that requests have waited for since the last request to the
    /// allocator, and the smallest of these needs.
    std::int64_t waiting = 0;
    std::int64_t waiting_smallest = 0;
    /// True if the account is in `active_accounts_`.
    bool active = false;
  };

  void CheckLowBalance(MonoTime now, const Demand& demand);
  void RecordDemand(MonoTime now, Demand& demand, std::int64_t tokens);
  void RecordWaiting(Demand& demand, std::int64_t tokens);
  double DemandAt(MonoTime now, const Demand& demand) const;
  bool SpendFromSessions(MonoTime now,
                         const SpendRequest& request,
                         SpendReceipt& receipt);
  SpendDecision Decline(MonoTime now,
                        const SpendRequest& request,
                        Demand& demand);
  std::vector<GrantNeed> Needs(MonoTime now);
  GrantNeed NeedFor(MonoTime now, Demand& demand);

  std::string name_;
  BudgetSettings settings_;
  std::unordered_map<AccountId, Demand> demands_;
  /// Accounts with recent demand or waiting requests.
  std::vector<AccountId> active_accounts_;
  std::optional<GranteeSession> current_;
  /// The session with the previous allocator, until its lease ends.
  std::optional<GranteeSession> draining_;
  std::uint64_t session_count_ = 0;
  std::optional<MonoTime> last_reply_;
  MonoTime next_report_at_ = MonoTime::min();
  bool has_waiting_ = false;
  bool balance_is_low_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_HOST_BUDGET_H_
