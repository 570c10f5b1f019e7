#include "mangoport/placement/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

PlacedItem ItemOf(const ModelDemand& model) {
  return {model.model, model.version, AdapterId(), model.size_mb};
}

PlacedItem ItemOf(const ModelDemand& model, const AdapterDemand& adapter) {
  return {model.model, model.version, adapter.adapter, adapter.size_mb};
}

bool Contains(const std::vector<PlacedItem>& items, const PlacedItem& item) {
  return std::any_of(items.begin(), items.end(),
                     [&](const PlacedItem& it) { return it.SameAs(item); });
}

bool HasOrderInFlight(const EngineAccount& account,
                      const PlacedItem& item,
                      bool unload) {
  return std::any_of(account.orders.begin(), account.orders.end(),
                     [&](const RecordedOrder& it) {
                       return it.phase == OrderPhase::kInFlight &&
                              IsUnload(it.kind) == unload &&
                              it.item.SameAs(item);
                     });
}

/// One planning run; its members are the state that grows with the plan.
class Plan {
 public:
  Plan(MonoTime now, const PlannerInput& input, const PlannerConfig& config)
      : now_(now), input_(input), config_(config) {
    CountCopies();
    SpreadLoad();
  }

  std::vector<PlannedOrder> Make() {
    loads_left_ = input_.loads_allowed;
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      if (copies_[i].any_version == 0)
        KeepReachable(i);
    }
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      if (copies_[i].any_version > 0)
        KeepReachable(i);
    }
    for (Engine& it : engines_)
      DropOldVersion(it);
    RelieveEngines();
    PlaceAdapters();
    return std::move(orders_);
  }

 private:
  struct Engine {
    const EngineAccount* account = nullptr;
    double load = 0;
    /// An engine gets at most one model order a plan: the next one is judged
    /// after this one has been recorded.
    bool ordered = false;
    std::vector<std::size_t> models;
  };

  struct Copies {
    /// Confirmed on reporting engines and staying.
    std::vector<std::size_t> engines;
    std::size_t coming = 0;
    /// Copies of whatever version, with those that are coming.
    std::size_t any_version = 0;

    std::size_t count() const { return engines.size() + coming; }
  };

  void CountCopies() {
    for (std::size_t i = 0; i < input_.models.size(); ++i)
      model_index_[input_.models[i].model] = i;
    copies_.resize(input_.models.size());
    for (const auto& [id, account] : input_.ledger.engines()) {
      const auto report = input_.reports.find(id);
      if (report == input_.reports.end()) {
        if (input_.presumed.contains(id))
          CountPresumed(account.held);
        continue;
      }
      const std::size_t engine = engines_.size();
      engines_.push_back({&account, 0, false, {}});
      for (const PlacedItem& it : account.held) {
        if (Contains(*report->second, it))
          CountHeld(engine, it);
        else
          CountPresumed({it});
      }
      for (const RecordedOrder& it : account.orders)
        CountComing(it);
    }
  }

  void CountHeld(std::size_t engine, const PlacedItem& item) {
    if (HasOrderInFlight(*engines_[engine].account, item, true))
      return;
    const auto any = model_index_.find(item.model);
    if (any != model_index_.end() && !item.is_adapter())
      ++copies_[any->second].any_version;
    const std::optional<std::size_t> model = IndexOf(item);
    if (!model)
      return;
    copies_[*model].engines.push_back(engine);
    engines_[engine].models.push_back(*model);
  }

  void CountPresumed(const std::vector<PlacedItem>& items) {
    for (const PlacedItem& it : items) {
      const auto any = model_index_.find(it.model);
      if (any == model_index_.end() || it.is_adapter())
        continue;
      ++copies_[any->second].any_version;
      if (IndexOf(it))
        ++copies_[any->second].coming;
    }
  }

  void CountComing(const RecordedOrder& order) {
    const std::optional<std::size_t> model = IndexOf(order.item);
    if (model && order.phase == OrderPhase::kInFlight &&
        order.kind == PlacementOrderKind::kLoadModel) {
      ++copies_[*model].coming;
      ++copies_[*model].any_version;
    }
  }

  /// The model of which `item` is a copy in the version asked for.
  std::optional<std::size_t> IndexOf(const PlacedItem& item) const {
    const auto it = model_index_.find(item.model);
    if (item.is_adapter() || it == model_index_.end() ||
        input_.models[it->second].version != item.version)
      return std::nullopt;
    return it->second;
  }

  void SpreadLoad() {
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      for (const std::size_t engine : copies_[i].engines)
        engines_[engine].load += ShareOf(i, copies_[i].count());
    }
    SortEnginesByLoad();
  }

  /// Load on each of `n` copies, as a share of an engine's rate.
  double ShareOf(std::size_t model, std::size_t n) const {
    return input_.models[model].tokens_per_second /
           config_.engine_tokens_per_second /
           static_cast<double>(std::max<std::size_t>(1, n));
  }

  bool IsCooling(const ModelId& model) const {
    const auto it = input_.last_moves.find(model);
    return it != input_.last_moves.end() &&
           now_ < it->second + config_.cooldown;
  }

  std::string WhyRefused(const PlannedOrder& order) const {
    RecordedOrder probe;
    probe.engine = order.engine;
    probe.kind = order.kind;
    probe.item = order.item;
    probe.covered_elsewhere = order.covered_elsewhere;
    return input_.ledger.WhyRefused(probe);
  }

  bool TryLoad(std::size_t model, std::size_t engine, std::string reason) {
    PlannedOrder order{engines_[engine].account->spec.engine,
                       PlacementOrderKind::kLoadModel,
                       ItemOf(input_.models[model]), false, std::move(reason)};
    if (loads_left_ == 0 || engines_[engine].ordered ||
        !WhyRefused(order).empty())
      return false;
    --loads_left_;
    engines_[engine].ordered = true;
    orders_.push_back(std::move(order));
    return true;
  }

  void SortEnginesByLoad() {
    by_load_.resize(engines_.size());
    for (std::size_t i = 0; i < by_load_.size(); ++i)
      by_load_[i] = i;
    std::sort(by_load_.begin(), by_load_.end(),
              [this](std::size_t a, std::size_t b) {
                return engines_[a].load < engines_[b].load;
              });
  }

  /// Engines by their free memory, the most first.
  std::vector<std::size_t> EnginesByRoom() const {
    std::vector<std::int64_t> room;
    for (const Engine& it : engines_) {
      const EngineSpec& spec = it.account->spec;
      const WorstCase worst = EngineLedger::WorstCaseOf(*it.account);
      room.push_back(static_cast<std::int64_t>(spec.memory_mb) -
                     static_cast<std::int64_t>(spec.reserve_mb) -
                     static_cast<std::int64_t>(worst.models_mb));
    }
    std::vector<std::size_t> order(engines_.size());
    for (std::size_t i = 0; i < order.size(); ++i)
      order[i] = i;
    std::sort(
        order.begin(), order.end(),
        [&room](std::size_t a, std::size_t b) { return room[a] > room[b]; });
    return order;
  }

  void KeepReachable(std::size_t index) {
    const ModelDemand& model = input_.models[index];
    if (!model.keep_reachable && model.tokens_per_second <= 0)
      return;
    if (copies_[index].count() > 0 || loads_left_ == 0)
      return;
    for (const std::size_t it : by_load_) {
      if (TryLoad(index, it, "no copy is reachable"))
        return;
    }
    // Then any surplus copy may go, whatever it carries.
    constexpr double kAnyShare = 1e6;
    for (const std::size_t it : EnginesByRoom()) {
      if (TryEvict(it, {.wanted_mb = 0,
                        .most_share = kAnyShare,
                        .reason = "room for a model without a copy"}))
        return;
    }
  }

  /// Unloads a version that the configuration no longer asks for, once the
  /// version asked for is confirmed, and a model that it no longer has.
  void DropOldVersion(Engine& engine) {
    for (const PlacedItem& it : engine.account->held) {
      if (it.is_adapter())
        continue;
      const auto model = model_index_.find(it.model);
      const bool wanted = model != model_index_.end() &&
                          (copies_[model->second].engines.empty() ||
                           input_.models[model->second].version == it.version);
      if (!wanted &&
          TryUnload(engine, it, "its version is no longer asked for"))
        return;
    }
  }

  bool TryUnload(Engine& engine, const PlacedItem& item, std::string reason) {
    const auto model = model_index_.find(item.model);
    const bool covered = model == model_index_.end() ||
                         !input_.models[model->second].keep_reachable;
    PlannedOrder order{engine.account->spec.engine,
                       PlacementOrderKind::kUnloadModel, item, covered,
                       std::move(reason)};
    if (engine.ordered || unloading_.contains(item.model) ||
        !WhyRefused(order).empty())
      return false;
    engine.ordered = true;
    unloading_.insert(item.model);
    orders_.push_back(std::move(order));
    return true;
  }

  /// What may be evicted, and what for.
  struct Eviction {
    std::uint64_t wanted_mb = 0;
    /// Most that each copy left by the eviction may come to carry.
    double most_share = 0;
    std::string reason;
  };

  /// Frees room on an engine by the copy that is missed least. The load
  /// follows in a later plan, when the engine has confirmed the unload.
  bool TryEvict(std::size_t engine, const Eviction& eviction) {
    Engine& it = engines_[engine];
    if (it.ordered || HasUnloadInFlight(*it.account))
      return true;
    std::vector<std::size_t> victims = it.models;
    std::sort(victims.begin(), victims.end(),
              [this](std::size_t a, std::size_t b) {
                return ShareWithout(a) < ShareWithout(b);
              });
    for (const std::size_t model : victims) {
      const ModelDemand& victim = input_.models[model];
      const bool must = eviction.wanted_mb == 0;
      if (ShareWithout(model) > eviction.most_share ||
          (!must && (IsCooling(victim.model) ||
                     victim.size_mb * 2 < eviction.wanted_mb)))
        continue;
      if (TryUnload(it, ItemOf(victim), eviction.reason))
        return true;
    }
    return false;
  }

  static bool HasUnloadInFlight(const EngineAccount& account) {
    return std::any_of(account.orders.begin(), account.orders.end(),
                       [](const RecordedOrder& it) {
                         return it.phase == OrderPhase::kInFlight &&
                                it.kind == PlacementOrderKind::kUnloadModel;
                       });
  }

  /// Load on each remaining copy if one went; large if none remained.
  double ShareWithout(std::size_t model) const {
    constexpr double kNever = 1e9;
    const std::size_t n = copies_[model].engines.size();
    if (n > 1 || MutantEnabled("last_copy_dropped"))
      return ShareOf(model, n - 1);
    const ModelDemand& it = input_.models[model];
    return it.keep_reachable || it.tokens_per_second > 0 ? kNever : 0;
  }

  void RelieveEngines() {
    const std::vector<std::size_t> order(by_load_.rbegin(), by_load_.rend());
    for (const std::size_t it : order) {
      if (engines_[it].load < config_.high_water || loads_left_ == 0)
        return;
      Relieve(it);
    }
  }

  void Relieve(std::size_t engine) {
    std::vector<std::size_t> models = engines_[engine].models;
    std::sort(models.begin(), models.end(),
              [this](std::size_t a, std::size_t b) {
                return ShareOf(a, copies_[a].count()) >
                       ShareOf(b, copies_[b].count());
              });
    for (const std::size_t model : models) {
      if (IsCooling(input_.models[model].model) || copies_[model].coming > 0)
        continue;
      if (TryAddCopy(model, engine))
        return;
    }
  }

  bool TryAddCopy(std::size_t model, std::size_t from) {
    const double share = ShareOf(model, copies_[model].count() + 1);
    const auto pays = [&](std::size_t to) {
      return engines_[to].load + share + config_.least_gain <
             engines_[from].load;
    };
    for (const std::size_t to : by_load_) {
      if (!pays(to))
        break;
      if (!TryLoad(model, to, "relieves " + NameOf(from)))
        continue;
      ++copies_[model].coming;
      engines_[to].load += share;
      SortEnginesByLoad();
      return true;
    }
    for (const std::size_t to : by_load_) {
      if (!pays(to))
        break;
      if (!engines_[to].account->Holds(ItemOf(input_.models[model])) &&
          TryEvict(to, {.wanted_mb = input_.models[model].size_mb,
                        .most_share = config_.low_water,
                        .reason = "room to relieve " + NameOf(from)}))
        return true;
    }
    return false;
  }

  const std::string& NameOf(std::size_t engine) const {
    return engines_[engine].account->spec.engine.value();
  }

  void PlaceAdapters() {
    adapter_loads_left_ =
        std::min(input_.adapter_loads_allowed, config_.max_adapter_orders);
    for (std::size_t i = 0; i < input_.models.size(); ++i) {
      for (const std::size_t engine : copies_[i].engines)
        PlaceAdaptersOn(engines_[engine], input_.models[i]);
    }
  }

  /// Gives an engine at most one adapter order: the most wanted adapter that
  /// it lacks, or the unload that makes room for it.
  void PlaceAdaptersOn(const Engine& engine, const ModelDemand& model) {
    if (adapter_loads_left_ == 0 || adapted_.contains(engine.account))
      return;
    const AdapterDemand* wanted = nullptr;
    for (const AdapterDemand& it : model.adapters) {
      const PlacedItem item = ItemOf(model, it);
      if (it.tokens_per_second > 0 && !engine.account->Holds(item) &&
          !HasOrderInFlight(*engine.account, item, false) &&
          (wanted == nullptr ||
           it.tokens_per_second > wanted->tokens_per_second))
        wanted = &it;
    }
    if (wanted == nullptr)
      return;
    PlannedOrder order{engine.account->spec.engine,
                       PlacementOrderKind::kLoadAdapter, ItemOf(model, *wanted),
                       false, "the adapter is asked for"};
    if (!WhyRefused(order).empty() &&
        !MakeRoomForAdapter(engine, *wanted, order))
      return;
    adapted_.insert(engine.account);
    --adapter_loads_left_;
    orders_.push_back(std::move(order));
  }

  /// Turns `order` into the unload of an adapter wanted less than half as
  /// much; false if there is none.
  bool MakeRoomForAdapter(const Engine& engine,
                          const AdapterDemand& wanted,
                          PlannedOrder& order) const {
    for (const PlacedItem& it : engine.account->held) {
      if (!it.is_adapter() || AdapterRate(it) * 2 >= wanted.tokens_per_second)
        continue;
      PlannedOrder unload{order.engine, PlacementOrderKind::kUnloadAdapter, it,
                          false, "room for an adapter asked for more"};
      if (!WhyRefused(unload).empty())
        continue;
      order = std::move(unload);
      return true;
    }
    return false;
  }

  double AdapterRate(const PlacedItem& item) const {
    const auto model = model_index_.find(item.model);
    if (model == model_index_.end())
      return 0;
    for (const AdapterDemand& it : input_.models[model->second].adapters) {
      if (it.adapter == item.adapter)
        return it.tokens_per_second;
    }
    return 0;
  }

  const MonoTime now_;
  const PlannerInput& input_;
  const PlannerConfig& config_;
  std::map<ModelId, std::size_t> model_index_;
  std::vector<Engine> engines_;
  std::vector<Copies> copies_;
  /// Engines by load, the least loaded first.
  std::vector<std::size_t> by_load_;
  std::set<ModelId> unloading_;
  std::set<const EngineAccount*> adapted_;
  std::size_t loads_left_ = 0;
  std::size_t adapter_loads_left_ = 0;
  std::vector<PlannedOrder> orders_;
};

}  // namespace

