#include "mangoport/membership/order_lease.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/membership/lease_store.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(order_lease, first_holder_may_order_immediately) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  RunSteps(a, store, kStart);
  cr_assert_eq(a.MayOrder(kStart), 1);
}

Test(order_lease, one_of_two_concurrent_claims_succeeds) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  OrderLease b = MakeHost("b");
  a.OnRead(kStart, store.record, store.end);
  b.OnRead(kStart, store.record, store.end);
  const OrderLeaseStep by_a = a.Next(kStart);
  const OrderLeaseStep by_b = b.Next(kStart);
  cr_assert(store.Append(by_a));
  a.OnWritten(kStart, store.end);
  cr_assert_not(store.Append(by_b));
  b.OnConflict(kStart, store.end.timeline);
  RunSteps(b, store, kStart);
  cr_assert(a.holds(kStart));
  cr_assert_not(b.holds(kStart));
}

Test(order_lease, orders_of_consecutive_holders_are_three_seconds_apart) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  OrderLease b = MakeHost("b");
  RunSteps(a, store, kStart);
  // The holder stops renewing after one second and orders until expiry.
  BootTime last_order = kStart;
  for (BootTime now = kStart; now < kStart + seconds(3);
       now += milliseconds(50)) {
    if (now < kStart + seconds(1))
      RunSteps(a, store, now);
    if (a.MayOrder(now))
      last_order = now;
  }
  std::optional<BootTime> first_of_b;
  for (BootTime now = kStart; now < kStart + seconds(30) && !first_of_b;
       now += milliseconds(50)) {
    RunSteps(b, store, now);
    if (b.MayOrder(now))
      first_of_b = now;
  }
  cr_assert(first_of_b.has_value());
  cr_assert_geq((*first_of_b - last_order).count(),
                Duration(seconds(3)).count());
}

Test(order_lease, holder_that_was_paused_past_expiry_may_not_order) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  RunSteps(a, store, kStart);
  cr_assert(a.MayOrder(kStart + milliseconds(1400)));
  cr_assert_not(a.MayOrder(kStart + milliseconds(1600)));
  cr_assert_not(a.MayOrder(kStart + seconds(3)));
}

Test(order_lease, read_recovers_renewal_whose_response_was_lost) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  RunSteps(a, store, kStart);
  const BootTime later = kStart + milliseconds(1100);
  const OrderLeaseStep renewal = a.Next(later);
  cr_assert_eq(renewal.kind, OrderLeaseStep::Kind::kWrite);
  store.Append(renewal);
  a.OnWriteUnknown(later + milliseconds(900));
  RunSteps(a, store, later + milliseconds(1500));
  cr_assert(a.MayOrder(later + milliseconds(2400)));
}

Test(order_lease, claim_that_is_appended_late_does_not_allow_early_orders) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  OrderLease b = MakeHost("b");
  RunSteps(a, store, kStart);
  b.OnRead(kStart, store.record, store.end);
  const BootTime claimed = kStart + seconds(4);
  const OrderLeaseStep claim = b.Next(claimed);
  cr_assert_eq(claim.kind, OrderLeaseStep::Kind::kWrite);
  b.OnWriteUnknown(claimed + seconds(1));
  store.Append(claim);
  RunSteps(b, store, claimed + seconds(2));
  for (BootTime now = claimed; now < claimed + seconds(3);
       now += milliseconds(100))
    cr_assert_not(b.MayOrder(now));
}

Test(order_lease, restarted_holder_claims_its_lease_immediately) {
  LeaseStore store;
  OrderLease first = MakeHost("a", 1);
  RunSteps(first, store, kStart);
  OrderLease second = MakeHost("a", 2);
  const BootTime restarted = kStart + milliseconds(600);
  RunSteps(second, store, restarted);
  cr_assert_eq(second.MayOrder(restarted), 2);
}

// Regression test (order_lease_soak, seed 2): a host that restarted right after
// taking over sent an order immediately, one second after the previous holder.
Test(order_lease, holder_restarted_before_settling_waits_again) {
  LeaseStore store;
  OrderLease other = MakeHost("b");
  RunSteps(other, store, kStart);
  OrderLease first = MakeHost("a", 1);
  first.OnRead(kStart, store.record, store.end);
  const BootTime claimed = kStart + seconds(4);
  RunSteps(first, store, claimed);
  cr_assert(first.holds(claimed));
  OrderLease second = MakeHost("a", 2);
  RunSteps(second, store, claimed + milliseconds(500));
  cr_assert(second.holds(claimed + milliseconds(500)));
  cr_assert_not(second.MayOrder(claimed + milliseconds(600)));
}

// Regression test (order_lease_soak, seed 5): a holder that resigned before it
// sent an order reported a bound that did not cover the previous holder.
Test(order_lease, last_order_bound_covers_previous_holder) {
  LeaseStore store;
  OrderLease other = MakeHost("b");
  RunSteps(other, store, kStart);
  OrderLease a = MakeHost("a");
  a.OnRead(kStart, store.record, store.end);
  const BootTime claimed = kStart + seconds(4);
  RunSteps(a, store, claimed);
  cr_assert_geq(a.last_order_bound().time_since_epoch().count(),
                claimed.time_since_epoch().count());
}

