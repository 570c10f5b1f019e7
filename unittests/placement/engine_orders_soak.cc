// Soak test of the copy planner and the order tracker with simulated engines.
// Orders are lost, delayed and rejected, engines restart empty and report their
// models late, and the lease holder changes. Checks that no order exceeds an
// engine's memory or adapter slots, and that no order unloads the last copy of
// a model while all models fit. With each third seed they do not fit; then a
// model whose requests wait must not stay without a copy.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/invariant.h"
#include "mangoport/placement/copy_planner.h"
#include "mangoport/placement/engine_order_tracker.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(250);
constexpr int kEngines = 5;
constexpr int kModels = 8;
/// More than the engines can hold.
constexpr int kManyModels = 16;
constexpr std::uint64_t kMemoryMb = 200;
constexpr std::uint32_t kAdapterSlots = 3;
constexpr Duration kLoadTime = milliseconds(1500);
/// Longest time until a model in demand has a copy, without faults: two turns
/// of five seconds until as many requests have come for it as for another in
/// one turn, one more until that has had its own, the orders, and as long again
/// as other models may come first.
constexpr Duration kMaxTurnDelay = seconds(30);
/// Longest time until the holder detects a lost copy.
constexpr Duration kMaxDetectionDelay = milliseconds(4500);

/// Actual state of a simulated engine.
struct Engine {
  ServerEntry entry;
  std::uint64_t orders = 0;
  std::optional<EngineOrder> current_order;
  MonoTime done_at;
  /// Past states, from which reports and entries are taken with a delay.
  std::deque<std::pair<MonoTime, EngineReport>> history;
};

struct LateOrder {
  EngineOrder order;
  std::uint64_t started_at_ms = 0;
  MonoTime at;
};

class EngineSimulation {
 public:
  EngineSimulation(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed),
        progress_(progress),
        models_(options.seed % 3 == 0 ? kManyModels : kModels) {
    capacity_.batch_size = 10;
    capacity_.weights_mb = kMemoryMb;
    capacity_.adapter_slots = kAdapterSlots;
    capacity_.store_loads_per_second = 100;
    for (int i = 0; i < models_; ++i) {
      ModelSpec model;
      model.model = Model(i);
      model.weights_mb = i % 3 == 0 ? 60 : 90;
      model.adapter_count = i % 2 == 0 ? 4 : 0;
      model.adapter_mb = 1;
      capacity_.models.push_back(model);
    }
    for (int i = 0; i < kEngines; ++i) {
      Engine& engine = engines_[Name(i)];
      engine.entry.id = Name(i);
      engine.entry.service = ServiceId("s");
      engine.entry.started_at_ms = 1;
      AddModel(engine, Model(i));
    }
    ReplaceHolder();
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    const bool inject_faults = step % 400 < 250;
    if (inject_faults && Chance(60))
      ReplaceHolder();
    if (inject_faults && Chance(120))
      Restart();
    FinishWork();
    DeliverLateOrders();
    UpdateEntries();
    RandomizeDemand();
    RunHolder(inject_faults);
    CheckTurns(inject_faults);
  }

 private:
  bool Chance(int one_in) { return random_() % one_in == 0; }
  static ServerId Name(int i) { return ServerId("e" + std::to_string(i)); }
  static ModelId Model(int i) { return ModelId("m" + std::to_string(i)); }

  static void AddModel(Engine& engine, const ModelId& model) {
    engine.entry.models.push_back(
        {.model = model, .weights_version = 1, .adapters = {}});
  }

  std::uint64_t SizeOf(const ModelId& model) const {
    for (const ModelSpec& it : capacity_.models) {
      if (it.model == model)
        return it.weights_mb;
    }
    return 0;
  }

  void ReplaceHolder() {
    // Orders of the previous holder may still be in flight.
    planner_ = std::make_unique<CopyPlanner>();
    planner_->Restart(now_);
    tracker_ = std::make_unique<EngineOrderTracker>();
    progress_.Note("new holder");
  }

  void Restart() {
    Engine& engine = engines_.at(Name(static_cast<int>(random_() % kEngines)));
    for (const ResidentModel& it : engine.entry.models)
      lost_at_[it.model] = now_;
    engine.entry.models.clear();
    ++engine.entry.started_at_ms;
    engine.orders = 0;
    engine.current_order.reset();
    engine.history.clear();
    progress_.Note("restart " + engine.entry.id.value());
  }

