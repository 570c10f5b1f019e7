#include <chrono>
#include <map>

#include <criterion/criterion.h>

#include "mangoport/edge/order_service.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
const HostId kHost("h1");
const ModelId kModel("m1");

ModelUse Use(std::uint64_t arrivals, std::uint32_t waiting) {
  return {
      .model = kModel, .arrivals = arrivals, .running = 0, .waiting = waiting};
}

// A host that is gone, or cut off, asks for nothing any more.
Test(demand_table, demand_of_a_silent_host_is_dropped) {
  DemandTable table;
  table.Set(kStart, kHost, {Use(10, 2)});
  cr_assert_eq(table.Sum(kStart + seconds(4))[kModel].waiting, 2);
  cr_assert_eq(table.Sum(kStart + seconds(6)).count(kModel), 0);
}

// In a large fleet a host is heard every few seconds. Arrivals that ended count
// for as short a time there as in a small fleet.
Test(demand_table, arrivals_fade_with_time_and_not_with_messages) {
  DemandTable table;
  table.Set(kStart, kHost, {Use(0, 0)});
  table.Set(kStart + seconds(4), kHost, {Use(40, 0)});
  cr_assert_gt(table.Sum(kStart + seconds(4))[kModel].arrivals_per_second, 9);
  table.Set(kStart + seconds(8), kHost, {Use(40, 0)});
  cr_assert_lt(table.Sum(kStart + seconds(8))[kModel].arrivals_per_second, 0.5);
}

// A host that restarts counts from zero; its arrivals must not look like a
// burst, nor count below zero.
Test(demand_table, a_restarted_host_counts_anew) {
  DemandTable table;
  table.Set(kStart, kHost, {Use(1000, 0)});
  table.Set(kStart + milliseconds(200), kHost, {Use(1002, 0)});
  const double before =
      table.Sum(kStart + milliseconds(200))[kModel].arrivals_per_second;
  table.Set(kStart + milliseconds(400), kHost, {Use(1, 0)});
  cr_assert_eq(
      table.Sum(kStart + milliseconds(400))[kModel].arrivals_per_second,
      before);
}

}  // namespace
}  // namespace mangoport