Test(order_lease, holder_that_cannot_reach_store_resigns) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  OrderLease b = MakeHost("b");
  RunSteps(a, store, kStart);
  const BootTime resigned_at = kStart + milliseconds(1600);
  while (a.resigned_term() == 0) {
    const OrderLeaseStep step = a.Next(resigned_at);
    if (step.kind == OrderLeaseStep::Kind::kWrite)
      a.OnWriteUnknown(resigned_at);
    else if (step.kind == OrderLeaseStep::Kind::kRead)
      a.OnReadFailed(resigned_at);
  }
  cr_assert_not(a.MayOrder(resigned_at));
  b.OnHolderResigned(resigned_at, HostId("a"), 1, kStart + seconds(1));
  RunSteps(b, store, resigned_at);
  cr_assert(b.holds(resigned_at));
  RunSteps(b, store, kStart + milliseconds(4000));
  cr_assert_not(b.MayOrder(kStart + milliseconds(4000)));
  cr_assert(b.MayOrder(kStart + milliseconds(4300)));
}

/// Runs `host` until it may send an order, or for 30 s; returns when that is.
BootTime FirstOrder(OrderLease& host, LeaseStore& store, BootTime from) {
  BootTime now = from;
  while (now < from + seconds(30) && !host.MayOrder(now)) {
    now += milliseconds(50);
    RunSteps(host, store, now);
  }
  return now;
}

/// A sound engine may read nothing for a second or so.
constexpr Duration kSilence = milliseconds(1500);

// An engine that was silent read the last order of a holder a second after it
// was sent, and the next holder's order 2.3 s after that.
Test(order_lease, order_under_way_at_resignation_is_waited_for) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  RunSteps(a, store, kStart);
  const BootTime sent = kStart + seconds(1);
  a.NoteOrder(sent);
  cr_assert(a.last_order_bound() >= sent + kSilence);
  // The holder has given the call up; the engine may still read the order.
  a.NoteOrderEnd(sent + milliseconds(500), sent, /*answered=*/false);
  cr_assert(a.last_order_bound() >= sent + kSilence);
}

// Waiting for orders that have arrived leaves engines without orders for no
// reason.
Test(order_lease, answered_order_has_arrived) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  RunSteps(a, store, kStart);
  const BootTime sent = kStart + seconds(1);
  const BootTime answered = sent + milliseconds(10);
  a.NoteOrder(sent);
  a.NoteOrderEnd(answered, sent, /*answered=*/true);
  cr_assert(a.last_order_bound() == answered);
}

// The same if the holder ended and could report nothing.
Test(order_lease, order_under_way_at_a_crash_is_waited_for) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  OrderLease b = MakeHost("b");
  RunSteps(a, store, kStart);
  RunSteps(b, store, kStart);
  BootTime last_order = kStart;
  for (BootTime now = kStart; now < kStart + seconds(9);
       now += milliseconds(10)) {
    if (a.MayOrder(now))
      last_order = now;
  }
  const BootTime first = FirstOrder(b, store, kStart);
  cr_assert_geq((first - last_order).count(),
                Duration(kSilence + seconds(3)).count());
}

// The same if the holder released the lease because it was stopped.
Test(order_lease, order_under_way_at_a_release_is_waited_for) {
  for (const bool answered : {false, true}) {
    LeaseStore store;
    OrderLease a = MakeHost("a");
    RunSteps(a, store, kStart);
    a.NoteOrder(kStart);
    a.NoteOrderEnd(kStart + milliseconds(10), kStart, answered);
    const BootTime released = kStart + milliseconds(20);
    const auto release = a.Release(released);
    cr_assert(release.has_value());
    cr_assert_eq(release->record.orders_arrived, answered);
    cr_assert(store.Append(*release));
    OrderLease b = MakeHost("b");
    RunSteps(b, store, released);
    const Duration wait = FirstOrder(b, store, released) - released;
    cr_assert_geq(
        wait.count(),
        Duration(answered ? seconds(3) : seconds(3) + kSilence).count());
    cr_assert_leq(
        wait.count(),
        Duration(answered ? milliseconds(3300) : milliseconds(5100)).count());
  }
}

Test(order_lease, released_lease_can_be_claimed_immediately) {
  LeaseStore store;
  OrderLease a = MakeHost("a");
  RunSteps(a, store, kStart);
  const auto release = a.Release(kStart);
  cr_assert(release.has_value());
  cr_assert(store.Append(*release));
  cr_assert_not(a.MayOrder(kStart));
  OrderLease b = MakeHost("b");
  RunSteps(b, store, kStart);
  cr_assert(b.holds(kStart));
  cr_assert_not(b.MayOrder(kStart + seconds(3)));
}

}  // namespace
}  // namespace mangoport
