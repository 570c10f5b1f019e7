#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/placement.pb.h"
#include "mangoport/placement/placement_controller.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PlacedItem Model(const std::string& name, std::uint64_t size_mb) {
  return {ModelId(name), "1", AdapterId(), size_mb};
}

ModelDemand Demand(const std::string& name, std::uint64_t size_mb) {
  ModelDemand demand;
  demand.model = ModelId(name);
  demand.version = "1";
  demand.size_mb = size_mb;
  return demand;
}

EngineSpec Spec(const std::string& name, bool honours_fencing) {
  return {ServerId(name), 100, 10, honours_fencing, {}};
}

/// One controller with a log that appends and returns every record immediately.
struct Zone {
  explicit Zone(std::vector<EngineSpec> engines)
      : controller(MakeConfig(std::move(engines)), WriterId("a")),
        writer(WriterId("a")) {
    controller.OnReadToEnd(now);
  }

  static PlacementConfig MakeConfig(std::vector<EngineSpec> engines) {
    PlacementConfig config;
    config.lease.resource = kPlacementLease;
    config.engines = std::move(engines);
    return config;
  }

  PlacementActions Step(Duration passed) {
    now += passed;
    PlacementActions actions = controller.Step(now, models);
    for (const PlacementAppend& it : actions.appends)
      Append(writer, it.kind, it.body);
    controller.OnReadToEnd(now);
    return actions;
  }

  void Append(RecordWriter& by, wire::RecordKind kind, std::string body) {
    controller.OnRecord(now, {offset++, 0}, by.Wrap(kind, std::move(body)));
  }

  void Report(const std::string& engine,
              std::vector<PlacedItem> items,
              std::vector<EngineOrderReport> orders = {},
              std::uint64_t highest_epoch = 0) {
    controller.OnReport({ServerId(engine), now, std::move(items),
                         std::move(orders), highest_epoch});
  }

  const EngineLedgerEntry& Entry(const std::string& engine) const {
    return *controller.ledger().Find(ServerId(engine));
  }

  MonoTime now = MonoTime(std::chrono::hours(1));
  std::uint64_t offset = 0;
  PlacementController controller;
  RecordWriter writer;
  std::vector<ModelDemand> models;
};

/// Returns a zone whose controller holds the lease and has recorded its
/// engines.
Zone Started(std::vector<EngineSpec> engines) {
  Zone zone(std::move(engines));
  zone.Step(seconds(0));
  zone.Step(seconds(1));
  return zone;
}

// NOLINTNEXTLINE
Test(placement, order_is_recorded_then_sent_then_confirmed) {
  Zone zone = Started({Spec("e0", true)});
  zone.models = {Demand("alpha", 60)};
  zone.Report("e0", {});
  cr_assert(zone.Step(seconds(2)).sends.empty());
  const PlacementActions second = zone.Step(milliseconds(100));
  cr_assert_eq(second.sends.size(), 1U);
  const RecordedOrder order = second.sends[0].order;
  cr_assert_eq(order.item.model.value(), "alpha");
  cr_assert_eq(EngineLedger::WorstCaseUsage(zone.Entry("e0")).models_mb, 60U);
  cr_assert_not(zone.Entry("e0").Holds(order.item));
  zone.Report("e0", {order.item}, {{order.position, EngineOrderState::kDone}});
  zone.Step(milliseconds(100));
  cr_assert(zone.Entry("e0").Holds(order.item));
}

// NOLINTNEXTLINE
Test(placement, order_is_not_sent_after_its_window) {
  Zone zone = Started({Spec("e0", true)});
  zone.models = {Demand("alpha", 60)};
  zone.Report("e0", {});
  zone.Step(seconds(2));
  cr_assert_eq(zone.Entry("e0").orders.size(), 1U);
  cr_assert(zone.Step(seconds(3)).sends.empty());
  // Its memory stays counted until the end of its lifetime.
  zone.Report("e0", {});
  zone.Step(milliseconds(100));
  cr_assert_eq(zone.Entry("e0").orders.size(), 1U);
  zone.Step(seconds(7));
  zone.Report("e0", {});
  zone.models.clear();
  zone.Step(milliseconds(100));
  cr_assert(zone.Entry("e0").orders.empty());
}

