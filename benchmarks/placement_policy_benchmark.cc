// DEPENDS: placement
// Compares the planner with static placement and load on demand in a fluid
// simulation of a zone: an engine serves its models' shares of the demand up to
// its rate, and loads take time. Prints the attained demand and the number of
// loads for the sizes of two deployments, over ten seeds.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangoport/lease.pb.h"
#include "mangoport/placement.pb.h"
#include "mangoport/placement/placement_records.h"
#include "mangoport/placement/planner.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

/// Tokens per second that one engine serves.
constexpr double kEngineRate = 2000;
constexpr std::uint64_t kMemoryMb = 100;
constexpr std::uint64_t kReserveMb = 10;
/// A tick is one second.
constexpr int kTicks = 1800;
constexpr int kShiftIntervalTicks = 60;
constexpr int kLoadTicks = 2;
constexpr int kSeeds = 10;

enum class Policy { kStatic, kOnDemand, kPlanner };

struct Deployment {
  const char* name;
  int engines;
  int models;
  double loads_per_second;
};

/// A load or unload in progress that ends at a tick.
struct Change {
  int ends_at;
  RecordedOrder order;
};

class Zone {
 public:
  Zone(const Deployment& deployment, Policy policy, std::uint64_t seed)
      : deployment_(deployment), policy_(policy), random_(seed) {
    for (int i = 0; i < deployment.models; ++i) {
      ModelDemand model;
      model.model = ModelId("m" + std::to_string(i));
      model.version = "1";
      model.size_mb = 20 + random_() % 15;
      weights_.push_back(1.0 / (i + 1));
      models_.push_back(std::move(model));
    }
    std::shuffle(weights_.begin(), weights_.end(), random_);
    StartEngines();
  }

  void Run() {
    for (tick_ = 0; tick_ < kTicks; ++tick_) {
      if (tick_ % kShiftIntervalTicks == 0)
        ShiftDemand();
      budget_ = std::min(2.0, budget_ + deployment_.loads_per_second);
      FinishChanges();
      if (policy_ == Policy::kPlanner)
        PlanOrders();
      if (policy_ == Policy::kOnDemand)
        LoadOnDemand();
      ServeDemand();
    }
  }

  double attained() const { return served_ / demanded_; }
  double worst_model() const { return worst_model_sum_ / kTicks; }
  int loads() const { return loads_; }

 private:
  /// Sets up the same initial placement for every policy: one copy of each
  /// model, then further copies in turn until the memory is full.
  void StartEngines() {
    wire::LeaseClaim claim;
    claim.set_resource(kPlacementLease);
    Apply(wire::RECORD_KIND_LEASE_CLAIM, claim.SerializeAsString());
    std::vector<EngineSpec> specs;
    for (int i = 0; i < deployment_.engines; ++i)
      specs.push_back(
          {ServerId("e" + std::to_string(i)), kMemoryMb, kReserveMb, true, {}});
    for (const EngineSpec& it : specs)
      Apply(wire::RECORD_KIND_ENGINE_SPEC, EncodeSpec({0, 0}, it));
    std::size_t next = 0;
    for (std::size_t i = 0; i < 3 * specs.size(); ++i) {
      RecordedOrder order;
      order.engine = specs[i % specs.size()].engine;
      order.item = ItemOf(models_[next % models_.size()]);
      if (!ledger_.RejectionReason(order).empty())
        continue;
      ++next;
      Record(order);
      Finish(ledger_.Find(order.engine)->orders.back());
    }
  }

  static PlacedItem ItemOf(const ModelDemand& model) {
    return {model.model, model.version, AdapterId(), model.size_mb};
  }

  /// Raises or lowers the demand for up to two random models by a factor of
  /// ten.
  void ShiftDemand() {
    for (int i = 0; i < 2; ++i) {
      double& weight = weights_[random_() % weights_.size()];
      weight = std::clamp(random_() % 2 == 0 ? weight * 10 : weight / 10, 0.005,
                          2.0);
    }
    double sum = 0;
    for (const double it : weights_)
      sum += it;
    const double total = 0.6 * kEngineRate * deployment_.engines;
    for (std::size_t i = 0; i < models_.size(); ++i)
      models_[i].tokens_per_second = total * weights_[i] / sum;
  }

  void Apply(wire::RecordKind kind, std::string body) {
    ledger_.Apply(MonoTime(seconds(tick_)), {offset_++, 0},
                  writer_.Wrap(kind, std::move(body)));
  }

  void Record(const RecordedOrder& order) {
    Apply(wire::RECORD_KIND_ENGINE_ORDER, EncodeOrder(order));
  }

  /// Records the completion of an order and a checkpoint that removes it.
  void Finish(const RecordedOrder& order) {
    const LogPosition position = order.position;
    const ServerId engine = order.engine;
    Apply(wire::RECORD_KIND_ENGINE_OUTCOME,
          EncodeOutcome({0, 0}, position, wire::PLACEMENT_OUTCOME_KIND_DONE));
    const EngineLedgerEntry& entry = *ledger_.Find(engine);
    Apply(wire::RECORD_KIND_ENGINE_CHECKPOINT,
          EncodeCheckpoint(
              {{0, 0}, engine, entry.last_change, position, entry.held}));
  }

  void FinishChanges() {
    std::erase_if(changes_, [this](const Change& it) {
      if (it.ends_at > tick_)
        return false;
      Finish(it.order);
      return true;
    });
  }

  void Start(RecordedOrder order) {
    Record(order);
    order.position = {offset_ - 1, 0};
    changes_.push_back({tick_ + kLoadTicks, order});
    if (IsUnload(order.kind))
      return;
    ++loads_;
    budget_ -= 1;
  }

