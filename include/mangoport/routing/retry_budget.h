#ifndef MANGOPORT_ROUTING_RETRY_BUDGET_H_
#define MANGOPORT_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// Limits on the attempts that a host may start beyond first attempts.
struct RetryBudgetSettings {
  /// Extra attempts credited per request.
  double per_request = 0.2;
  /// Maximum credit of a client account and of the host.
  double account_reserve = 20;
  double host_reserve = 100;
  /// Credit per second, independent of requests, up to the reserve.
  double account_refill = 0.5;
  double host_refill = 2;
};

/// Limits retries and hedges, per client account and for this host, so that
/// they do not overload a fleet that is already failing. Not synchronised.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings);
  RetryBudget() : RetryBudget(RetryBudgetSettings{}) {}

  /// Credits both budgets for a new request.
  void OnRequest(MonoTime now, const AccountId& account);

  /// Charges one extra attempt; false if either budget is exhausted.
  bool TryTake(MonoTime now, const AccountId& account);

  std::uint64_t taken() const { return taken_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Bucket {
    double credit = 0;
    MonoTime filled_at;
  };

  static void Fill(Bucket& bucket, MonoTime now, double rate, double reserve);
  Bucket& AccountBucket(MonoTime now, const AccountId& account);

  RetryBudgetSettings settings_;
  Bucket host_;
  std::unordered_map<AccountId, Bucket> accounts_;
  std::uint64_t taken_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_RETRY_BUDGET_H_
