// Soak test of the placement controllers of one zone with simulated engines
// that execute every order without checking it. Orders are lost, delayed and
// duplicated, reports are delayed, engines restart, and half of the engines
// ignore fencing numbers. Hosts are paused beyond the end of their lease,
// killed and replaced without state. The log delays and duplicates appends,
// loses answers and has outages; clocks drift. The checks use the actual memory
// and copies of the engines.
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "mangoport/placement.pb.h"
#include "mangoport/placement/placement_controller.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 3;
constexpr int kEngines = 10;
constexpr int kModels = 14;
constexpr milliseconds kStep{100};
constexpr double kMaxClockDrift = 0.02;
constexpr std::uint64_t kMemoryMb = 100;
constexpr std::uint64_t kReserveMb = 12;
constexpr std::uint64_t kMaxOrderDelayMs = 6500;
constexpr std::uint64_t kMaxReportDelayMs = 4000;
/// A holder may still count a copy that a restart removed within this time. It
/// covers the time until the report is stale and an order has been sent and has
/// arrived.
constexpr seconds kRestartDetectionTime{15};
/// Longest time that a model may have no copy. Counted only while a holder is
/// active and the log is available.
constexpr seconds kMaxUnreachableTime{120};

struct Item {
  PlacedItem item;
  bool ready = false;
};

struct RunningOrder {
  Duration ends_at;
  PlacementOrderKind kind;
  PlacedItem item;
  LogPosition order;
};

/// A simulated engine that executes every order without checking it.
struct Engine {
  EngineSpec spec;
  std::vector<Item> items;
  std::vector<RunningOrder> running_orders;
  std::map<LogPosition, EngineOrderState> orders;
  std::uint64_t highest_epoch = 0;
  Duration restarted_at{-kRestartDetectionTime};

  std::uint64_t UsedMb() const {
    std::uint64_t used = 0;
    for (const Item& it : items)
      used += it.item.size_mb;
    return used;
  }

  Item* Find(const PlacedItem& item) {
    for (Item& it : items) {
      if (it.item.SameAs(item))
        return &it;
    }
    return nullptr;
  }

  void Start() {
    items.clear();
    running_orders.clear();
    orders.clear();
    highest_epoch = 0;
    for (const PlacedItem& it : spec.preloaded)
      items.push_back({it, true});
  }
};

struct Host {
  Host(std::string host_name, double clock_drift, PlacementConfig config)
      : name(std::move(host_name)),
        drift(clock_drift),
        writer(WriterId(name)),
        controller(std::move(config), WriterId(name)),
        reader(
            [this](const LogPosition& position, const wire::Envelope& record) {
              controller.OnRecord(read_at, position, record);
            }) {}

  std::string name;
  double drift;
  RecordWriter writer;
  PlacementController controller;
  MonoTime read_at;
  RecordReader reader;
  std::vector<PlacementSend> unsent;
  Duration paused_until{};
};

struct EntryInFlight {
  Duration arrives_at;
  std::string entry;
};

struct OrderInFlight {
  Duration arrives_at;
  PlacementSend send;
};

struct ReportInFlight {
  Duration arrives_at;
  Duration measured_at;
  int host;
  PlacementReport report;
};

class Fleet {
 public:
  Fleet(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed),
        progress_(progress),
        loads_per_second_(options.seed % 2 == 0 ? 0.4 : 4),
        observer_(
            [this](const LogPosition& position, const wire::Envelope& record) {
              ledger_.Apply(MonoTime(), position, record);
            }) {
    for (int i = 0; i < kModels; ++i) {
      ModelDemand model;
      model.model = ModelId("m" + std::to_string(i));
      model.version = "1";
      model.size_mb = 20 + Random(15);
      model.adapters.push_back({AdapterId("a" + std::to_string(i)), 4, 1.0});
      models_.push_back(std::move(model));
      unreachable_time_.push_back({});
    }
    for (int i = 0; i < kEngines; ++i)
      engines_.push_back(NewEngine(i));
    for (int i = 0; i < kHosts; ++i)
      hosts_.push_back(NewHost(i));
  }

  void Step() {
    true_time_ += kStep;
    RefillLoadTokens();
    if (Chance(600))
      outage_until_ = true_time_ + milliseconds(Random(20000));
    if (Chance(15))
      ChangeDemand();
    DeliverEntries();
    DeliverOrders();
    DeliverReports();
    for (Engine& it : engines_)
      StepEngine(it);
    holder_active_ = false;
    for (int i = 0; i < kHosts; ++i)
      StepHost(i);
    CheckReachability();
  }

  std::uint64_t executed() const { return executed_; }

