#include "mangoport/placement/copy_planner.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/placement/order_book.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};

EngineCapacity Capacity(std::size_t models) {
  EngineCapacity out;
  out.batch_size = 10;
  out.weights_mb = 200;
  out.adapter_slots = 2;
  out.store_loads_per_second = 100;
  for (std::size_t i = 0; i < models; ++i) {
    ModelSpec model;
    model.model = ModelId("m" + std::to_string(i));
    model.weights_mb = 90;
    out.models.push_back(model);
  }
  return out;
}

PlannedEngine Engine(const char* id, const std::vector<const char*>& models) {
  PlannedEngine out;
  out.entry.id = ServerId(id);
  out.entry.service = ServiceId("s");
  for (const char* it : models)
    out.entry.models.push_back(
        {.model = ModelId(it), .weights_version = 1, .adapters = {}});
  return out;
}

CopyDemand Running(double n) {
  CopyDemand out;
  out.running = n;
  return out;
}

Test(copy_planner, a_model_without_a_copy_is_loaded_where_there_is_room) {
  CopyPlanner planner;
  const auto orders =
      planner.Plan(kStart, Capacity(3),
                   {Engine("a", {"m0", "m1"}), Engine("b", {"m0"})}, {});
  cr_assert(orders.empty(), "a new holder waits for the store's rate");
  const auto later =
      planner.Plan(kStart + seconds(5), Capacity(3),
                   {Engine("a", {"m0", "m1"}), Engine("b", {"m0"})}, {});
  cr_assert_eq(later.size(), 1);
  cr_assert_eq(later[0].engine.value(), "b");
  cr_assert_eq(later[0].model.value(), "m2");
}

// Engines register one after the other: a new holder once dropped the busiest
// model's copies for models whose engines it had not heard of yet.
Test(copy_planner, an_incomplete_list_drops_no_copy) {
  CopyPlanner planner;
  std::vector<PlannedEngine> engines = {Engine("a", {"m0", "m1"}),
                                        Engine("b", {"m0", "m2"})};
  planner.Plan(kStart, Capacity(4), engines, {});
  cr_assert(
      planner.Plan(kStart + seconds(2), Capacity(4), engines, {}).empty());
  engines.push_back(Engine("c", {"m3"}));
  cr_assert(
      planner.Plan(kStart + seconds(3), Capacity(4), engines, {}).empty());
}

Test(copy_planner, a_model_nobody_asks_for_takes_no_room_from_a_busy_one) {
  CopyPlanner planner;
  const std::vector<PlannedEngine> engines = {Engine("a", {"m0", "m1"}),
                                              Engine("b", {"m0", "m2"})};
  const std::map<ModelId, CopyDemand> demand = {{ModelId("m0"), Running(16)}};
  planner.Plan(kStart, Capacity(4), engines, demand);
  cr_assert(
      planner.Plan(kStart + seconds(9), Capacity(4), engines, demand).empty());
}

Test(copy_planner, no_last_copy_makes_room) {
  CopyPlanner planner;
  const std::vector<PlannedEngine> engines = {Engine("a", {"m0", "m1"})};
  planner.Plan(kStart, Capacity(3), engines, {});
  cr_assert(
      planner.Plan(kStart + seconds(9), Capacity(3), engines, {}).empty());
}

Test(copy_planner, a_busy_model_takes_the_place_of_an_idle_second_copy) {
  CopyPlanner planner;
  const std::vector<PlannedEngine> engines = {Engine("a", {"m0", "m1"}),
                                              Engine("b", {"m1", "m2"})};
  const std::map<ModelId, CopyDemand> demand = {{ModelId("m0"), Running(9)}};
  planner.Plan(kStart, Capacity(3), engines, demand);
  const auto orders =
      planner.Plan(kStart + seconds(5), Capacity(3), engines, demand);
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind, PlacementOrderKind::kUnloadModel);
  cr_assert_eq(orders[0].engine.value(), "b");
  cr_assert_eq(orders[0].model.value(), "m1");
}

