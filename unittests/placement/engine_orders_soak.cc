// Copy planner and order book against engines that lose, delay and refuse
// orders, restart empty, and show what they hold late, while the host that
// gives the orders changes. No engine may be ordered beyond its memory or its
// places for adapters, and no last copy of a model may be dropped.
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
#include "mangoport/placement/order_book.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(250);
constexpr int kEngines = 5;
constexpr int kModels = 8;
constexpr std::uint64_t kMemoryMb = 200;
constexpr std::uint32_t kAdapterSlots = 3;
constexpr Duration kLoadTime = milliseconds(1500);
/// By then the holder knows of a copy that went.
constexpr Duration kKnownAfter = milliseconds(4500);

/// An engine as it really is.
struct Engine {
  ServerEntry entry;
  std::uint64_t orders = 0;
  std::optional<EngineOrder> working;
  MonoTime done_at;
  /// What reports and entries show, which is some time old.
  std::deque<std::pair<MonoTime, EngineReport>> history;
};

struct LateOrder {
  EngineOrder order;
  std::uint64_t started_at_ms = 0;
  MonoTime at;
};

class EngineWorld {
 public:
  EngineWorld(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress) {
    capacity_.batch_size = 10;
    capacity_.weights_mb = kMemoryMb;
    capacity_.adapter_slots = kAdapterSlots;
    capacity_.store_loads_per_second = 100;
    for (int i = 0; i < kModels; ++i) {
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
      Hold(engine, Model(i));
    }
    NewHolder();
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    const bool trouble = step % 400 < 250;
    if (trouble && Chance(60))
      NewHolder();
    if (trouble && Chance(120))
      Restart();
    FinishWork();
    DoLateOrders();
    ShowEntries();
    DrawDemand();
    Holder(trouble);
  }

 private:
  bool Chance(int one_in) { return random_() % one_in == 0; }
  static ServerId Name(int i) { return ServerId("e" + std::to_string(i)); }
  static ModelId Model(int i) { return ModelId("m" + std::to_string(i)); }

