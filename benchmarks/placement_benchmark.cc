// DEPENDS: placement
// Measures the cost of planning and of the ledger by number of engines and
// models.
#include <map>
#include <set>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/lease.pb.h"
#include "mangoport/placement/placement_records.h"
#include "mangoport/placement/planner.h"

namespace mangoport {
namespace {

constexpr std::uint64_t kModelMb = 20;

/// A zone in which each engine holds three models. The demand for a model is
/// inversely proportional to its rank.
struct Zone {
  Zone(int engine_count, int model_count) {
    const LogPosition epoch{0, 0};
    wire::LeaseClaim claim;
    claim.set_resource(kPlacementLease);
    Apply(wire::RECORD_KIND_LEASE_CLAIM, claim.SerializeAsString());
    for (int i = 0; i < model_count; ++i) {
      ModelDemand model;
      model.model = ModelId("model-" + std::to_string(i));
      model.version = "1";
      model.size_mb = kModelMb;
      model.tokens_per_second = 300.0 * engine_count / (i + 1.0);
      models.push_back(model);
    }
    for (int i = 0; i < engine_count; ++i) {
      EngineSpec spec{
          ServerId("engine-" + std::to_string(i)), 100, 10, true, {}};
      for (int k = 0; k < 3; ++k) {
        const ModelDemand& model =
            models[static_cast<std::size_t>((3 * i + k) % model_count)];
        spec.preloaded.push_back(
            {model.model, model.version, AdapterId(), model.size_mb});
      }
      Apply(wire::RECORD_KIND_ENGINE_SPEC, EncodeSpec(epoch, spec));
    }
    for (const auto& [id, entry] : ledger.engines())
      reports[id] = &entry.held;
  }

  void Apply(wire::RecordKind kind, std::string body) {
    ledger.Apply(MonoTime(), {offset++, 0}, writer.Wrap(kind, std::move(body)));
  }

  std::uint64_t offset = 0;
  RecordWriter writer{WriterId("a")};
  EngineLedger ledger;
  std::vector<ModelDemand> models;
  std::map<ServerId, const std::vector<PlacedItem>*> reports;
};

void BmPlan(benchmark::State& state) {
  const Zone zone(static_cast<int>(state.range(0)),
                  static_cast<int>(state.range(1)));
  const std::set<ServerId> active_engines;
  const std::map<ModelId, MonoTime> model_changed_at;
  const PlannerInput input{.ledger = zone.ledger,
                           .models = zone.models,
                           .reports = zone.reports,
                           .active_engines = active_engines,
                           .model_changed_at = model_changed_at,
                           .loads_allowed = 2};
  std::size_t orders = 0;
  for (auto it : state) {
    const std::vector<PlannedOrder> plan =
        PlanPlacement(MonoTime(), input, PlannerConfig());
    orders += plan.size();
    benchmark::DoNotOptimize(plan.data());
  }
  state.counters["orders_per_plan"] = benchmark::Counter(
      static_cast<double>(orders), benchmark::Counter::kAvgIterations);
}
BENCHMARK(BmPlan)
    ->Args({12, 20})
    ->Args({100, 200})
    ->Args({667, 1100})
    ->Args({10000, 1100})
    ->Unit(benchmark::kMicrosecond);

/// Returns the bytes that the entries of the ledger take.
std::size_t BytesOf(const EngineLedger& ledger) {
  /// Approximate overhead of one map node.
  constexpr std::size_t kMapNodeBytes = 48;
  std::size_t bytes = 0;
  for (const auto& [id, entry] : ledger.engines()) {
    bytes += kMapNodeBytes + sizeof(id) + sizeof(entry);
    bytes += entry.held.capacity() * sizeof(PlacedItem);
    bytes += entry.spec.preloaded.capacity() * sizeof(PlacedItem);
    bytes += entry.orders.capacity() * sizeof(RecordedOrder);
  }
  return bytes;
}

/// Folds an order, its outcome and the checkpoint that removes it.
void BmFoldOrder(benchmark::State& state) {
  Zone zone(static_cast<int>(state.range(0)), 100);
  const LogPosition epoch{0, 0};
  const ServerId engine("engine-0");
  const std::vector<PlacedItem> held = zone.ledger.Find(engine)->held;
  for (auto it : state) {
    RecordedOrder order;
    order.epoch = epoch;
    order.engine = engine;
    order.item = {ModelId("other"), "1", AdapterId(), kModelMb};
    const LogPosition position{zone.offset, 0};
    zone.Apply(wire::RECORD_KIND_ENGINE_ORDER, EncodeOrder(order));
    const LogPosition outcome{zone.offset, 0};
    zone.Apply(
        wire::RECORD_KIND_ENGINE_OUTCOME,
        EncodeOutcome(epoch, position, wire::PLACEMENT_OUTCOME_KIND_FAILED));
    zone.Apply(wire::RECORD_KIND_ENGINE_CHECKPOINT,
               EncodeCheckpoint({epoch, engine, outcome, position, held}));
  }
  if (zone.ledger.rejected_records() > 0)
    state.SkipWithError("a record was rejected");
  state.counters["bytes_per_engine"] =
      static_cast<double>(BytesOf(zone.ledger)) /
      static_cast<double>(state.range(0));
}
BENCHMARK(BmFoldOrder)->Arg(12)->Arg(667)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