std::vector<PlannedOrder> PlanPlacement(MonoTime now,
                                        const PlannerInput& input,
                                        const PlannerConfig& config) {
  return Plan(now, input, config).Make();
}

Findings CheckPlacementFloor(const std::vector<ModelDemand>& models,
                             const std::vector<EngineSpec>& engines) {
  std::vector<std::uint64_t> room;
  for (const EngineSpec& it : engines)
    room.push_back(it.memory_mb - std::min(it.memory_mb, it.reserve_mb));
  std::vector<const ModelDemand*> by_size;
  for (const ModelDemand& it : models)
    by_size.push_back(&it);
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const ModelDemand* a, const ModelDemand* b) {
                     return a->size_mb > b->size_mb;
                   });
  Findings findings;
  for (const ModelDemand* model : by_size) {
    std::uint64_t* best = nullptr;
    for (std::uint64_t& it : room) {
      if (it >= model->size_mb && (best == nullptr || it < *best))
        best = &it;
    }
    if (best != nullptr) {
      *best -= model->size_mb;
      continue;
    }
    findings.push_back({{},
                        "model '" + model->model.value() + "' (" +
                            std::to_string(model->size_mb) +
                            " MB) finds no engine with room beside the others",
                        ""});
  }
  return findings;
}

}  // namespace mangoport