  void PlanOrders() {
    std::map<ServerId, const std::vector<PlacedItem>*> reports;
    for (const auto& [id, entry] : ledger_.engines())
      reports[id] = &entry.held;
    const std::set<ServerId> active_engines;
    const PlannerInput input{
        .ledger = ledger_,
        .models = models_,
        .reports = reports,
        .active_engines = active_engines,
        .model_changed_at = model_changed_at_,
        .loads_allowed = static_cast<std::size_t>(budget_)};
    const MonoTime now{seconds(tick_)};
    for (const PlannedOrder& it : PlanPlacement(now, input, PlannerConfig())) {
      RecordedOrder order;
      order.engine = it.engine;
      order.kind = it.kind;
      order.item = it.item;
      order.covered_elsewhere = it.covered_elsewhere;
      model_changed_at_[it.item.model] = now;
      Start(order);
    }
  }

  /// Baseline policy: loads a copy on the least loaded engine when all engines
  /// of a model exceed their rate, and evicts the model with the least demand
  /// if memory is short.
  void LoadOnDemand() {
    const std::map<ServerId, double> load = Loads();
    for (const ModelDemand& model : models_) {
      if (budget_ < 1)
        return;
      const bool overloaded =
          std::all_of(ledger_.engines().begin(), ledger_.engines().end(),
                      [&](const auto& it) {
                        return !it.second.Holds(ItemOf(model)) ||
                               load.at(it.first) > kEngineRate;
                      });
      if (overloaded)
        LoadOnLeastLoaded(model, load);
    }
  }

  void LoadOnLeastLoaded(const ModelDemand& model,
                         const std::map<ServerId, double>& load) {
    const auto to = std::min_element(
        load.begin(), load.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    RecordedOrder order;
    order.engine = to->first;
    order.item = ItemOf(model);
    if (ledger_.RejectionReason(order).empty()) {
      Start(order);
      return;
    }
    const EngineLedgerEntry& entry = *ledger_.Find(to->first);
    if (!entry.orders.empty() || entry.held.empty())
      return;
    order.kind = PlacementOrderKind::kUnloadModel;
    order.covered_elsewhere = true;
    order.item =
        *std::min_element(entry.held.begin(), entry.held.end(),
                          [this](const PlacedItem& a, const PlacedItem& b) {
                            return DemandOf(a) < DemandOf(b);
                          });
    Start(order);
  }

  double DemandOf(const PlacedItem& item) const {
    for (const ModelDemand& it : models_) {
      if (it.model == item.model)
        return it.tokens_per_second;
    }
    return 0;
  }

  std::map<ModelId, int> Copies() const {
    std::map<ModelId, int> copies;
    for (const auto& [id, entry] : ledger_.engines()) {
      for (const PlacedItem& it : entry.held)
        ++copies[it.model];
    }
    return copies;
  }

  /// Returns the demand at each engine if the demand for every model is divided
  /// evenly between its copies.
  std::map<ServerId, double> Loads() const {
    const std::map<ModelId, int> copies = Copies();
    std::map<ServerId, double> load;
    for (const auto& [id, entry] : ledger_.engines()) {
      load[id] = 0;
      for (const PlacedItem& it : entry.held)
        load[id] += DemandOf(it) / copies.at(it.model);
    }
    return load;
  }

  void ServeDemand() {
    const std::map<ModelId, int> copies = Copies();
    const std::map<ServerId, double> load = Loads();
    std::map<ModelId, double> served;
    for (const auto& [id, entry] : ledger_.engines()) {
      const double share =
          std::min(1.0, kEngineRate / std::max(1.0, load.at(id)));
      for (const PlacedItem& it : entry.held)
        served[it.model] += share * DemandOf(it) / copies.at(it.model);
    }
    double worst = 1;
    for (const ModelDemand& it : models_) {
      demanded_ += it.tokens_per_second;
      served_ += served[it.model];
      worst = std::min(worst, served[it.model] / it.tokens_per_second);
    }
    worst_model_sum_ += worst;
  }

  const Deployment deployment_;
  const Policy policy_;
  std::mt19937_64 random_;
  std::vector<ModelDemand> models_;
  std::vector<double> weights_;
  EngineLedger ledger_;
  RecordWriter writer_{WriterId("a")};
  std::uint64_t offset_ = 0;
  int tick_ = 0;
  double budget_ = 0;
  std::vector<Change> changes_;
  std::map<ModelId, MonoTime> model_changed_at_;
  double demanded_ = 0;
  double served_ = 0;
  double worst_model_sum_ = 0;
  int loads_ = 0;
};

void Compare(const Deployment& deployment) {
  static const struct {
    const char* name;
    Policy policy;
  } kPolicies[] = {{"static", Policy::kStatic},
                   {"load on demand", Policy::kOnDemand},
                   {"planner", Policy::kPlanner}};
  for (const auto& it : kPolicies) {
    double sum = 0;
    double worst_model = 0;
    double min_attained = 1;
    double max_attained = 0;
    int loads = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Zone zone(deployment, it.policy, seed);
      zone.Run();
      sum += zone.attained();
      worst_model += zone.worst_model();
      min_attained = std::min(min_attained, zone.attained());
      max_attained = std::max(max_attained, zone.attained());
      loads += zone.loads();
    }
    std::printf(
        "%-10s %-15s attained %.4f (%.4f to %.4f) worst model %.4f "
        "loads %.1f\n",
        deployment.name, it.name, sum / kSeeds, min_attained, max_attained,
        worst_model / kSeeds, static_cast<double>(loads) / kSeeds);
  }
}

}  // namespace
}  // namespace mangoport

int main() {
  mangoport::Compare({"kuratorium", 12, 20, 2});
  mangoport::Compare({"authority", 12, 15, 2.5});
  return 0;
}