/// Returns the phase of an order in flight after its engine has reported a
/// newer epoch without listing the order.
OrderPhase PhaseAfterNewerEpoch(bool honours_fencing) {
  Zone zone = Started({Spec("e0", honours_fencing)});
  zone.models = {Demand("alpha", 60)};
  zone.Report("e0", {});
  zone.Step(seconds(2));
  const LogPosition epoch = zone.Entry("e0").orders.at(0).epoch;
  zone.now += milliseconds(100);
  zone.Report("e0", {}, {}, FencingNumber(epoch) + 1);
  zone.Step(milliseconds(100));
  return zone.Entry("e0").orders.at(0).phase;
}

// NOLINTNEXTLINE
Test(placement, newer_epoch_fences_order_only_if_engine_honours_fencing) {
  cr_assert(PhaseAfterNewerEpoch(true) == OrderPhase::kFenced);
  cr_assert(PhaseAfterNewerEpoch(false) == OrderPhase::kInFlight);
}

// NOLINTNEXTLINE
Test(placement, report_older_than_latest_record_is_ignored) {
  EngineSpec spec = Spec("e0", true);
  spec.preloaded = {Model("alpha", 60)};
  Zone zone = Started({spec});
  zone.controller.OnReport({ServerId("e0"), zone.now - seconds(5), {}, {}, 0});
  zone.Step(milliseconds(100));
  cr_assert(zone.Entry("e0").Holds(Model("alpha", 60)));
  zone.now += seconds(1);
  zone.Report("e0", {});
  zone.Step(milliseconds(100));
  cr_assert_not(zone.Entry("e0").Holds(Model("alpha", 60)));
}

// NOLINTNEXTLINE
Test(placement,
     orders_that_overcommit_unload_last_copy_or_lack_lease_are_rejected) {
  EngineSpec spec = Spec("e0", true);
  spec.preloaded = {Model("alpha", 60)};
  Zone zone = Started({spec, Spec("e1", true)});
  RecordedOrder order;
  order.engine = ServerId("e0");
  order.item = Model("beta", 31);
  const EngineLedger& ledger = zone.controller.ledger();
  cr_assert_not(ledger.RejectionReason(order).empty());
  order.item.size_mb = 30;
  cr_assert(ledger.RejectionReason(order).empty());
  order.kind = PlacementOrderKind::kUnloadModel;
  order.item = Model("alpha", 60);
  cr_assert_not(ledger.RejectionReason(order).empty());
  RecordWriter other(WriterId("b"));
  const std::uint64_t before = ledger.rejected_records();
  wire::PlacementOrder late;
  late.set_engine("e1");
  late.set_kind(wire::PLACEMENT_ORDER_KIND_LOAD_MODEL);
  zone.Append(other, wire::RECORD_KIND_ENGINE_ORDER, late.SerializeAsString());
  cr_assert_eq(ledger.rejected_records(), before + 1);
}

// NOLINTNEXTLINE
Test(placement, minimum_placement_check_names_model_that_does_not_fit) {
  const std::vector<EngineSpec> engines = {Spec("e0", true), Spec("e1", true)};
  const std::vector<ModelDemand> fits = {Demand("a", 50), Demand("b", 40),
                                         Demand("c", 90)};
  cr_assert(CheckMinimumPlacement(fits, engines).empty());
  std::vector<ModelDemand> over = fits;
  over.push_back(Demand("d", 1));
  const Findings findings = CheckMinimumPlacement(over, engines);
  cr_assert_eq(findings.size(), 1U);
  cr_assert(findings[0].message.find("'d'") != std::string::npos);
}

// NOLINTNEXTLINE
Test(placement, only_model_with_high_load_gets_second_copy) {
  EngineSpec spec = Spec("e0", true);
  spec.preloaded = {Model("alpha", 60)};
  Zone zone = Started({spec, Spec("e1", true)});
  zone.models = {Demand("alpha", 60)};
  zone.Report("e0", {Model("alpha", 60)});
  zone.Report("e1", {});
  cr_assert(zone.Step(seconds(2)).planned.empty());
  zone.models[0].tokens_per_second = 1800;
  zone.Report("e0", {Model("alpha", 60)});
  zone.Report("e1", {});
  const PlacementActions under_load = zone.Step(seconds(1));
  cr_assert_eq(under_load.planned.size(), 1U);
  cr_assert_eq(under_load.planned[0].engine.value(), "e1");
}

}  // namespace
}  // namespace mangoport
