#include <chrono>

#include <criterion/criterion.h>

#include "mangoport/limits/budget_dealer.h"
#include "mangoport/limits/holder_lease.h"
#include "mangoport/limits/host_budget.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AccountLimit kLimit = {AccountId("gallery"), 100, 1000};
const DealerId kDealer = {StreamId("budget.a"), {3, 0}};
constexpr MonoTime kStart{seconds(500)};

wire::BudgetRecord Claim(const char* holder, std::uint64_t nonce) {
  wire::BudgetRecord record;
  record.set_kind(wire::BudgetRecord::CLAIM);
  record.set_holder(holder);
  record.set_nonce(nonce);
  return record;
}

Test(budget_fold, of_two_claims_on_one_basis_the_first_wins) {
  BudgetFold fold;
  cr_assert(fold.Apply({0, 0}, Claim("a", 1)));
  cr_assert_not(fold.Apply({0, 1}, Claim("b", 1)));
  cr_assert_eq(fold.holder(), "a");
  cr_assert(fold.inheritance().fresh);
}

Test(budget_fold, a_late_renewal_of_a_superseded_holder_is_void) {
  BudgetFold fold;
  fold.Apply({0, 0}, Claim("a", 1));
  wire::BudgetRecord next = Claim("b", 1);
  *next.mutable_basis() = ToWire(LogPosition{0, 0});
  cr_assert(fold.Apply({1, 0}, next));
  wire::BudgetRecord late;
  late.set_kind(wire::BudgetRecord::RENEWAL);
  late.set_holder("a");
  late.set_nonce(2);
  *late.mutable_basis() = ToWire(LogPosition{0, 0});
  cr_assert_not(fold.Apply({2, 0}, late));
  cr_assert_eq(fold.holder(), "b");
  cr_assert_not(fold.inheritance().fresh);
}

/// Grants `host` what it asked for.
void Exchange(MonoTime now, HostBudget& host, BudgetDealer& dealer) {
  const auto request = host.MakeRequest(now);
  cr_assert(request.has_value());
  const auto reply = dealer.OnRequest(now, *request);
  cr_assert(reply.has_value());
  cr_assert(host.OnReply(now, *reply));
}

struct Pair {
  Pair() : dealer("d", {}, BudgetSettings{}.host_grant_lease), host("h", {}) {
    dealer.SetLimits(kStart, {kLimit});
    dealer.StartEpoch(kStart, kDealer, {.fresh = true, .reserves = {}});
    dealer.SetHeldUntil(kStart + seconds(60));
    host.SetLimits({kLimit});
    host.SetDealer(kStart, kDealer);
  }

  BudgetDealer dealer;
  HostBudget host;
};

Test(host_budget, a_request_waits_for_a_grant_and_is_then_admitted) {
  Pair pair;
  SpendRequest request = {kLimit.account, 300, kStart, false};
  cr_assert_eq(pair.host.TrySpend(kStart, request).verdict,
               SpendVerdict::kWait);
  Exchange(kStart, pair.host, pair.dealer);
  request.retried = true;
  const SpendDecision decision = pair.host.TrySpend(kStart, request);
  cr_assert_eq(decision.verdict, SpendVerdict::kAdmitted);
  cr_assert(MayDispatch(decision.receipt, kStart + seconds(2)));
  cr_assert_not(MayDispatch(decision.receipt, kStart + seconds(3)));
}

Test(host_budget, more_than_the_burst_is_refused_for_good) {
  Pair pair;
  const SpendRequest request = {kLimit.account, 1001, kStart, false};
  cr_assert_eq(pair.host.TrySpend(kStart, request).verdict,
               SpendVerdict::kTooLarge);
}

Test(budget_dealer, a_silent_taker_counts_as_having_spent) {
  Pair pair;
  pair.host.TrySpend(kStart, {kLimit.account, 300, kStart, false});
  Exchange(kStart, pair.host, pair.dealer);
  cr_assert_geq(pair.dealer.dealt(kLimit.account), 300);
  const std::int64_t dealt = pair.dealer.dealt(kLimit.account);
  const std::int64_t free = pair.dealer.free(kStart, kLimit.account);
  pair.dealer.Tick(kStart + milliseconds(3100));
  cr_assert_eq(pair.dealer.dealt(kLimit.account), 0);
  // Three seconds' refill found no more room than was there.
  cr_assert_leq(pair.dealer.free(kStart, kLimit.account), free + dealt);
}

Test(budget_dealer, deals_nothing_after_its_lease) {
  Pair pair;
  pair.host.TrySpend(kStart, {kLimit.account, 300, kStart, false});
  const auto request = pair.host.MakeRequest(kStart);
  cr_assert_not(
      pair.dealer.OnRequest(kStart + seconds(60), *request).has_value());
}

Test(token_pool, a_refund_is_lost_if_the_pool_was_full_since_the_charge) {
  const BudgetSettings settings;
  TokenPool pool(kStart, kLimit, settings, kLimit.burst_tokens, 0);
  for (int i = 1; i <= 40; ++i)
    pool.Accrue(kStart + seconds(i), settings.max_clock_drift);
  pool.Charge(500);
  cr_assert_eq(pool.Credit(500, CreditAge::kRecent), 0);
}

}  // namespace
}  // namespace mangoport