 private:
  Engine NewEngine(int i) {
    Engine engine;
    engine.spec.engine = ServerId("e" + std::to_string(i));
    engine.spec.memory_mb = kMemoryMb;
    engine.spec.reserve_mb = kReserveMb;
    engine.spec.honours_fencing = i % 2 == 0;
    if (i < 3) {
      const ModelDemand& model = models_[static_cast<std::size_t>(i)];
      engine.spec.preloaded.push_back(
          {model.model, model.version, AdapterId(), model.size_mb});
    }
    engine.Start();
    return engine;
  }

  std::unique_ptr<Host> NewHost(int slot) {
    PlacementConfig config;
    config.lease = {.resource = kPlacementLease,
                    .claim_delay = milliseconds(Random(500))};
    config.planner.cooldown = seconds(2);
    config.planner.engine_tokens_per_second = 100;
    config.loads_per_second = loads_per_second_;
    for (const Engine& it : engines_)
      config.engines.push_back(it.spec);
    const double drift = std::uniform_real_distribution<>(
        -kMaxClockDrift, kMaxClockDrift)(random_);
    return std::make_unique<Host>(
        "h" + std::to_string(slot) + "/" + std::to_string(++incarnations_),
        drift, std::move(config));
  }

  MonoTime LocalTime(const Host& host) const {
    return MonoTime(
        std::chrono::duration_cast<Duration>(true_time_ * (1 + host.drift)));
  }

  void ChangeDemand() {
    ModelDemand& model = models_[Random(kModels)];
    model.tokens_per_second = static_cast<double>(Random(3) * Random(120));
    if (Chance(20))
      model.version = std::to_string(1 + Random(2));
  }

  // Hosts.

  void StepHost(int slot) {
    if (Chance(4000)) {
      progress_.Note("kill " + hosts_[slot]->name);
      hosts_[slot] = NewHost(slot);
      return;
    }
    Host& host = *hosts_[slot];
    if (true_time_ < host.paused_until)
      return;
    const MonoTime now = LocalTime(host);
    if (Chance(400))
      Pause(host);
    if (true_time_ >= outage_until_ && !Chance(4))
      Read(host, now);
    if (Chance(150)) {
      if (const auto release = host.controller.Release())
        Append(host, *release);
      hosts_[slot] = NewHost(slot);
      return;
    }
    holder_active_ =
        holder_active_ || host.controller.HeldEpoch(now).has_value();
    SendUnsent(host, now);
    const PlacementActions actions = host.controller.Step(now, models_);
    if (!(actions.appends.empty() && actions.sends.empty()) && Chance(25))
      Pause(host);
    for (const PlacementAppend& it : actions.appends) {
      CheckLoadRate(it);
      Append(host, it);
    }
    host.unsent = actions.sends;
    if (true_time_ >= host.paused_until)
      SendUnsent(host, now);
  }

  void Pause(Host& host) {
    host.paused_until =
        true_time_ + milliseconds(Random(Chance(2) ? 30000 : 9000));
    progress_.Note("pause " + host.name);
  }

  /// Sends the orders that were delayed by a pause if they may still be sent.
  void SendUnsent(Host& host, MonoTime now) {
    for (const PlacementSend& it : host.unsent) {
      if (host.controller.MaySend(now, it.order))
        Send(host, it);
    }
    host.unsent.clear();
  }

  void Read(Host& host, MonoTime now) {
    host.read_at = now;
    const std::size_t end = log_.size() - std::min(log_.size(), Random(3));
    for (std::size_t i = host.reader.next_offset(); i < end; ++i)
      host.reader.ReadEntry(i, log_[i]);
    host.controller.OnReadToEnd(now);
  }

