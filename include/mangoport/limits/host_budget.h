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
#include "mangoport/limits/grant_taker.h"

namespace mangoport {

/// A request's wish to spend tokens: its prompt and the most that it may
/// generate.
struct SpendRequest {
  AccountId account;
  std::int64_t tokens = 0;
  MonoTime arrived;
  /// True from the second try of the same request on.
  bool retried = false;
};

enum class SpendVerdict {
  kAdmitted,
  /// Tokens have been asked for: try again after the next reply, or soon.
  kWait,
  kRefused,
  /// More than the account's burst, so it can never be admitted.
  kTooLarge,
  kUnknownAccount,
};

/// Proof of a charge. Give it back with what was not used.
struct SpendReceipt {
  AccountId account;
  std::int64_t tokens = 0;
  MonoTime charged_at;
  /// When the first of the grants behind the charge ends.
  MonoTime valid_until;
};

/// Whether a charged request may still be dispatched. `now` is read anew right
/// before the dispatch: a process that was frozen since must charge again.
bool MayDispatch(const SpendReceipt& receipt, MonoTime now);

struct SpendDecision {
  SpendVerdict verdict = SpendVerdict::kRefused;
  /// Valid with `kAdmitted`.
  SpendReceipt receipt;
  /// With `kRefused`: when the account may have tokens again.
  Duration retry_after{0};
};

/// One entry host's token budgets: spends what dealers granted, asks for more.
class HostBudget {
 public:
  /// `name` names one run of this process.
  HostBudget(std::string name, const BudgetSettings& settings);

  void SetLimits(const std::vector<AccountLimit>& limits);

  /// Names the dealer to ask: the zone's, or while that is missing the shared
  /// pool's. What an earlier one granted is spent until its lease ends.
  void SetDealer(MonoTime now, const DealerId& dealer);

  SpendDecision TrySpend(MonoTime now, const SpendRequest& request);

  /// Returns the unused part of a charge to the dealer, once. It is never added
  /// to this host's own balance: only the dealer knows whether the pool has had
  /// room for it ever since. Charges older than
  /// `BudgetSettings::old_refund_age` stay spent.
  void Refund(MonoTime now, SpendReceipt& receipt, std::int64_t unused);

  /// The next request to the dealer, when one is due.
  std::optional<wire::BudgetRequest> MakeRequest(MonoTime now);
  bool OnReply(MonoTime now, const wire::BudgetReply& reply);

  /// The last time at which the present dealer answered; none at first.
  std::optional<MonoTime> last_reply() const { return last_reply_; }
  std::int64_t balance(MonoTime now, const AccountId& account) const;

 private:
  struct Demand {
    AccountLimit limit;
    /// Tokens asked for by requests, with exponentially falling weight.
    double tokens_per_second = 0;
    MonoTime updated = MonoTime::min();
    std::int64_t waiting = 0;
    std::int64_t waiting_smallest = 0;
    bool active = false;
  };

  void NoteLow(MonoTime now, const Demand& demand);
  void NoteDemand(MonoTime now, Demand& demand, std::int64_t tokens);
  void NoteWaiting(Demand& demand, std::int64_t tokens);
  double DemandAt(MonoTime now, const Demand& demand) const;
  bool SpendFrom(MonoTime now,
                 const SpendRequest& request,
                 SpendReceipt& receipt);
  SpendDecision Decline(MonoTime now,
                        const SpendRequest& request,
                        Demand& demand);
  std::vector<GrantNeed> Needs(MonoTime now);
  GrantNeed NeedOf(MonoTime now, Demand& demand);

  std::string name_;
  BudgetSettings settings_;
  std::unordered_map<AccountId, Demand> demands_;
  std::vector<AccountId> active_;
  std::optional<GrantTaker> current_;
  std::optional<GrantTaker> draining_;
  std::uint64_t session_ = 0;
  std::optional<MonoTime> last_reply_;
  MonoTime report_at_ = MonoTime::min();
  bool has_waiting_ = false;
  bool runs_low_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_HOST_BUDGET_H_