  void FinishWork() {
    for (auto& [id, engine] : engines_) {
      if (engine.current_order && now_ >= engine.done_at) {
        CompleteOrder(engine, *engine.current_order);
        engine.current_order.reset();
      }
      EngineReport report;
      report.busy = engine.current_order.has_value();
      report.orders_accepted = engine.orders;
      report.models = engine.entry.models;
      report.started_at_ms = engine.entry.started_at_ms;
      engine.history.emplace_back(now_, report);
      while (engine.history.size() > 20)
        engine.history.pop_front();
    }
  }

  void CompleteOrder(Engine& engine, const EngineOrder& order) {
    if (order.kind == PlacementOrderKind::kLoadModel)
      AddModel(engine, order.model);
    else
      std::erase_if(engine.entry.models, [&order](const ResidentModel& it) {
        return it.model == order.model;
      });
  }

  std::size_t Copies(const ModelId& model) const {
    std::size_t n = 0;
    for (const auto& [id, engine] : engines_) {
      for (const ResidentModel& it : engine.entry.models)
        n += it.model == model ? 1 : 0;
    }
    return n;
  }

  EngineOrderAnswer Accept(const EngineOrder& order) {
    Engine& engine = engines_.at(order.engine);
    if (order.expected_orders != engine.orders || engine.current_order)
      return EngineOrderAnswer::kBusyOrOutdated;
    auto held = std::find_if(
        engine.entry.models.begin(), engine.entry.models.end(),
        [&order](const ResidentModel& it) { return it.model == order.model; });
    const bool holds = held != engine.entry.models.end();
    progress_.Note(order.engine.value() +
                   (IsUnload(order.kind) ? " unloads " : " loads ") +
                   order.model.value() + "/" + order.adapter.value());
    if (!order.adapter.empty())
      return AcceptAdapter(engine, holds ? &*held : nullptr, order);
    if (holds != IsUnload(order.kind))
      return EngineOrderAnswer::kAlreadyDone;
    ++engine.orders;
    engine.current_order = order;
    engine.done_at = now_ + kLoadTime;
    CheckOrder(engine, order);
    return EngineOrderAnswer::kAccepted;
  }

  void CheckOrder(const Engine& engine, const EngineOrder& order) {
    if (IsUnload(order.kind)) {
      // The holder cannot know yet of a copy lost in a recent crash, or of a
      // late order of an earlier holder.
      const auto lost = lost_at_.find(order.model);
      const bool may_be_unknown =
          executing_late_order_ ||
          (lost != lost_at_.end() && now_ - lost->second < kMaxDetectionDelay);
      const bool all_fit = models_ == kModels;
      CheckInvariant(!all_fit || may_be_unknown || Copies(order.model) > 1,
                     "no order unloads the last copy of a model",
                     [&order] { return order.model.value(); });
      return;
    }
    std::uint64_t used = SizeOf(order.model);
    for (const ResidentModel& it : engine.entry.models)
      used += SizeOf(it.model);
    CheckInvariant(used <= kMemoryMb, "no order exceeds an engine's memory",
                   [used] { return std::to_string(used); });
  }

  EngineOrderAnswer AcceptAdapter(Engine& engine,
                                  ResidentModel* held,
                                  const EngineOrder& order) {
    if (!held)
      return EngineOrderAnswer::kRejected;
    ++engine.orders;
    std::erase(held->adapters, order.adapter);
    if (!IsUnload(order.kind))
      held->adapters.push_back(order.adapter);
    std::size_t adapters = 0;
    for (const ResidentModel& it : engine.entry.models)
      adapters += it.adapters.size();
    CheckInvariant(adapters <= kAdapterSlots,
                   "no order exceeds an engine's adapter slots",
                   [adapters] { return std::to_string(adapters); });
    return EngineOrderAnswer::kAccepted;
  }

  void DeliverLateOrders() {
    for (auto it = late_.begin(); it != late_.end();) {
      if (now_ < it->at) {
        ++it;
        continue;
      }
      // An order is dropped if the engine has restarted since it was sent.
      executing_late_order_ = true;
      if (engines_.at(it->order.engine).entry.started_at_ms ==
              it->started_at_ms &&
          Accept(it->order) == EngineOrderAnswer::kAccepted &&
          IsUnload(it->order.kind))
        lost_at_[it->order.model] = now_ + kLoadTime;
      executing_late_order_ = false;
      it = late_.erase(it);
    }
  }