  void Append(Host& host, const PlacementAppend& append) {
    const std::string entry =
        EncodeBatch({host.writer.Wrap(append.kind, append.body)});
    if (Chance(10))
      return;
    // A host that is paused between the decision and the append appends later.
    const Duration sent_at = std::max(true_time_, host.paused_until);
    const std::uint64_t copies = Chance(10) ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i)
      entries_.push_back(
          {sent_at + milliseconds(Chance(12) ? Random(30000) : Random(300)),
           entry});
  }

  void Send(Host& host, const PlacementSend& send) {
    progress_.Note(host.name + " sends " + Describe(send.order));
    if (Chance(3))
      return;
    const std::uint64_t copies = Chance(4) ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i)
      orders_.push_back(
          {true_time_ +
               milliseconds(Chance(2) ? Random(kMaxOrderDelayMs) : Random(200)),
           send});
    if (Chance(2))
      host.controller.OnAnswer(send.order.position, OrderAnswer::kAccepted);
  }

  // Messages in flight.

  template <typename T, typename Deliver>
  void DeliverDue(std::vector<T>& items, const Deliver& deliver) {
    std::vector<T> due;
    std::erase_if(items, [&](const T& it) {
      if (it.arrives_at > true_time_)
        return false;
      due.push_back(it);
      return true;
    });
    for (const T& it : due)
      deliver(it);
  }

  void DeliverEntries() {
    if (true_time_ < outage_until_ && !Chance(10))
      return;
    DeliverDue(entries_, [this](const EntryInFlight& it) {
      log_.push_back(it.entry);
      observer_.ReadEntry(log_.size() - 1, it.entry);
    });
  }

  void DeliverOrders() {
    DeliverDue(orders_, [this](const OrderInFlight& it) {
      ReceiveOrder(EngineOf(it.send.order.engine), it.send);
    });
  }

  void DeliverReports() {
    DeliverDue(reports_, [this](const ReportInFlight& it) {
      Host& host = *hosts_[static_cast<std::size_t>(it.host)];
      if (true_time_ < host.paused_until)
        return;
      // Increases the age by more than the maximum clock drift.
      const Duration age = (true_time_ - it.measured_at) * 21 / 20;
      PlacementReport report = it.report;
      report.measured_at = LocalTime(host) - age;
      host.controller.OnReport(std::move(report));
    });
  }

  // Engines.

  Engine& EngineOf(const ServerId& id) {
    return *std::find_if(
        engines_.begin(), engines_.end(),
        [&id](const Engine& it) { return it.spec.engine == id; });
  }

  void ReceiveOrder(Engine& engine, const PlacementSend& send) {
    const RecordedOrder& order = send.order;
    if (send.fencing_number < engine.highest_epoch &&
        engine.spec.honours_fencing)
      return;
    engine.highest_epoch = std::max(engine.highest_epoch, send.fencing_number);
    if (engine.orders.contains(order.position))
      return;
    progress_.Note(engine.spec.engine.value() + " accepts " + Describe(order));
    ++executed_;
    engine.orders[order.position] = EngineOrderState::kRunning;
    const Duration ends_at = true_time_ + milliseconds(200 + Random(6000));
    engine.running_orders.push_back(
        {ends_at, order.kind, order.item, order.position});
    if (IsUnload(order.kind)) {
      if (Item* item = engine.Find(order.item)) {
        CheckRemainingCopy(engine, order);
        item->ready = false;
      }
      return;
    }
    if (engine.Find(order.item) == nullptr)
      engine.items.push_back({order.item, false});
    CheckInvariant(engine.UsedMb() <= engine.spec.memory_mb,
                   "accelerator memory is never overcommitted", [&] {
                     return engine.spec.engine.value() + " uses " +
                            std::to_string(engine.UsedMb()) + " MB";
                   });
  }

  void StepEngine(Engine& engine) {
    if (Chance(4000)) {
      progress_.Note("restart " + engine.spec.engine.value());
      engine.Start();
      engine.restarted_at = true_time_;
    }
    std::erase_if(engine.running_orders, [&](const RunningOrder& it) {
      if (it.ends_at > true_time_)
        return false;
      Finish(engine, it);
      return true;
    });
    if (Chance(5))
      SendReport(engine);
  }

  void Finish(Engine& engine, const RunningOrder& finished) {
    const bool failed = !IsUnload(finished.kind) && Chance(10);
    engine.orders[finished.order] =
        failed ? EngineOrderState::kFailed : EngineOrderState::kDone;
    if (failed || IsUnload(finished.kind)) {
      std::erase_if(engine.items, [&](const Item& it) {
        return it.item.SameAs(finished.item);
      });
      return;
    }
    if (Item* item = engine.Find(finished.item))
      item->ready = true;
  }

  void SendReport(const Engine& engine) {
    PlacementReport report;
    report.engine = engine.spec.engine;
    report.highest_epoch = engine.highest_epoch;
    for (const Item& it : engine.items) {
      if (it.ready)
        report.items.push_back(it.item);
    }
    for (const auto& [order, state] : engine.orders)
      report.orders.push_back({order, state});
    for (int i = 0; i < kHosts; ++i) {
      if (!Chance(5))
        reports_.push_back(
            {true_time_ + milliseconds(Random(kMaxReportDelayMs)), true_time_,
             i, report});
    }
  }

  // Checks against the actual state of the engines.

  bool IsReady(const Engine& engine, const ModelId& model) const {
    return std::any_of(
        engine.items.begin(), engine.items.end(), [&](const Item& it) {
          return it.ready && !it.item.is_adapter() && it.item.model == model;
        });
  }

  void CheckRemainingCopy(const Engine& from, const RecordedOrder& order) {
    if (order.item.is_adapter())
      return;
    std::size_t copies = 0;
    bool recently_restarted = false;
    for (const Engine& engine : engines_) {
      recently_restarted =
          recently_restarted ||
          true_time_ < engine.restarted_at + kRestartDetectionTime;
      for (const Item& it : engine.items) {
        copies += it.ready && !it.item.is_adapter() &&
                  it.item.model == order.item.model &&
                  (&engine != &from || !it.item.SameAs(order.item));
      }
    }
    CheckInvariant(copies > 0 || recently_restarted,
                   "every model stays reachable", [&] {
                     return "the last copy of " + order.item.model.value() +
                            " is unloaded from " + from.spec.engine.value();
                   });
  }

  void CheckReachability() {
    for (int i = 0; i < kModels; ++i) {
      const ModelId& model = models_[static_cast<std::size_t>(i)].model;
      const bool reachable =
          std::any_of(engines_.begin(), engines_.end(),
                      [&](const Engine& it) { return IsReady(it, model); });
      Duration& unreachable_time =
          unreachable_time_[static_cast<std::size_t>(i)];
      if (reachable)
        unreachable_time = Duration::zero();
      else if (holder_active_ && true_time_ >= outage_until_)
        unreachable_time += kStep;
      CheckInvariant(
          unreachable_time < kMaxUnreachableTime || loads_per_second_ < 1,
          "a model without a copy gets one",
          [&] { return model.value() + State(); });
    }
  }

  /// Checks the loads of all holders together against one token bucket.
  void CheckLoadRate(const PlacementAppend& append) {
    wire::PlacementOrder order;
    if (append.kind != wire::RECORD_KIND_ENGINE_ORDER ||
        !order.ParseFromString(append.body) ||
        order.kind() != wire::PLACEMENT_ORDER_KIND_LOAD_MODEL)
      return;
    load_tokens_ -= 1;
    CheckInvariant(load_tokens_ > -0.01, "loads stay within the store's rate",
                   [&] { return std::to_string(load_tokens_); });
  }

  void RefillLoadTokens() {
    constexpr double kBurst = 2;
    const std::chrono::duration<double> passed = kStep;
    load_tokens_ =
        std::min(kBurst, load_tokens_ + passed.count() * loads_per_second_ *
                                            (1 + kMaxClockDrift));
  }

  /// Returns the ledger's state of every engine for failure messages.
  std::string State() const {
    std::string text;
    for (const auto& [id, entry] : ledger_.engines()) {
      text += "\n" + id.value() + ":";
      for (const PlacedItem& it : entry.held)
        text += " " + it.model.value() + "@" + it.version +
                (it.is_adapter() ? "/a" : "") + ":" +
                std::to_string(it.size_mb);
      for (const RecordedOrder& it : entry.orders)
        text += " [" + Describe(it) + " phase " +
                std::to_string(static_cast<int>(it.phase)) + "]";
    }
    return text;
  }

  static std::string Describe(const RecordedOrder& order) {
    static const char* const kNames[] = {"load", "unload", "load-adapter",
                                         "unload-adapter", "import-kv"};
    return OrderName(order.position) + " " +
           kNames[static_cast<int>(order.kind)] + " " +
           order.item.model.value() + "@" + order.item.version + " on " +
           order.engine.value();
  }

  std::uint64_t Random(std::uint64_t below) { return random_() % below; }
  bool Chance(std::uint64_t one_in) { return Random(one_in) == 0; }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  /// Low for even seeds, so that the rate limit takes effect.
  const double loads_per_second_;
  const Duration start_{std::chrono::hours(1)};
  Duration true_time_ = start_;
  Duration outage_until_{};
  int incarnations_ = 0;
  std::vector<ModelDemand> models_;
  std::vector<Duration> unreachable_time_;
  bool holder_active_ = false;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::string> log_;
  std::vector<EntryInFlight> entries_;
  std::vector<OrderInFlight> orders_;
  std::vector<ReportInFlight> reports_;
  /// Ledger folded from the whole log, for failure messages.
  EngineLedger ledger_;
  RecordReader observer_;
  double load_tokens_ = 0;
  std::uint64_t executed_ = 0;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  Fleet fleet(options, progress);
  for (progress.step = 0; progress.step < options.steps; ++progress.step)
    fleet.Step();
  CheckInvariant(
      fleet.executed() * 250 >= options.steps, "orders reach the engines",
      [&fleet] { return std::to_string(fleet.executed()) + " orders"; });
  std::printf("%llu orders executed\n",
              static_cast<unsigned long long>(fleet.executed()));
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"superseded_record_accepted", "restart_not_counted",
       "in_flight_not_counted", "last_copy_dropped",
       "order_answer_taken_for_done", "order_lifetime_not_waited",
       "load_budget_saved_up"},
      mangoport::Run);
}
