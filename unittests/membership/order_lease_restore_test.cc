// The order lease when its store is restored from an older copy. In each test
// the store of the first timeline is restored in the second one.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

#include <criterion/criterion.h>

#include "mangoport/membership/order_lease.h"
#include "unittests/membership/lease_store.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
/// Minimum time between orders of two hosts.
constexpr Duration kMinOrderGap = seconds(3);

/// A store that never was restored, in a timeline that a store may have after
/// restores.
LeaseStore MakeStore() {
  LeaseStore out;
  out.end.timeline = 1;
  return out;
}

/// Runs `host` until it may send an order and returns when that is.
BootTime FirstOrder(OrderLease& host, LeaseStore& store, BootTime from) {
  BootTime now = from;
  while (now < from + seconds(30)) {
    RunSteps(host, store, now);
    if (host.MayOrder(now))
      return now;
    now += kStep;
  }
  return now;
}

/// A store in which `host` may send orders at the returned time.
BootTime MakeHolder(OrderLease& host, LeaseStore& store) {
  return FirstOrder(host, store, kStart);
}

/// Runs `host` until it renews the lease and returns when that is.
BootTime NextRenewal(OrderLease& host, LeaseStore& store, BootTime from) {
  const StorePosition end = store.end;
  BootTime now = from;
  while (store.end == end && now < from + seconds(5)) {
    now += kStep;
    RunSteps(host, store, now);
  }
  return now;
}

/// The copy shows `old_holder`, which has lost the lease to `holder` since.
struct TakenOver {
  LeaseStore store = MakeStore();
  LeaseStore copy;
  OrderLease old_holder = MakeHost("b");
  OrderLease holder = MakeHost("a");
  BootTime now = MakeHolder(old_holder, store);

  TakenOver() {
    copy = store;
    now = FirstOrder(holder, store, now);
    old_holder.OnHolderUpdate(now, HostId("a"), holder.record()->term);
  }
};

Test(order_lease_restore, old_record_that_is_back_does_not_make_a_holder) {
  TakenOver it;
  it.store.Restore(it.copy);
  const BootTime seen = it.now + seconds(2);
  const BootTime first = FirstOrder(it.old_holder, it.store, seen);
  cr_assert_geq((first - seen).count(),
                (OrderLeaseSettings().validity + kMinOrderGap).count());
}

Test(order_lease_restore, terms_are_not_given_out_again) {
  TakenOver it;
  const std::uint64_t lost = it.holder.record()->term;
  it.store.Restore(it.copy);
  const BootTime first = FirstOrder(it.old_holder, it.store, it.now);
  cr_assert_gt(it.old_holder.MayOrder(first).value_or(0), lost);
}

Test(order_lease_restore,
     empty_topic_does_not_mean_that_nobody_held_the_lease) {
  LeaseStore store = MakeStore();
  const LeaseStore copy = store;
  OrderLease a = MakeHost("a");
  const BootTime held = MakeHolder(a, store);
  store.Restore(copy);
  // This host has started since and knows of no earlier timeline.
  OrderLease b = MakeHost("b");
  const BootTime first = FirstOrder(b, store, held);
  cr_assert_geq((first - held).count(),
                (OrderLeaseSettings().validity + kMinOrderGap).count());
}

Test(order_lease_restore, released_record_that_is_back_is_not_claimed_at_once) {
  LeaseStore store = MakeStore();
  OrderLease a = MakeHost("a");
  const BootTime held = MakeHolder(a, store);
  const auto release = a.Release(held);
  cr_assert(release && store.Append(*release));
  const LeaseStore copy = store;
  OrderLease b = MakeHost("b");
  const BootTime now = FirstOrder(b, store, held);
  store.Restore(copy);
  OrderLease c = MakeHost("c");
  RunSteps(c, store, now);
  cr_assert_not(c.holds(now));
}

Test(order_lease_restore, resigned_term_that_is_back_is_not_claimed_at_once) {
  TakenOver it;
  it.store.Restore(it.copy);
  OrderLease c = MakeHost("c");
  const std::uint64_t old_term = it.copy.record->term;
  c.OnHolderResigned(it.now, HostId("b"), old_term, it.now - seconds(5));
  RunSteps(c, it.store, it.now);
  cr_assert_not(c.holds(it.now));
}

Test(order_lease_restore, own_record_of_an_earlier_run_is_not_claimed_at_once) {
  TakenOver it;
  it.store.Restore(it.copy);
  OrderLease restarted = MakeHost("b", 2);
  RunSteps(restarted, it.store, it.now);
  cr_assert_not(restarted.holds(it.now));
}

