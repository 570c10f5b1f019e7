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

/// An adapter that requests may ask for.
struct AdapterDemand {
  AdapterId adapter;
  std::uint64_t size_mb = 0;
  double tokens_per_second = 0;
};

/// A model to serve, and what is asked of it now.
struct ModelDemand {
  ModelId model;
  /// The version that the configuration asks for.
  std::string version;
  std::uint64_t size_mb = 0;
  double tokens_per_second = 0;
  /// True if this availability zone is bound to keep the model reachable.
  /// Every model has at least one such zone.
  bool keep_reachable = true;
  std::vector<AdapterDemand> adapters;
};

struct PlannerConfig {
  /// Tokens a second that one engine produces with a full batch.
  double engine_tokens_per_second = 2000;
  /// Share of an engine's rate above which its models get further copies.
  double high_water = 0.6;
  /// Least difference in load between two engines, as a share of an engine's
  /// rate, for which a copy pays.
  double least_gain = 0.15;
  /// Largest share of an engine's rate that the copies left by an eviction
  /// may come to carry each.
  double low_water = 0.3;
  /// A model is not moved again within this time, unless it has no copy.
  Duration cooldown = std::chrono::seconds(30);
  std::size_t max_adapter_orders = 16;
};

/// What a plan starts from.
struct PlannerInput {
  const EngineLedger& ledger;
  const std::vector<ModelDemand>& models;
  /// Engines whose reports are fresh, with what those list. No others get
  /// orders, and no other copies count.
  const std::map<ServerId, const std::vector<PlacedItem>*>& reports;
  /// Engines without a fresh report that are not given up yet: what they hold
  /// is not loaded elsewhere, nor does it secure another copy.
  const std::set<ServerId>& presumed;
  /// When each model was last loaded or unloaded anywhere.
  const std::map<ModelId, MonoTime>& last_moves;
  /// Model loads that the weight store's rate allows now.
  std::size_t loads_allowed = 0;
  /// Adapter loads that may be in flight besides those that are.
  std::size_t adapter_loads_allowed = 0;
};

struct PlannedOrder {
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  PlacedItem item;
  bool covered_elsewhere = false;
  /// For the audit trail.
  std::string reason;
};

/// Decides which orders to give now. Pure: the same input gives the same plan.
///
/// Models without a copy come first, then new versions, then further copies
/// of what runs on overloaded engines. A surplus copy goes only when its room
/// is wanted, so that a demand that comes back finds it.
std::vector<PlannedOrder> PlanPlacement(MonoTime now,
                                        const PlannerInput& input,
                                        const PlannerConfig& config);

/// Checks that one copy of every model fits the engines at once. Models are
/// placed by best fit, the largest first; a finding names each that finds no
/// room. Engines of one zone belong together: a model needs room in one.
Findings CheckPlacementFloor(const std::vector<ModelDemand>& models,
                             const std::vector<EngineSpec>& engines);

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_PLANNER_H_
