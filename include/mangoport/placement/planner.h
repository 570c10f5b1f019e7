#ifndef MANGOPORT_PLACEMENT_PLANNER_H_
#define MANGOPORT_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/finding.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/placement/engine_ledger.h"

namespace mangoport {

/// Demand for an adapter.
struct AdapterDemand {
  AdapterId adapter;
  std::uint64_t size_mb = 0;
  double tokens_per_second = 0;
};

/// A model to serve and its current demand.
struct ModelDemand {
  ModelId model;
  /// The configured version.
  std::string version;
  std::uint64_t size_mb = 0;
  double tokens_per_second = 0;
  /// True if this availability zone must keep the model reachable. Every model
  /// has at least one such zone.
  bool keep_reachable = true;
  std::vector<AdapterDemand> adapters;
};

struct PlannerConfig {
  /// Tokens per second that one engine produces with a full batch.
  double engine_tokens_per_second = 2000;
  /// Load above which an engine's models get further copies, as a fraction of
  /// an engine's rate.
  double high_water = 0.8;
  /// Minimum load difference between two engines that justifies a copy, as a
  /// fraction of an engine's rate.
  double min_load_difference = 0.15;
  /// Maximum load of each remaining copy after an eviction, as a fraction of an
  /// engine's rate.
  double low_water = 0.3;
  /// A model is not loaded or unloaded again within this time, unless it has no
  /// copy.
  Duration cooldown = std::chrono::seconds(30);
  std::size_t max_adapter_orders = 16;
};

/// Input of a planning run.
struct PlannerInput {
  const EngineLedger& ledger;
  const std::vector<ModelDemand>& models;
  /// Engines with fresh reports, and the items in those reports. Only these
  /// engines get orders, and only these items count as confirmed copies.
  const std::map<ServerId, const std::vector<PlacedItem>*>& reports;
  /// Engines that have not timed out. Models held by those without a fresh
  /// report are not loaded elsewhere, but their copies do not count when
  /// another copy is considered for eviction.
  const std::set<ServerId>& active_engines;
  /// When each model was last loaded or unloaded anywhere.
  const std::map<ModelId, MonoTime>& model_changed_at;
  /// Model loads that the weight store's rate allows now.
  std::size_t loads_allowed = 0;
  /// Further adapter loads that may be put in flight.
  std::size_t adapter_loads_allowed = 0;
};

struct PlannedOrder {
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  PlacedItem item;
  /// See `RecordedOrder::covered_elsewhere`.
  bool covered_elsewhere = false;
  /// For the audit trail.
  std::string reason;
};

/// Decides which orders to send now. Pure: the same input gives the same plan.
///
/// Models without a copy come first, then new versions, then further copies of
/// models on overloaded engines. A surplus copy is unloaded only when its
/// memory is needed, so that it can serve demand that returns.
std::vector<PlannedOrder> PlanPlacement(MonoTime now,
                                        const PlannerInput& input,
                                        const PlannerConfig& config);

/// Checks that one copy of every model fits on the engines of one zone at the
/// same time. Places models by best fit, the largest first, and returns a
/// finding for each model that does not fit. A model has to fit in one zone
/// only.
Findings CheckMinimumPlacement(const std::vector<ModelDemand>& models,
                               const std::vector<EngineSpec>& engines);

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_PLANNER_H_
