#include "mangoport/routing/retry_budget.h"

#include <algorithm>

#include "mangoport/core/mutant.h"

namespace mangoport {

RetryBudget::RetryBudget(RetryBudgetSettings settings) : settings_(settings) {
  host_.credit = settings_.host_reserve;
}

void RetryBudget::Fill(Bucket& bucket,
                       MonoTime now,
                       double rate,
                       double reserve) {
  const double seconds =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  // The first call only records the time.
  if (seconds > 0 && bucket.filled_at != MonoTime())
    bucket.credit = std::min(reserve, bucket.credit + rate * seconds);
  bucket.filled_at = std::max(bucket.filled_at, now);
}

RetryBudget::Bucket& RetryBudget::AccountBucket(MonoTime now,
                                                const AccountId& account) {
  const auto [it, added] = accounts_.try_emplace(account);
  if (added)
    it->second.credit = settings_.account_reserve;
  Fill(it->second, now, settings_.account_refill, settings_.account_reserve);
  return it->second;
}

void RetryBudget::OnRequest(MonoTime now, const AccountId& account) {
  Bucket& account_bucket = AccountBucket(now, account);
  account_bucket.credit = std::min(
      settings_.account_reserve, account_bucket.credit + settings_.per_request);
  host_.credit =
      std::min(settings_.host_reserve, host_.credit + settings_.per_request);
}

bool RetryBudget::TryTake(MonoTime now, const AccountId& account) {
  Bucket& account_bucket = AccountBucket(now, account);
  Fill(host_, now, settings_.host_refill, settings_.host_reserve);
  const bool enough = account_bucket.credit >= 1 && host_.credit >= 1;
  if (!enough && !MutantEnabled("retry_budget_ignored")) {
    ++refused_;
    return false;
  }
  account_bucket.credit -= 1;
  host_.credit -= 1;
  ++taken_;
  return true;
}

}  // namespace mangoport
