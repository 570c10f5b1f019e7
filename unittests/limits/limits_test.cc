#include <chrono>

#include <criterion/criterion.h>

#include "mangoport/limits/budget_allocator.h"
#include "mangoport/limits/holder_lease.h"
#include "mangoport/limits/host_budget.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AccountLimit kLimit = {AccountId("gallery"), 100, 1000};
const AllocatorId kAllocator = {StreamId("budget.a"), {3, 0}};
constexpr MonoTime kStart{seconds(500)};

wire::BudgetRecord Claim(const char* holder, std::uint64_t nonce) {
  wire::BudgetRecord record;
  record.set_kind(wire::BudgetRecord::CLAIM);
  record.set_holder(holder);
  record.set_nonce(nonce);
  return record;
}

Test(budget_fold, only_first_of_two_claims_with_same_basis_is_valid) {
  BudgetFold fold;
  cr_assert(fold.Apply({0, 0}, Claim("a", 1)));
  cr_assert_not(fold.Apply({0, 1}, Claim("b", 1)));
  cr_assert_eq(fold.holder(), "a");
  cr_assert(fold.inheritance().fresh);
}

Test(budget_fold, renewal_of_superseded_holder_is_invalid) {
  BudgetFold fold;
  fold.Apply({0, 0}, Claim("a", 1));
  wire::BudgetRecord next = Claim("b", 1);
  *next.mutable_basis() = ToWire(LogPosition{0, 0});
  cr_assert(fold.Apply({1, 0}, next));
  wire::BudgetRecord old_renewal;
  old_renewal.set_kind(wire::BudgetRecord::RENEWAL);
  old_renewal.set_holder("a");
  old_renewal.set_nonce(2);
  *old_renewal.mutable_basis() = ToWire(LogPosition{0, 0});
  cr_assert_not(fold.Apply({2, 0}, old_renewal));
  cr_assert_eq(fold.holder(), "b");
  cr_assert_not(fold.inheritance().fresh);
}

/// Sends the next request of `host` to the allocator and applies the reply.
void Exchange(MonoTime now, HostBudget& host, BudgetAllocator& allocator) {
  const auto request = host.MakeRequest(now);
  cr_assert(request.has_value());
  const auto reply = allocator.OnRequest(now, *request);
  cr_assert(reply.has_value());
  cr_assert(host.OnReply(now, *reply));
}

struct AllocatorAndHost {
  AllocatorAndHost()
      : allocator("d", {}, BudgetSettings{}.host_grant_lease), host("h", {}) {
    allocator.SetLimits(kStart, {kLimit});
    allocator.StartEpoch(kStart, kAllocator, {.fresh = true, .reserves = {}});
    allocator.SetHeldUntil(kStart + seconds(60));
    host.SetLimits({kLimit});
    host.SetAllocator(kStart, kAllocator);
  }

  BudgetAllocator allocator;
  HostBudget host;
};

Test(host_budget, request_waits_for_grant_and_is_then_admitted) {
  AllocatorAndHost test;
  SpendRequest request = {kLimit.account, 300, kStart, false};
  cr_assert_eq(test.host.TrySpend(kStart, request).verdict,
               SpendVerdict::kWait);
  Exchange(kStart, test.host, test.allocator);
  request.retried = true;
  const SpendDecision decision = test.host.TrySpend(kStart, request);
  cr_assert_eq(decision.verdict, SpendVerdict::kAdmitted);
  cr_assert(MayDispatch(decision.receipt, kStart + seconds(2)));
  cr_assert_not(MayDispatch(decision.receipt, kStart + seconds(3)));
}

Test(host_budget, request_larger_than_burst_is_too_large) {
  AllocatorAndHost test;
  const SpendRequest request = {kLimit.account, 1001, kStart, false};
  cr_assert_eq(test.host.TrySpend(kStart, request).verdict,
               SpendVerdict::kTooLarge);
}

Test(budget_allocator, expired_grant_counts_as_spent) {
  AllocatorAndHost test;
  test.host.TrySpend(kStart, {kLimit.account, 300, kStart, false});
  Exchange(kStart, test.host, test.allocator);
  cr_assert_geq(test.allocator.allocated(kLimit.account), 300);
  const std::int64_t allocated = test.allocator.allocated(kLimit.account);
  const std::int64_t free = test.allocator.free(kStart, kLimit.account);
  test.allocator.Tick(kStart + milliseconds(3100));
  cr_assert_eq(test.allocator.allocated(kLimit.account), 0);
  // The refill of three seconds is limited by the pool's free capacity.
  cr_assert_leq(test.allocator.free(kStart, kLimit.account), free + allocated);
}

Test(budget_allocator, grants_nothing_after_lease_end) {
  AllocatorAndHost test;
  test.host.TrySpend(kStart, {kLimit.account, 300, kStart, false});
  const auto request = test.host.MakeRequest(kStart);
  cr_assert_not(
      test.allocator.OnRequest(kStart + seconds(60), *request).has_value());
}

Test(token_pool, refund_is_not_credited_if_pool_was_full_within_window) {
  const BudgetSettings settings;
  TokenPool pool(kStart, kLimit, settings, kLimit.burst_tokens, 0);
  for (int i = 1; i <= 40; ++i)
    pool.Accrue(kStart + seconds(i), settings.max_clock_drift);
  pool.Charge(500);
  cr_assert_eq(pool.Credit(500, CreditAge::kRecent), 0);
}

}  // namespace
}  // namespace mangoport
