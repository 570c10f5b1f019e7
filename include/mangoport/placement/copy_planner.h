#ifndef MANGOPORT_PLACEMENT_COPY_PLANNER_H_
#define MANGOPORT_PLACEMENT_COPY_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/engine_calls.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// Demand from all hosts for one model, including its adapters, or for one
/// adapter.
struct CopyDemand {
  /// Requests running at engines, and requests waiting for a copy.
  double running = 0;
  double waiting = 0;
  /// Recent arrival rate.
  double arrivals_per_second = 0;
  /// Engine time that the arriving prompts take, per second.
  double work = 0;
};

/// An engine as the planner sees it.
struct PlannedEngine {
  ServerEntry entry;
  /// True while an order is in progress or its answer is unknown.
  bool busy = false;
  /// True if the entry is current: no order of unknown outcome is in progress.
  bool state_known = true;
  /// Kind and model of the order in progress. Unset for an adapter order. A
  /// model being loaded counts as held.
  std::optional<PlacementOrderKind> pending_kind = std::nullopt;
  ModelId pending_model = {};
};

/// An order to send to an engine.
struct CopyOrder {
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  ModelId model;
  /// Empty if the order is for the model itself.
  AdapterId adapter = {};
  /// True if the weights come from the weight store, whose rate is limited.
  bool from_store = false;
  std::string reason;
};

struct CopyPlannerSettings {
  /// Requests per batch slot above which a model gets another copy.
  double high_load = 0.45;
  /// A copy may be unloaded if the load of the remaining copies, in requests
  /// per batch slot, does not exceed this.
  double low_load = 0.25;
  /// A model without requests gets a copy only after it has had no copy for
  /// this long, since the list of engines may be incomplete.
  Duration missing_copy_delay = std::chrono::seconds(4);
  /// Memory freed for a model stays reserved for it for this long.
  Duration reservation_timeout = std::chrono::seconds(10);
  /// Requests per batch slot above which requests queue for slots. Above it,
  /// copies are added one after the other without a cooldown.
  double overload = 1.0;
  /// Above `low_load`, a copy may still be replaced by a copy of a model with
  /// at least this many times its load per slot. Both loads are computed for
  /// the number of copies after the replacement.
  double min_load_ratio = 2.0;
  /// A model is not unloaded within this time after a load, unless a model
  /// with demand has no copy. It gets no further copy within
  /// this time after an unload, nor after a load unless it is overloaded.
  Duration cooldown = std::chrono::seconds(4);
  /// An adapter without requests for this long may be evicted even if no other
  /// engine holds it.
  Duration adapter_idle_timeout = std::chrono::seconds(5);
  /// The last copy of a model without requests for this long may be unloaded,
  /// if the engines cannot hold all models at once.
  Duration model_idle_timeout = std::chrono::seconds(5);
  /// Fraction of the weight store's load rate that the planner uses.
  double store_rate_fraction = 0.85;
  /// Maximum number of unused loads from the weight store that accumulate.
  double store_burst = 4;
};

/// Decides which copies of models and adapters the engines of one service
/// hold. Every model gets at least one copy and models under high load get
/// more, within the engines' memory and the weight store's load rate.
///
/// The planner handles demand that shifts to other models within seconds, and
/// simultaneous requests for many rarely used models: a model without a copy
/// has priority. The last copy of a model is unloaded only where the engines
/// cannot hold all models at once: if nobody has asked for it lately or, where
/// even the models in demand do not fit, because it is another model's turn.
class CopyPlanner {
 public:
  explicit CopyPlanner(const CopyPlannerSettings& settings)
      : settings_(settings) {}
  CopyPlanner() : CopyPlanner(CopyPlannerSettings{}) {}

  /// Returns the orders to send now, at most one per engine. The planner
  /// assumes that each is sent; if one has no effect, the engine's unchanged
  /// entry shows it.
  std::vector<CopyOrder> Plan(MonoTime now,
                              const EngineCapacity& capacity,
                              const std::vector<PlannedEngine>& engines,
                              const std::map<ModelId, CopyDemand>& demand);

  /// Returns the models with demand and no copy for which the last plan found
  /// no engine.
  const std::vector<ModelId>& unplaced() const { return unplaced_; }

  /// Resets the planner for a new lease holder. The weight store budget starts
  /// empty, as the new holder does not know how much of it is left.
  void Restart(MonoTime now);

