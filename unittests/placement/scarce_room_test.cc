// The copy planner over minutes, with engines that cannot hold all models.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/placement/copy_planner.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(250);
constexpr Duration kLoadTime = seconds(4);

/// Engines with room for two models each that carry out orders in time.
class Engines {
 public:
  Engines(std::size_t engines, std::size_t models) {
    capacity_.batch_size = 12;
    capacity_.weights_mb = 200;
    capacity_.store_loads_per_second = 30;
    for (std::size_t i = 0; i < models; ++i) {
      ModelSpec model;
      model.model = Name(i);
      model.weights_mb = 73;
      model.load_from_store = kLoadTime;
      capacity_.models.push_back(model);
    }
    for (std::size_t i = 0; i < engines; ++i) {
      PlannedEngine engine;
      engine.entry.id = ServerId("e" + std::to_string(i));
      for (std::size_t k = 0; k < 2; ++k)
        engine.entry.models.push_back({.model = Name((2 * i + k) % models),
                                       .weights_version = 1,
                                       .adapters = {}});
      engines_.push_back(engine);
    }
    done_at_.resize(engines);
  }

  static ModelId Name(std::size_t i) {
    return ModelId("m" + std::to_string(i));
  }

  void Step(const std::map<ModelId, CopyDemand>& demand) {
    now_ += kStep;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].busy && now_ >= done_at_[i])
        Finish(engines_[i]);
    }
    for (const CopyOrder& it : planner_.Plan(now_, capacity_, engines_, demand))
      Begin(it);
  }

  bool Holds(const ModelId& model) const {
    return std::any_of(
        engines_.begin(), engines_.end(), [&](const PlannedEngine& it) {
          const bool leaves =
              it.pending_kind == PlacementOrderKind::kUnloadModel &&
              it.pending_model == model;
          return !leaves && HasEntry(it, model);
        });
  }

  std::size_t loads() const { return loads_; }

 private:
  static bool HasEntry(const PlannedEngine& engine, const ModelId& model) {
    return std::any_of(
        engine.entry.models.begin(), engine.entry.models.end(),
        [&](const ResidentModel& it) { return it.model == model; });
  }

  void Begin(const CopyOrder& order) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      PlannedEngine& engine = engines_[i];
      if (engine.entry.id != order.engine)
        continue;
      const bool loads = order.kind == PlacementOrderKind::kLoadModel;
      loads_ += loads ? 1 : 0;
      engine.busy = true;
      engine.pending_kind = order.kind;
      engine.pending_model = order.model;
      done_at_[i] = now_ + (loads ? kLoadTime : kStep);
    }
  }

  static void Finish(PlannedEngine& engine) {
    if (engine.pending_kind == PlacementOrderKind::kLoadModel)
      engine.entry.models.push_back({.model = engine.pending_model,
                                     .weights_version = 1,
                                     .adapters = {}});
    else
      std::erase_if(engine.entry.models, [&](const ResidentModel& it) {
        return it.model == engine.pending_model;
      });
    cr_assert_leq(engine.entry.models.size(), 2);
    engine.busy = false;
    engine.pending_kind.reset();
  }

  MonoTime now_{seconds(1000)};
  EngineCapacity capacity_;
  CopyPlanner planner_;
  std::vector<PlannedEngine> engines_;
  std::vector<MonoTime> done_at_;
  std::size_t loads_ = 0;
};

/// Each of `models` models from `first` on is asked for every four seconds; a
/// few others take most requests.
std::map<ModelId, CopyDemand> Demand(std::size_t first, std::size_t models) {
  std::map<ModelId, CopyDemand> out;
  for (std::size_t i = 0; i < 3; ++i) {
    CopyDemand& busy = out[Engines::Name(i)];
    busy.running = 15;
    busy.arrivals_per_second = 10;
  }
  for (std::size_t i = first; i < first + models; ++i)
    out[Engines::Name(i)].arrivals_per_second = 0.25;
  return out;
}

std::size_t CountNeverHeld(Engines& engines,
                           const std::map<ModelId, CopyDemand>& demand,
                           Duration time) {
  std::map<ModelId, bool> held;
  for (Duration passed{}; passed < time; passed += kStep) {
    engines.Step(demand);
    for (const auto& [model, asked] : demand)
      held[model] = held[model] || engines.Holds(model);
  }
  return static_cast<std::size_t>(std::count_if(
      held.begin(), held.end(), [](const auto& it) { return !it.second; }));
}

// Of 60 models, 23 were asked for, and only those that happened to be loaded
// were ever served.
Test(scarce_room, each_model_in_demand_is_loaded_if_those_fit) {
  Engines engines(15, 60);
  cr_assert_eq(CountNeverHeld(engines, Demand(35, 20), seconds(30)), 0);
}

// More models are asked for than there are places: those that came too late
// were never served.
Test(scarce_room, models_in_demand_take_turns_if_they_do_not_fit) {
  Engines engines(15, 60);
  const auto demand = Demand(10, 45);
  cr_assert_eq(CountNeverHeld(engines, demand, seconds(90)), 0);
  for (std::size_t i = 0; i < 3; ++i)
    cr_assert(engines.Holds(Engines::Name(i)), "busy models keep a copy");
  // A place changes hands every few seconds at most.
  cr_assert_leq(engines.loads(), 30 * 90 / 9);
}

/// The rate of arrivals `since` after a request, averaged over one second.
double RateAfter(Duration since) {
  return 0.885 * std::exp(-std::chrono::duration<double>(since).count());
}

// Both models of an engine are asked for every three seconds. Between two
// requests their rates fall to almost nothing, so that one request for a third
// model took the place of one of them.
Test(scarce_room, one_request_does_not_unload_a_model_asked_for_regularly) {
  Engines engines(1, 3);
  for (Duration time{}; time < seconds(40); time += kStep) {
    std::map<ModelId, CopyDemand> demand;
    for (std::size_t i = 0; i < 2; ++i)
      demand[Engines::Name(i)].arrivals_per_second =
          RateAfter(time % seconds(3));
    if (time >= seconds(20))
      demand[Engines::Name(2)].arrivals_per_second =
          RateAfter(time - seconds(20));
    engines.Step(demand);
    cr_assert(engines.Holds(Engines::Name(0)));
    cr_assert(engines.Holds(Engines::Name(1)));
  }
}

// Unloading a model ends its requests in progress.
Test(scarce_room, requests_in_progress_weigh_against_those_without_a_copy) {
  Engines engines(1, 3);
  std::map<ModelId, CopyDemand> demand;
  for (std::size_t i = 0; i < 2; ++i)
    demand[Engines::Name(i)].running = 8;
  demand[Engines::Name(2)].arrivals_per_second = 1;
  for (Duration time{}; time < seconds(7); time += kStep) {
    engines.Step(demand);
    cr_assert(engines.Holds(Engines::Name(0)));
    cr_assert(engines.Holds(Engines::Name(1)));
  }
  for (Duration time{}; time < seconds(7); time += kStep)
    engines.Step(demand);
  cr_assert(engines.Holds(Engines::Name(2)));
}

// The same at the size of a large fleet.
Test(scarce_room, models_in_demand_take_turns_in_a_large_fleet) {
  Engines engines(100, 250);
  cr_assert_eq(CountNeverHeld(engines, Demand(3, 247), seconds(60)), 0);
}

}  // namespace
}  // namespace mangoport