Test(order_lease_restore, end_that_matches_by_chance_does_not_renew_the_lease) {
  LeaseStore store = MakeStore();
  OrderLease a = MakeHost("a");
  const BootTime held = MakeHolder(a, store);
  store.Restore(store);
  const BootTime renewed = held + seconds(2);
  const OrderLeaseStep renewal = a.Next(renewed);
  cr_assert_eq(renewal.kind, OrderLeaseStep::Kind::kWrite);
  cr_assert(store.Append(renewal));
  a.OnWritten(renewed, store.end);
  cr_assert_not(a.holds(renewed + seconds(1)));
}

Test(order_lease_restore, write_that_is_carried_out_late_does_not_renew) {
  LeaseStore store = MakeStore();
  OrderLease a = MakeHost("a");
  const BootTime held = MakeHolder(a, store);
  const BootTime renewed = held + milliseconds(1100);
  const OrderLeaseStep renewal = a.Next(renewed);
  cr_assert_eq(renewal.kind, OrderLeaseStep::Kind::kWrite);
  a.OnWriteUnknown(renewed);
  store.Restore(store);
  cr_assert(store.Append(renewal));
  a.OnRead(renewed + seconds(1), store.record, store.end);
  cr_assert_not(a.holds(held + milliseconds(2600)));
}

// Otherwise nobody sends orders for six seconds after each restore.
Test(order_lease_restore, valid_holder_keeps_the_lease_under_a_higher_term) {
  LeaseStore store = MakeStore();
  const LeaseStore copy = store;
  OrderLease a = MakeHost("a");
  const BootTime held = MakeHolder(a, store);
  const std::uint64_t term = a.record()->term;
  store.Restore(copy);
  BootTime now = held;
  for (; now < held + seconds(4); now += kStep) {
    RunSteps(a, store, now);
    cr_assert(a.MayOrder(now));
  }
  cr_assert_gt(a.MayOrder(now - kStep).value_or(0), term);
}

// Its renewal failed while the store was away, and it resigned before the
// retry.
Test(order_lease_restore, valid_holder_does_not_wait_for_its_next_retry) {
  LeaseStore store = MakeStore();
  OrderLease a = MakeHost("a");
  const BootTime held = NextRenewal(a, store, MakeHolder(a, store));
  const BootTime renewed = held + milliseconds(1050);
  cr_assert_eq(a.Next(renewed).kind, OrderLeaseStep::Kind::kWrite);
  a.OnWriteUnknown(renewed);
  store.Restore(store);
  const BootTime seen = renewed + milliseconds(100);
  a.OnTimeline(store.end.timeline, seen);
  RunSteps(a, store, seen);
  cr_assert(a.MayOrder(held + milliseconds(2600)));
}

Test(order_lease_restore, holder_that_does_not_know_stops_before_others_begin) {
  LeaseStore store = MakeStore();
  const LeaseStore copy = store;
  OrderLease a = MakeHost("a");
  BootTime last_order = MakeHolder(a, store);
  store.Restore(copy);
  // Its calls are lost from now on.
  const BootTime restored = last_order;
  for (BootTime now = restored; now < restored + seconds(5); now += kStep) {
    if (a.MayOrder(now))
      last_order = now;
  }
  OrderLease b = MakeHost("b");
  const BootTime first = FirstOrder(b, store, restored);
  cr_assert_geq((first - last_order).count(), kMinOrderGap.count());
}

Test(order_lease_restore, takeover_waits_again_after_a_second_restore) {
  LeaseStore store = MakeStore();
  const LeaseStore copy = store;
  std::set<std::uint64_t> terms;
  BootTime now = kStart;
  for (const char* name : {"a", "b", "c"}) {
    OrderLease host = MakeHost(name);
    const BootTime first = FirstOrder(host, store, now);
    cr_assert_geq((first - now).count(), kMinOrderGap.count());
    cr_assert(terms.insert(host.MayOrder(first).value_or(0)).second);
    now = first;
    store.Restore(copy);
  }
}

Test(order_lease_restore, late_release_of_an_earlier_timeline_frees_nothing) {
  LeaseStore store = MakeStore();
  const LeaseStore copy = store;
  OrderLease a = MakeHost("a");
  const BootTime held = MakeHolder(a, store);
  const auto release = a.Release(held);
  cr_assert(release.has_value());
  store.Restore(copy);
  store.end.offset = release->expected_end.offset;
  cr_assert(store.Append(*release));
  OrderLease b = MakeHost("b");
  RunSteps(b, store, held);
  cr_assert_not(b.holds(held));
}

Test(order_lease_restore, takeover_takes_no_longer_than_its_waits) {
  TakenOver it;
  it.store.Restore(it.copy);
  OrderLease c = MakeHost("c");
  const BootTime first = FirstOrder(c, it.store, it.now);
  const OrderLeaseSettings waits;
  const Duration orders_arrive = waits.resign_after + waits.order_transit;
  const Duration limit =
      std::max(waits.validity + waits.takeover_margin, orders_arrive) +
      waits.settle + 2 * kStep;
  cr_assert_leq((first - it.now).count(), limit.count());
}

}  // namespace
}  // namespace mangoport