 private:
  struct Engine {
    const PlannedEngine* source = nullptr;
    std::uint64_t used_mb = 0;
    std::vector<ModelId> models;
    std::optional<ModelId> reserved_for;
    bool has_order = false;
  };
  struct Model {
    const ModelSpec* spec = nullptr;
    /// Smoothed number of running and waiting requests.
    double load = 0;
    /// Running and waiting requests at present.
    double in_progress = 0;
    double waiting = 0;
    double arrivals_per_second = 0;
    /// Smoothed engine time for prompts, per second.
    double work = 0;
    /// Copies that are loaded, being loaded or planned, including reservations.
    std::size_t copies = 0;
    /// Copies known to be loaded and not being unloaded.
    std::size_t held = 0;
  };
  /// Memory of an engine that is reserved for a model.
  struct Reservation {
    ModelId model;
    MonoTime until;
  };
  /// A copy that can be unloaded for another model.
  struct Victim {
    ModelId model;
    /// Load per slot of the remaining copies, or its equivalent if none remain.
    double load = 0;
  };
  /// An engine that can load a model.
  struct LoadTarget {
    Engine* engine = nullptr;
    /// The copy to unload first, if memory is short.
    std::optional<ModelId> victim;
    bool from_store = true;
    /// Relative cost for comparing engines.
    double cost = 0;
  };

  /// An adapter of a model.
  struct Adapter {
    ModelId model;
    AdapterId adapter;
    /// Requests and arrivals, waiting ones with more weight.
    double load = 0;
    /// It has requests, or has had some lately.
    bool in_use = false;
    std::size_t copies = 0;
  };
  /// An engine for a copy of an adapter.
  struct AdapterTarget {
    Engine* engine = nullptr;
    std::size_t slots_used = 0;
    /// Another engine with free slots is busy with an order.
    bool may_have_room = false;
  };