// Callers of a model without a copy were refused at once, so that nothing ever
// waited for it: 1,139 requests in fourteen seconds were refused.
Test(copy_planner, a_model_whose_callers_are_all_refused_is_wanted) {
  CopyPlanner planner;
  const std::vector<PlannedEngine> engines = {Engine("a", {"m0", "m1"}),
                                              Engine("b", {"m0", "m1"})};
  std::map<ModelId, CopyDemand> demand = {{ModelId("m0"), Running(9)},
                                          {ModelId("m1"), Running(9)}};
  CopyDemand refused;
  refused.arrivals_per_second = 40;
  demand[ModelId("m2")] = refused;
  const auto orders = planner.Plan(kStart, Capacity(3), engines, demand);
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind, PlacementOrderKind::kUnloadModel);
}

// While one engine made room for a model, others made room for it too: four
// copies of the busiest model went within a second.
Test(copy_planner, room_is_made_once_and_kept_for_its_model) {
  CopyPlanner planner;
  const std::vector<PlannedEngine> before = {Engine("a", {"m0", "m1"}),
                                             Engine("b", {"m0", "m1"}),
                                             Engine("c", {"m0", "m1"})};
  CopyDemand waiting;
  waiting.waiting = 3;
  const std::map<ModelId, CopyDemand> demand = {{ModelId("m2"), waiting}};
  planner.Plan(kStart - seconds(3), Capacity(3), before, {});
  const auto first = planner.Plan(kStart, Capacity(3), before, demand);
  cr_assert_eq(first.size(), 1);
  cr_assert_eq(first[0].kind, PlacementOrderKind::kUnloadModel);
  std::vector<PlannedEngine> during = before;
  for (PlannedEngine& it : during) {
    if (it.entry.id != first[0].engine)
      continue;
    it.busy = true;
    it.pending_kind = PlacementOrderKind::kUnloadModel;
    it.pending_model = first[0].model;
  }
  cr_assert(
      planner.Plan(kStart + milliseconds(250), Capacity(3), during, demand)
          .empty());
  std::vector<PlannedEngine> after = before;
  for (PlannedEngine& it : after) {
    if (it.entry.id == first[0].engine)
      std::erase_if(it.entry.models, [&](const ResidentModel& held) {
        return held.model == first[0].model;
      });
  }
  const auto second =
      planner.Plan(kStart + milliseconds(500), Capacity(3), after, demand);
  cr_assert_eq(second.size(), 1);
  cr_assert_eq(second[0].engine.value(), first[0].engine.value());
  cr_assert_eq(second[0].model.value(), "m2");
}

// Engines come back empty after a crash and take one order at a time, while
// models without a copy wait: a busy model's copy was dropped for one of them
// although an empty engine had room a moment later.
Test(copy_planner, a_missing_model_waits_for_room_that_comes_soon) {
  CopyPlanner planner;
  PlannedEngine loading = Engine("c", {});
  loading.busy = true;
  loading.pending_kind = PlacementOrderKind::kLoadModel;
  loading.pending_model = ModelId("m0");
  const std::vector<PlannedEngine> engines = {
      Engine("a", {"m0", "m1"}), Engine("b", {"m0", "m2"}), loading};
  std::map<ModelId, CopyDemand> demand = {{ModelId("m0"), Running(18)}};
  demand[ModelId("m3")].waiting = 1;
  planner.Plan(kStart, Capacity(4), engines, demand);
  cr_assert(
      planner.Plan(kStart + seconds(1), Capacity(4), engines, demand).empty());
  std::vector<PlannedEngine> loaded = engines;
  loaded[2] = Engine("c", {"m0"});
  const auto orders =
      planner.Plan(kStart + seconds(2), Capacity(4), loaded, demand);
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind, PlacementOrderKind::kLoadModel);
  cr_assert_eq(orders[0].engine.value(), "c");
  cr_assert_eq(orders[0].model.value(), "m3");
}

