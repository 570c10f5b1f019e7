#ifndef MANGOPORT_ROUTING_RETRY_BUDGET_H_
#define MANGOPORT_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// How much work beyond the first attempts a host may cause.
struct RetryBudgetSettings {
  /// Extra attempts earned by each request.
  double per_request = 0.2;
  /// The most that a client account, and the host, can have saved up.
  double account_reserve = 20;
  double host_reserve = 100;
  /// Earned per second without any request, up to the reserve.
  double account_refill = 0.5;
  double host_refill = 2;
};

/// Bounds retries and hedges, for each client account and over this host, so
/// that a failing fleet is not also drowned in repeats. Not synchronised.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings);
  RetryBudget() : RetryBudget(RetryBudgetSettings{}) {}

  /// Earns for a new request.
  void OnRequest(MonoTime now, const AccountId& account);

  /// Spends one extra attempt; false if either budget is empty.
  bool TryTake(MonoTime now, const AccountId& account);

  std::uint64_t taken() const { return taken_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Bucket {
    double saved = 0;
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