  /// Computes the state of engines and models on which a plan is based.
  void Prepare(MonoTime now,
               const EngineCapacity& capacity,
               const std::vector<PlannedEngine>& engines,
               const std::map<ModelId, CopyDemand>& demand);
  /// Loads models for which memory was reserved and has become free.
  void PlanReserved(MonoTime now,
                    const EngineCapacity& capacity,
                    std::vector<CopyOrder>& out);
  /// Plans copies of models that have none, those with the most demand first.
  void PlanMissing(MonoTime now,
                   const EngineCapacity& capacity,
                   std::vector<CopyOrder>& out);
  /// Plans further copies of models above `high_load`, and of models whose
  /// adapters in use need more slots than the engines with a copy have.
  void PlanHighLoad(MonoTime now,
                    const EngineCapacity& capacity,
                    std::vector<CopyOrder>& out);
  /// Computes the demand and the copies of all adapters.
  void PrepareAdapters(MonoTime now,
                       const std::map<ModelId, CopyDemand>& demand);
  /// Plans loads of adapters that no engine holds, and evictions for those that
  /// find no free slot.
  void PlanMissingAdapters(MonoTime now,
                           const EngineCapacity& capacity,
                           std::vector<CopyOrder>& out);
  /// Plans further copies of adapters with requests, in free slots.
  void PlanFurtherAdapters(const EngineCapacity& capacity,
                           std::vector<CopyOrder>& out);
  /// Returns the wanted adapters; those with the most load per copy come first.
  std::vector<const Adapter*> AdaptersByLoad(
      const std::function<bool(const Adapter&)>& wanted) const;
  /// Returns the engine with the fewest adapters among those that hold the
  /// adapter's model, but not the adapter.
  AdapterTarget FindAdapterTarget(const EngineCapacity& capacity,
                                  const Adapter& adapter) const;
  /// Returns the order to unload the adapter with the least load that is idle
  /// or has another copy, if there is one.
  std::optional<CopyOrder> EvictAdapter(MonoTime now,
                                        const Engine& engine) const;
  static void LoadAdapter(const Adapter& adapter,
                          Engine& engine,
                          std::string reason,
                          std::vector<CopyOrder>& out);
  /// Returns the part of the engine's adapter slots that is in use.
  static double AdapterSlotsUsed(const Engine& engine,
                                 const EngineCapacity& capacity);
  /// Returns the engine with the lowest cost for a new copy of the model.
  /// `urgent` is true if the model has demand and no copy.
  std::optional<LoadTarget> FindTarget(MonoTime now,
                                       const EngineCapacity& capacity,
                                       const ModelId& model,
                                       bool urgent);
  /// Returns the memory of an engine that its adapter slots may take.
  static std::uint64_t AdapterMemory(const EngineCapacity& capacity);
  /// Returns true if `engines` engines can hold a copy of each model.
  static bool FitOnEngines(const EngineCapacity& capacity, std::size_t engines);
  /// Returns true if the last copy of the model may be unloaded for a model
  /// that needs room: one with demand and no copy, or an overloaded one.
  bool MayTakeLastCopy(MonoTime now, const ModelId& model) const;
  /// Returns the time for which a model that was loaded keeps its last copy.
  Duration TurnOf(const Model& model) const;
  /// Returns true if it is the turn of `model`, which has no copy, to take the
  /// place of the last copy of `held`: more requests have come for it than come
  /// for `held` in one turn and are in progress there, which would end.
  bool IsTurnOf(MonoTime now, const ModelId& model, const ModelId& held) const;
  /// Averages the rate of arrivals over about one turn.
  void AverageOverTurn(const ModelId& id,
                       const Model& model,
                       std::chrono::duration<double> passed);
  /// Counts the requests for models without a copy.
  void CountUnserved(MonoTime now);
  /// Returns the copy with the lowest load that can be unloaded from `engine`
  /// to free enough memory for `model`. An urgent request ignores the cooldown
  /// and the load limit.
  std::optional<Victim> FindVictim(MonoTime now,
                                   const EngineCapacity& capacity,
                                   const Engine& engine,
                                   const ModelId& model,
                                   bool urgent) const;
  /// Reserves memory for the model on an engine that has enough free once its
  /// current load completes, instead of evicting another copy. Returns false if
  /// there is no such engine.
  bool ReserveBusyEngine(MonoTime now,
                         const EngineCapacity& capacity,
                         const ModelId& model);
  /// Orders a copy of the model on the best engine. Returns false if there is
  /// no such engine.
  bool PlanCopy(MonoTime now,
                const EngineCapacity& capacity,
                const ModelId& model,
                bool urgent,
                const std::string& reason,
                std::vector<CopyOrder>& out);
  /// Returns true if no cooldown prevents another copy of the model.
  bool MayAddCopy(MonoTime now,
                  const EngineCapacity& capacity,
                  const ModelId& model) const;
  /// Appends the order to load the model, or to unload the victim first.
  /// Returns false if the weight store budget does not allow the load.
  bool AppendOrder(MonoTime now,
                   const LoadTarget& target,
                   const ModelId& model,
                   std::string reason,
                   std::vector<CopyOrder>& out);
  /// Returns true if the time of `id` in `times` is less than `span` ago.
  static bool IsWithin(MonoTime now,
                       const std::map<ModelId, MonoTime>& times,
                       const ModelId& id,
                       Duration span);
  /// Returns true if there are requests, or have been some lately.
  static bool IsInUse(const CopyDemand& demand);
  /// Returns true if requests wait for a copy of the model, or arrive at more
  /// than a minimum rate.
  static bool HasDemand(const Model& model);
  /// Returns the load of each engine if the model had `copies` copies: the
  /// larger of the requests per batch slot and the engine time for prompts.
  double LoadPerSlot(const Model& model,
                     const EngineCapacity& capacity,
                     std::size_t copies) const;
  void RefillStoreBudget(MonoTime now, const EngineCapacity& capacity);

  CopyPlannerSettings settings_;
  std::vector<Engine> engines_;
  std::map<ModelId, Model> models_;
  std::map<ModelId, double> smoothed_load_;
  std::map<ModelId, double> smoothed_work_;
  std::map<ServerId, Reservation> reservations_;
  std::map<ModelId, MonoTime> loaded_at_;
  std::map<ModelId, MonoTime> unloaded_at_;
  std::map<ModelId, MonoTime> missing_since_;
  std::map<ModelId, MonoTime> model_used_at_;
  /// Requests for each model since it has been without a copy.
  std::map<ModelId, double> unserved_;
  /// Arrivals per second of each model, averaged over about one turn: that of
  /// the demand covers one second, in which a model that is asked for every few
  /// seconds looks idle.
  std::map<ModelId, double> turn_rates_;
  std::optional<MonoTime> counted_at_;
  std::map<ModelId, MonoTime> adapter_used_at_;
  /// The engines cannot hold a copy of each model.
  bool short_of_room_ = false;
  /// By "model/adapter".
  std::map<ModelId, Adapter> adapters_;
  /// The engines that hold each model.
  std::map<ModelId, std::vector<Engine*>> holders_;
  /// Models with an adapter in demand for which no engine has room.
  std::set<ModelId> short_of_adapter_slots_;
  std::vector<ModelId> unplaced_;
  double store_budget_ = 0;
  std::optional<MonoTime> refilled_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_COPY_PLANNER_H_