// Demand jumps to another model: it ran three requests for each place of its
// copies for eight seconds, since it got one copy in four.
Test(copy_planner, an_overloaded_model_gets_copies_without_a_pause) {
  CopyPlanner planner;
  std::vector<PlannedEngine> engines = {
      Engine("a", {"m0", "m1"}), Engine("b", {"m2"}), Engine("c", {"m2"})};
  const std::map<ModelId, CopyDemand> demand = {{ModelId("m0"), Running(50)}};
  planner.Plan(kStart, Capacity(3), engines, demand);
  const auto first =
      planner.Plan(kStart + seconds(5), Capacity(3), engines, demand);
  cr_assert_eq(first.size(), 1);
  engines[1] = Engine("b", {"m2", "m0"});
  const auto second =
      planner.Plan(kStart + milliseconds(5900), Capacity(3), engines, demand);
  cr_assert_eq(second.size(), 1);
  cr_assert_eq(second[0].kind, PlacementOrderKind::kLoadModel);
  cr_assert_eq(second[0].engine.value(), "c");
}

// Two copies of a model that has some work stood beside one copy of a model
// with five times as much.
Test(copy_planner, a_copy_goes_where_it_carries_much_more) {
  CopyPlanner planner;
  const std::vector<PlannedEngine> engines = {Engine("a", {"m0", "m1"}),
                                              Engine("b", {"m2", "m1"})};
  std::map<ModelId, CopyDemand> demand = {{ModelId("m0"), Running(30)}};
  demand[ModelId("m1")] = Running(6);
  demand[ModelId("m2")] = Running(1);
  planner.Plan(kStart, Capacity(3), engines, demand);
  const auto orders =
      planner.Plan(kStart + seconds(5), Capacity(3), engines, demand);
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind, PlacementOrderKind::kUnloadModel);
  cr_assert_eq(orders[0].engine.value(), "b");
  cr_assert_eq(orders[0].model.value(), "m1");
  demand[ModelId("m0")] = Running(12);
  CopyPlanner calm;
  calm.Plan(kStart, Capacity(3), engines, demand);
  cr_assert(
      calm.Plan(kStart + seconds(5), Capacity(3), engines, demand).empty());
}

Test(copy_planner, loads_from_the_store_keep_to_its_rate) {
  CopyPlanner planner;
  EngineCapacity capacity = Capacity(40);
  capacity.store_loads_per_second = 2;
  std::vector<PlannedEngine> engines;
  for (int i = 0; i < 30; ++i)
    engines.push_back(Engine(("e" + std::to_string(i)).c_str(), {}));
  std::size_t loads = 0;
  planner.Plan(kStart - seconds(9), capacity, engines, {});
  for (int i = 0; i < 20; ++i)
    loads += planner.Plan(kStart + i * milliseconds(250), capacity, engines, {})
                 .size();
  // Five seconds at two a second and a burst.
  cr_assert_leq(loads, 14);
}

Test(copy_planner, an_adapter_that_is_waited_for_takes_an_idle_ones_place) {
  CopyPlanner planner;
  EngineCapacity capacity = Capacity(1);
  capacity.models[0].adapter_count = 3;
  PlannedEngine engine = Engine("a", {"m0"});
  engine.entry.models[0].adapters = {AdapterId("a1"), AdapterId("a2")};
  CopyDemand waiting;
  waiting.waiting = 1;
  const auto orders = planner.Plan(
      kStart, capacity, {engine},
      {{ModelId("m0/a3"), waiting}, {ModelId("m0/a1"), Running(3)}});
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind, PlacementOrderKind::kUnloadAdapter);
  cr_assert_eq(orders[0].adapter.value(), "a2");
}

/// An order book with one engine whose count of orders is known.
class BookFixture {
 public:
  BookFixture() {
    engine_ = Engine("a", {"m0"}).entry;
    book_.SetServers(kStart, {{engine_.id, engine_}});
    cr_assert_eq(book_.DueReports(kStart).size(), 1);
    Report(kStart, 4);
  }

  void Report(MonoTime now, std::uint64_t orders) {
    CallReply<EngineReport> reply;
    reply.status = CallStatus::kOk;
    reply.value.orders_accepted = orders;
    reply.value.models = engine_.models;
    book_.OnReport(now, engine_.id, reply);
  }

  void Plan(MonoTime now) {
    CopyOrder order;
    order.engine = engine_.id;
    order.kind = PlacementOrderKind::kLoadModel;
    order.model = ModelId("m1");
    book_.Begin(now, order, seconds(2));
  }

  EngineOrder Begin(MonoTime now) {
    Plan(now);
    const auto due = book_.DueOrders(now);
    cr_assert_eq(due.size(), 1);
    return due[0];
  }

