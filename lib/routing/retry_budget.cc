#include "mangoport/routing/retry_budget.h"

#include <algorithm>

#include "mangoport/core/mutant.h"

namespace mangoport {

RetryBudget::RetryBudget(RetryBudgetSettings settings) : settings_(settings) {
  host_.saved = settings_.host_reserve;
}

void RetryBudget::Fill(Bucket& bucket,
                       MonoTime now,
                       double rate,
                       double reserve) {
  const double seconds =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  if (seconds > 0 && bucket.filled_at != MonoTime())
    bucket.saved = std::min(reserve, bucket.saved + rate * seconds);
  bucket.filled_at = std::max(bucket.filled_at, now);
}

RetryBudget::Bucket& RetryBudget::AccountBucket(MonoTime now,
                                                const AccountId& account) {
  const auto [it, added] = accounts_.try_emplace(account);
  if (added)
    it->second.saved = settings_.account_reserve;
  Fill(it->second, now, settings_.account_refill, settings_.account_reserve);
  return it->second;
}

void RetryBudget::OnRequest(MonoTime now, const AccountId& account) {
  Bucket& mine = AccountBucket(now, account);
  mine.saved =
      std::min(settings_.account_reserve, mine.saved + settings_.per_request);
  host_.saved =
      std::min(settings_.host_reserve, host_.saved + settings_.per_request);
}

bool RetryBudget::TryTake(MonoTime now, const AccountId& account) {
  Bucket& mine = AccountBucket(now, account);
  Fill(host_, now, settings_.host_refill, settings_.host_reserve);
  const bool enough = mine.saved >= 1 && host_.saved >= 1;
  if (!enough && !MutantEnabled("retry_budget_ignored")) {
    ++refused_;
    return false;
  }
  mine.saved -= 1;
  host_.saved -= 1;
  ++taken_;
  return true;
}

}  // namespace mangoport