  void UpdateEntries() {
    if (!Chance(4))
      return;
    std::map<ServerId, ServerEntry> entries;
    for (auto& [id, engine] : engines_) {
      ServerEntry entry = engine.entry;
      // An entry may be as old as a heartbeat interval plus a read interval.
      const std::size_t age =
          random_() % std::min<std::size_t>(engine.history.size(), 6);
      entry.models =
          engine.history[engine.history.size() - 1 - age].second.models;
      entries.emplace(id, entry);
    }
    tracker_->SetServers(now_, entries);
  }

  /// Demand changes every five seconds on average, so a model waits for its
  /// turn through many changes.
  void CheckTurns(bool inject_faults) {
    for (const auto& it : demand_) {
      const ModelId& model = it.first;
      if (model.value().find('/') != std::string::npos)
        continue;
      Duration& waited = unserved_for_[model];
      if (inject_faults || Copies(model) > 0)
        waited = Duration::zero();
      else if (it.second.arrivals_per_second > 0)
        waited += kStep;
      CheckInvariant(waited < kMaxTurnDelay,
                     "a model in demand gets a copy in turn",
                     [&it] { return it.first.value(); });
    }
  }

  void RandomizeDemand() {
    if (!Chance(20))
      return;
    for (int i = 0; i < models_; ++i) {
      CopyDemand& demand = demand_[Model(i)];
      demand.running = static_cast<double>(random_() % 12);
      demand.waiting = Chance(4) ? 2 : 0;
      // All rates are within a factor of two.
      demand.arrivals_per_second = 1 + demand.running / 12;
      CopyDemand& adapter = demand_[ModelId("m" + std::to_string(i) + "/a1")];
      adapter.waiting = Chance(3) ? 1 : 0;
    }
  }

  void RunHolder(bool inject_faults) {
    const auto orders = planner_->Plan(
        now_, capacity_, tracker_->Engines(now_, ServiceId("s")), demand_);
    for (const CopyOrder& it : orders)
      tracker_->Begin(now_, it, kLoadTime);
    for (const EngineOrder& it : tracker_->DueOrders(now_))
      Send(it, inject_faults);
    for (const ServerId& it : tracker_->DueReports(now_))
      Report(it, inject_faults);
  }

  void Send(const EngineOrder& order, bool inject_faults) {
    CallReply<EngineOrderAnswer> reply;
    if (inject_faults && Chance(4)) {
      const Engine& engine = engines_.at(order.engine);
      late_.push_back({order, engine.entry.started_at_ms,
                       now_ + milliseconds(random_() % 12000)});
      tracker_->OnAnswer(now_, order.engine, reply);
      return;
    }
    reply.status = CallStatus::kOk;
    reply.value = Accept(order);
    if (inject_faults && Chance(8))
      reply.status = CallStatus::kUnknown;
    tracker_->OnAnswer(now_, order.engine, reply);
  }

  void Report(const ServerId& id, bool inject_faults) {
    CallReply<EngineReport> reply;
    const auto& history = engines_.at(id).history;
    if (history.empty() || (inject_faults && Chance(5))) {
      tracker_->OnReport(now_, id, reply);
      return;
    }
    reply.status = CallStatus::kOk;
    reply.value = history.back().second;
    tracker_->OnReport(now_, id, reply);
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  int models_;
  MonoTime now_{seconds(1000)};
  /// How long the requests for a model have waited without a copy, while no
  /// faults were injected.
  std::map<ModelId, Duration> unserved_for_;
  EngineCapacity capacity_;
  std::map<ServerId, Engine> engines_;
  std::unique_ptr<CopyPlanner> planner_;
  std::unique_ptr<EngineOrderTracker> tracker_;
  std::vector<LateOrder> late_;
  std::map<ModelId, CopyDemand> demand_;
  bool executing_late_order_ = false;
  /// When a copy was lost without an order of the current holder.
  std::map<ModelId, MonoTime> lost_at_;
};

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv, {"last_copy_dropped"},
      [](const mangoport::SoakOptions& options,
         mangoport::SoakProgress& progress) {
        mangoport::EngineSimulation simulation(options, progress);
        for (std::uint64_t step = 1; step <= options.steps; ++step)
          simulation.Step(step);
      });
}