  void Answer(MonoTime now, CallStatus status, EngineOrderAnswer answer) {
    CallReply<EngineOrderAnswer> reply;
    reply.status = status;
    reply.value = answer;
    book_.OnAnswer(now, engine_.id, reply);
  }

  bool busy(MonoTime now) const {
    return book_.Engines(now, ServiceId("s")).front().busy;
  }

  OrderBook book_;
  ServerEntry engine_;
};

// The list's figure counts heartbeats: every order once named a wrong count.
Test(order_book, an_order_names_the_count_of_the_engines_report) {
  BookFixture it;
  cr_assert_eq(it.Begin(kStart).expected_orders, 4);
}

Test(order_book, no_order_before_the_engine_has_been_asked) {
  OrderBook book;
  const ServerEntry engine = Engine("a", {"m0"}).entry;
  book.SetServers(kStart, {{engine.id, engine}});
  cr_assert(book.Engines(kStart, ServiceId("s")).front().busy);
}

Test(order_book, an_order_without_an_answer_is_repeated_as_it_was) {
  BookFixture it;
  const EngineOrder first = it.Begin(kStart);
  it.Answer(kStart + seconds(1), CallStatus::kUnknown, {});
  cr_assert(it.busy(kStart + seconds(1)));
  const auto again = it.book_.DueOrders(kStart + seconds(2));
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0].expected_orders, first.expected_orders);
  cr_assert_eq(again[0].model.value(), first.model.value());
}

Test(order_book, an_order_carried_out_late_is_seen_by_the_count) {
  BookFixture it;
  it.Begin(kStart);
  it.Answer(kStart + seconds(1), CallStatus::kUnknown, {});
  it.engine_.models.push_back(
      {.model = ModelId("m1"), .weights_version = 1, .adapters = {}});
  it.Report(kStart + seconds(6), 5);
  it.Report(kStart + seconds(7), 5);
  cr_assert_not(it.busy(kStart + seconds(7)));
  const auto changes = it.book_.RecentChanges(kStart + seconds(7));
  cr_assert_eq(changes.size(), 1);
  cr_assert_eq(changes[0].item.value(), "m1");
}

// A holder that took over ordered a load onto an engine whose last load, given
// by the holder before, had just ended and stood in no entry yet.
Test(order_book, weights_are_ordered_on_a_fresh_report_only) {
  BookFixture it;
  const MonoTime later = kStart + seconds(2);
  it.Plan(later);
  cr_assert(it.book_.DueOrders(later).empty());
  cr_assert_eq(it.book_.DueReports(later).size(), 1);
  it.engine_.models.push_back(
      {.model = ModelId("m9"), .weights_version = 1, .adapters = {}});
  it.Report(later, 4);
  cr_assert(it.book_.DueOrders(later).empty());
  cr_assert_not(it.busy(later));
  it.Plan(later);
  cr_assert_eq(it.book_.DueOrders(later).size(), 1);
}

Test(order_book, an_engine_at_work_for_another_holder_is_left_alone) {
  BookFixture it;
  CallReply<EngineReport> reply;
  reply.status = CallStatus::kOk;
  reply.value.orders_accepted = 4;
  reply.value.busy = true;
  it.book_.OnReport(kStart, it.engine_.id, reply);
  cr_assert(it.busy(kStart));
  cr_assert_eq(it.book_.DueReports(kStart + seconds(1)).size(), 1);
  it.Report(kStart + seconds(1), 4);
  cr_assert_not(it.busy(kStart + seconds(1)));
}

Test(order_book, an_accepted_load_is_believed_over_an_older_entry) {
  BookFixture it;
  it.Begin(kStart);
  it.Answer(kStart, CallStatus::kOk, EngineOrderAnswer::kAlreadyDone);
  const ServerEntry old = Engine("a", {"m0"}).entry;
  it.book_.SetServers(kStart + seconds(1), {{old.id, old}});
  const auto models = it.book_.Engines(kStart + seconds(1), ServiceId("s"))
                          .front()
                          .entry.models;
  cr_assert_eq(models.size(), 2);
}

}  // namespace
}  // namespace mangoport