  static void Hold(Engine& engine, const ModelId& model) {
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

  void NewHolder() {
    // Orders of the holder before may still be on their way.
    planner_ = std::make_unique<CopyPlanner>();
    planner_->Restart(now_);
    book_ = std::make_unique<OrderBook>();
    progress_.Note("new holder");
  }

  void Restart() {
    Engine& engine = engines_.at(Name(static_cast<int>(random_() % kEngines)));
    for (const ResidentModel& it : engine.entry.models)
      lost_at_[it.model] = now_;
    engine.entry.models.clear();
    ++engine.entry.started_at_ms;
    engine.orders = 0;
    engine.working.reset();
    engine.history.clear();
    progress_.Note("restart " + engine.entry.id.value());
  }

  void FinishWork() {
    for (auto& [id, engine] : engines_) {
      if (engine.working && now_ >= engine.done_at) {
        Carry(engine, *engine.working);
        engine.working.reset();
      }
      EngineReport report;
      report.busy = engine.working.has_value();
      report.orders_accepted = engine.orders;
      report.models = engine.entry.models;
      report.started_at_ms = engine.entry.started_at_ms;
      engine.history.emplace_back(now_, report);
      while (engine.history.size() > 20)
        engine.history.pop_front();
    }
  }

  void Carry(Engine& engine, const EngineOrder& order) {
    if (order.kind == PlacementOrderKind::kLoadModel)
      Hold(engine, order.model);
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
    if (order.expected_orders != engine.orders || engine.working)
      return EngineOrderAnswer::kBusyOrOutdated;
    auto held = std::find_if(
        engine.entry.models.begin(), engine.entry.models.end(),
        [&order](const ResidentModel& it) { return it.model == order.model; });
    const bool holds = held != engine.entry.models.end();
    progress_.Note(order.engine.value() +
                   (IsUnload(order.kind) ? " - " : " + ") +
                   order.model.value() + "/" + order.adapter.value());
    if (!order.adapter.empty())
      return AcceptAdapter(engine, holds ? &*held : nullptr, order);
    if (holds != IsUnload(order.kind))
      return EngineOrderAnswer::kAlreadyDone;
    ++engine.orders;
    engine.working = order;
    engine.done_at = now_ + kLoadTime;
    CheckOrder(engine, order);
    return EngineOrderAnswer::kAccepted;
  }

  void CheckOrder(const Engine& engine, const EngineOrder& order) {
    if (IsUnload(order.kind)) {
      // A copy that a crash took a moment ago, or an order of an earlier holder
      // that was late, can't be known yet.
      const auto lost = lost_at_.find(order.model);
      const bool excused = late_running_ || (lost != lost_at_.end() &&
                                             now_ - lost->second < kKnownAfter);
      CheckInvariant(excused || Copies(order.model) > 1,
                     "no last copy is dropped",
                     [&order] { return order.model.value(); });
      return;
    }
    std::uint64_t used = SizeOf(order.model);
    for (const ResidentModel& it : engine.entry.models)
      used += SizeOf(it.model);
    CheckInvariant(used <= kMemoryMb, "no engine is ordered beyond its memory",
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
                   "no engine is ordered beyond its places for adapters",
                   [adapters] { return std::to_string(adapters); });
    return EngineOrderAnswer::kAccepted;
  }

  void DoLateOrders() {
    for (auto it = late_.begin(); it != late_.end();) {
      if (now_ < it->at) {
        ++it;
        continue;
      }
      // An order does not outlive the engine's start it was meant for.
      late_running_ = true;
      if (engines_.at(it->order.engine).entry.started_at_ms ==
              it->started_at_ms &&
          Accept(it->order) == EngineOrderAnswer::kAccepted &&
          IsUnload(it->order.kind))
        lost_at_[it->order.model] = now_ + kLoadTime;
      late_running_ = false;
      it = late_.erase(it);
    }
  }

  void ShowEntries() {
    if (!Chance(4))
      return;
    std::map<ServerId, ServerEntry> shown;
    for (auto& [id, engine] : engines_) {
      ServerEntry entry = engine.entry;
      // An entry may be as old as a heartbeat and a read.
      const std::size_t age =
          random_() % std::min<std::size_t>(engine.history.size(), 6);
      entry.models =
          engine.history[engine.history.size() - 1 - age].second.models;
      shown.emplace(id, entry);
    }
    book_->SetServers(now_, shown);
  }

  void DrawDemand() {
    if (!Chance(20))
      return;
    for (int i = 0; i < kModels; ++i) {
      CopyDemand& demand = demand_[Model(i)];
      demand.running = static_cast<double>(random_() % 12);
      demand.waiting = Chance(4) ? 2 : 0;
      CopyDemand& adapter = demand_[ModelId("m" + std::to_string(i) + "/a1")];
      adapter.waiting = Chance(3) ? 1 : 0;
    }
  }

  void Holder(bool trouble) {
    const auto orders = planner_->Plan(
        now_, capacity_, book_->Engines(now_, ServiceId("s")), demand_);
    for (const CopyOrder& it : orders)
      book_->Begin(now_, it, kLoadTime);
    for (const EngineOrder& it : book_->DueOrders(now_))
      Send(it, trouble);
    for (const ServerId& it : book_->DueReports(now_))
      Report(it, trouble);
  }

  void Send(const EngineOrder& order, bool trouble) {
    CallReply<EngineOrderAnswer> reply;
    if (trouble && Chance(4)) {
      const Engine& engine = engines_.at(order.engine);
      late_.push_back({order, engine.entry.started_at_ms,
                       now_ + milliseconds(random_() % 12000)});
      book_->OnAnswer(now_, order.engine, reply);
      return;
    }
    reply.status = CallStatus::kOk;
    reply.value = Accept(order);
    if (trouble && Chance(8))
      reply.status = CallStatus::kUnknown;
    book_->OnAnswer(now_, order.engine, reply);
  }

  void Report(const ServerId& id, bool trouble) {
    CallReply<EngineReport> reply;
    const auto& history = engines_.at(id).history;
    if (history.empty() || (trouble && Chance(5))) {
      book_->OnReport(now_, id, reply);
      return;
    }
    reply.status = CallStatus::kOk;
    reply.value = history.back().second;
    book_->OnReport(now_, id, reply);
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  MonoTime now_{seconds(1000)};
  EngineCapacity capacity_;
  std::map<ServerId, Engine> engines_;
  std::unique_ptr<CopyPlanner> planner_;
  std::unique_ptr<OrderBook> book_;
  std::vector<LateOrder> late_;
  std::map<ModelId, CopyDemand> demand_;
  bool late_running_ = false;
  /// When a copy went without an order of the present holder.
  std::map<ModelId, MonoTime> lost_at_;
};

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(argc, argv, {"last_copy_dropped"},
                             [](const mangoport::SoakOptions& options,
                                mangoport::SoakProgress& progress) {
                               mangoport::EngineWorld world(options, progress);
                               for (std::uint64_t step = 1;
                                    step <= options.steps; ++step)
                                 world.Step(step);
                             });
}
