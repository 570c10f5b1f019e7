#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/edge/demand_table.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
const HostId kHost("h1");
const ModelId kModel("m1");
constexpr std::uint64_t kStarted = 7;

ModelUse Use(std::uint64_t arrivals, std::uint32_t waiting) {
  return {
      .model = kModel, .arrivals = arrivals, .running = 0, .waiting = waiting};
}

// A host that is gone, or cut off, asks for nothing any more.
Test(demand_table, demand_of_a_silent_host_is_dropped) {
  DemandTable table;
  table.Set(kStart, kHost, kStarted, {Use(10, 2)});
  cr_assert_eq(table.Sum(kStart + seconds(4)).at(kModel).waiting, 2);
  cr_assert_eq(table.Sum(kStart + seconds(6)).count(kModel), 0);
}

// At 295 hosts a round takes 3.7 s. One lost datagram made all models of its
// sender look idle.
Test(demand_table, demand_in_a_large_fleet_outlasts_a_lost_report) {
  DemandTable table;
  table.set_round(milliseconds(3700));
  table.Set(kStart, kHost, kStarted, {Use(10, 2)});
  cr_assert_eq(table.Sum(kStart + milliseconds(7400)).count(kModel), 1);
  cr_assert_eq(table.Sum(kStart + milliseconds(11'200)).count(kModel), 0);
}

// A host that restarts reports only the models that it was asked for since.
Test(demand_table, demand_from_before_a_restart_is_dropped) {
  DemandTable table;
  const ModelId other("m2");
  const std::vector<ModelUse> uses{
      {.model = other, .arrivals = 1, .running = 0, .waiting = 0}};
  table.Set(kStart, kHost, kStarted, {Use(10, 2)});
  table.Set(kStart + seconds(1), kHost, kStarted + 1, uses);
  const auto& sum = table.Sum(kStart + seconds(1));
  cr_assert_eq(sum.count(kModel), 0);
  cr_assert_eq(sum.count(other), 1);
}

// The counters of the new start may have passed those of the old one.
Test(demand_table, arrivals_since_a_restart_count_from_zero) {
  DemandTable table;
  table.Set(kStart, kHost, kStarted, {Use(10, 0)});
  table.Set(kStart + seconds(4), kHost, kStarted + 1, {Use(40, 0)});
  cr_assert_gt(table.Sum(kStart + seconds(4)).at(kModel).arrivals_per_second,
               9);
}

// In a large fleet a host is heard every few seconds. Arrivals that ended count
// for as short a time there as in a small fleet.
Test(demand_table, arrivals_fade_with_time_and_not_with_messages) {
  DemandTable table;
  table.Set(kStart, kHost, kStarted, {Use(0, 0)});
  table.Set(kStart + seconds(4), kHost, kStarted, {Use(40, 0)});
  cr_assert_gt(table.Sum(kStart + seconds(4)).at(kModel).arrivals_per_second,
               9);
  table.Set(kStart + seconds(8), kHost, kStarted, {Use(40, 0)});
  cr_assert_lt(table.Sum(kStart + seconds(8)).at(kModel).arrivals_per_second,
               0.5);
}

// Two reports that wait in the socket are read at one time. No rate can be
// formed between them, so their arrivals count with the next report.
Test(demand_table, arrivals_of_reports_read_at_one_time_count_later) {
  DemandTable table;
  const MonoTime at = kStart + milliseconds(200);
  table.Set(kStart, kHost, kStarted, {Use(0, 0)});
  table.Set(at, kHost, kStarted, {Use(0, 0)});
  table.Set(at, kHost, kStarted, {Use(10, 3)});
  cr_assert_eq(table.Sum(at).at(kModel).waiting, 3);
  table.Set(at + seconds(1), kHost, kStarted, {Use(10, 0)});
  cr_assert_gt(table.Sum(at + seconds(1)).at(kModel).arrivals_per_second, 6);
}

// A host that restarts counts from zero; its arrivals must not look like a
// burst, nor count below zero.
Test(demand_table, a_restarted_host_counts_anew) {
  DemandTable table;
  table.Set(kStart, kHost, kStarted, {Use(1000, 0)});
  table.Set(kStart + milliseconds(200), kHost, kStarted, {Use(1002, 0)});
  const double before =
      table.Sum(kStart + milliseconds(200)).at(kModel).arrivals_per_second;
  table.Set(kStart + milliseconds(400), kHost, kStarted, {Use(1, 0)});
  cr_assert_eq(
      table.Sum(kStart + milliseconds(400)).at(kModel).arrivals_per_second,
      before);
}

// An adapter's demand is its model's as well, and goes with its host.
Test(demand_table, total_of_a_model_follows_its_adapters) {
  DemandTable table;
  const ModelId adapter("m1/a1");
  const auto use = [&](std::uint32_t running) {
    return std::vector<ModelUse>{
        {.model = adapter, .arrivals = 1, .running = running, .waiting = 0}};
  };
  table.Set(kStart, kHost, kStarted, use(3));
  table.Set(kStart, HostId("h2"), kStarted, use(4));
  cr_assert_eq(table.Sum(kStart).at(kModel).running, 7);
  table.Set(kStart + seconds(4), kHost, kStarted, use(1));
  cr_assert_eq(table.Sum(kStart + seconds(4)).at(kModel).running, 5);
  cr_assert_eq(table.Sum(kStart + seconds(6)).at(kModel).running, 1);
  cr_assert(table.Sum(kStart + seconds(10)).empty());
}

/// Least processor time of a sum over `hosts` hosts with the same models.
std::clock_t SumTime(int hosts) {
  DemandTable table;
  std::vector<ModelUse> uses;
  for (int i = 0; i < 200; ++i)
    uses.push_back({.model = ModelId("m" + std::to_string(i)),
                    .arrivals = 1,
                    .running = 1,
                    .waiting = 0});
  for (int i = 0; i < hosts; ++i)
    table.Set(kStart, HostId("h" + std::to_string(i)), kStarted, uses);
  constexpr int kSums = 20;
  std::clock_t least = CLOCKS_PER_SEC;
  for (int i = 0; i < kSums; ++i) {
    const std::clock_t begin = std::clock();
    const auto sums = table.Sum(kStart);
    cr_assert_eq(sums.at(kModel).running, hosts);
    least = std::min(least, std::clock() - begin);
  }
  return least;
}

// At 295 hosts each plan of the host that orders engines took 10 ms of
// processor time for the demand alone, a twelfth of a second on a small
// machine.
Test(demand_table, cost_of_the_sum_does_not_grow_with_the_hosts) {
  const std::clock_t few = std::max<std::clock_t>(SumTime(3), 10);
  const std::clock_t many = SumTime(300);
  cr_assert_lt(many, 10 * few, "%ld and %ld us", few, many);
}

}  // namespace
}  // namespace mangoport
