#ifndef MANGOPORT_PLACEMENT_COPY_PLANNER_H_
#define MANGOPORT_PLACEMENT_COPY_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/engine_calls.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// What all hosts together ask of one model, its adapters among it, or of one
/// adapter.
struct CopyDemand {
  /// Requests at engines and waiting for a copy.
  double running = 0;
  double waiting = 0;
  /// Requests a second of late.
  double arrivals_per_second = 0;
};

/// An engine as the planner sees it.
struct PlannedEngine {
  ServerEntry entry;
  /// An order is under way, or the answer to one is not known.
  bool busy = false;
  /// True if its entry can be relied on: no order is under way whose end is not
  /// known here.
  bool certain = true;
  /// What that order is about, so that it counts as held.
  std::optional<PlacementOrderKind> pending_kind = std::nullopt;
  ModelId pending_model = {};
};

/// An order worth giving now.
struct CopyOrder {
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  ModelId model;
  /// Empty for the model itself.
  AdapterId adapter = {};
  /// True if the weights come from the weight store, whose rate is limited.
  bool from_store = false;
  std::string reason;
};

struct CopyPlannerSettings {
  /// Requests per place in the batch above which a model gets another copy.
  double high_load = 0.45;
  /// A copy may go if the others then carry no more than this.
  double low_load = 0.25;
  /// A model must lack a copy for this long before it gets one unasked: the
  /// list of engines may be incomplete.
  Duration missing_grace = std::chrono::seconds(4);
  /// Room that was made for a model is kept for it for this long.
  Duration reservation = std::chrono::seconds(10);
  /// Requests per place in the batch above which callers wait for places, so
  /// that copies are added one after the other without a cooldown.
  double overload = 1.0;
  /// A copy of a less loaded model goes to one that has this many times its
  /// load, each counted after the change.
  double worthwhile_gain = 2.0;
  /// A model that was loaded is not dropped for this time, and one that was
  /// moved gets no further copy.
  Duration cooldown = std::chrono::seconds(4);
  /// An adapter without a request for this time makes room for others.
  Duration adapter_idle = std::chrono::seconds(5);
  /// The part of the weight store's rate that is used.
  double store_rate_part = 0.85;
  double store_burst = 4;
};

/// Decides which copies of models and adapters the engines of one service
/// hold: every model at least one, busy ones more, all within the engines'
/// memory and the weight store's rate.
///
/// Answers demand that moves to other models within seconds, and rare models
/// that are asked for all at once: a model without a copy comes first, and no
/// last copy is ever dropped for another model's second one.
class CopyPlanner {
 public:
  explicit CopyPlanner(const CopyPlannerSettings& settings)
      : settings_(settings) {}
  CopyPlanner() : CopyPlanner(CopyPlannerSettings{}) {}

  /// The orders to give now, at most one an engine. Each is taken as given:
  /// tell the planner of one that was not carried out by leaving the engine's
  /// entry as it is.
  std::vector<CopyOrder> Plan(MonoTime now,
                              const EngineCapacity& capacity,
                              const std::vector<PlannedEngine>& engines,
                              const std::map<ModelId, CopyDemand>& demand);

  /// Forgets how much of the weight store's rate is left, as a new holder.
  void Restart(MonoTime now);

 private:
  struct Engine {
    const PlannedEngine* source = nullptr;
    std::uint64_t used_mb = 0;
    std::vector<ModelId> models;
    std::optional<ModelId> reserved_for;
    bool taken = false;
  };
  struct Model {
    const ModelSpec* spec = nullptr;
    double load = 0;
    double waiting = 0;
    double arrivals_per_second = 0;
    /// Held, being loaded or about to be.
    std::size_t copies = 0;
    /// Held for certain, and not about to go.
    std::size_t held = 0;
  };
  /// Room that was made on an engine, and for which model.
  struct Reservation {
    ModelId model;
    MonoTime until;
  };
  struct Place {
    Engine* engine = nullptr;
    /// To be dropped first, or none.
    std::optional<ModelId> victim;
    bool from_store = true;
    double cost = 0;
  };

  void Prepare(MonoTime now,
               const EngineCapacity& capacity,
               const std::vector<PlannedEngine>& engines,
               const std::map<ModelId, CopyDemand>& demand);
  void PlanReserved(MonoTime now,
                    const EngineCapacity& capacity,
                    std::vector<CopyOrder>& out);
  void PlanMissing(MonoTime now,
                   const EngineCapacity& capacity,
                   std::vector<CopyOrder>& out);
  void PlanBusy(MonoTime now,
                const EngineCapacity& capacity,
                std::vector<CopyOrder>& out);
  void PlanAdapters(MonoTime now,
                    const EngineCapacity& capacity,
                    const std::map<ModelId, CopyDemand>& demand,
                    std::vector<CopyOrder>& out);
  std::optional<Place> FindPlace(MonoTime now,
                                 const EngineCapacity& capacity,
                                 const ModelId& model,
                                 bool urgent);
  std::optional<ModelId> FindVictim(MonoTime now,
                                    const EngineCapacity& capacity,
                                    const Engine& engine,
                                    const ModelId& model,
                                    bool urgent) const;
  /// Keeps room for the model on an engine that has it once its present order
  /// is done, rather than drop another copy. False if there is none.
  bool AwaitRoom(MonoTime now,
                 const EngineCapacity& capacity,
                 const ModelId& model);
  /// Orders the model's copy to the best place, if there is one.
  void PlanCopy(MonoTime now,
                const EngineCapacity& capacity,
                const ModelId& model,
                bool urgent,
                const std::string& reason,
                std::vector<CopyOrder>& out);
  /// True if the model may get another copy now, as far as time goes.
  bool MayGrow(MonoTime now,
               const EngineCapacity& capacity,
               const ModelId& model) const;
  bool Order(MonoTime now,
             const Place& place,
             const ModelId& model,
             std::string reason,
             std::vector<CopyOrder>& out);
  /// True if callers ask for the model now.
  static bool IsWanted(const Model& model);
  double LoadPerPlace(const Model& model,
                      const EngineCapacity& capacity,
                      std::size_t copies) const;
  void FillStoreBudget(MonoTime now, const EngineCapacity& capacity);

  CopyPlannerSettings settings_;
  std::vector<Engine> engines_;
  std::map<ModelId, Model> models_;
  std::map<ModelId, double> smoothed_;
  std::map<ServerId, Reservation> reservations_;
  std::map<ModelId, MonoTime> loaded_at_;
  std::map<ModelId, MonoTime> dropped_at_;
  std::map<ModelId, MonoTime> missing_since_;
  std::map<ModelId, MonoTime> adapter_used_at_;
  double store_budget_ = 0;
  std::optional<MonoTime> filled_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_COPY_PLANNER_H_
