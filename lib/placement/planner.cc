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

bool HasOrderInFlight(const EngineLedgerEntry& entry,
                      const PlacedItem& item,
                      bool unload) {
  return std::any_of(
      entry.orders.begin(), entry.orders.end(), [&](const RecordedOrder& it) {
        return it.phase == OrderPhase::kInFlight &&
               IsUnload(it.kind) == unload && it.item.SameAs(item);
      });
}

/// One planning run. The members hold the state of the plan under construction.
class Plan {
 public:
  Plan(MonoTime now, const PlannerInput& input, const PlannerConfig& config)
      : now_(now), input_(input), config_(config) {
    CountCopies();
    DistributeLoad();
  }

  std::vector<PlannedOrder> Run() {
    loads_left_ = input_.loads_allowed;
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      if (copies_[i].any_version == 0)
        EnsureReachable(i);
    }
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      if (copies_[i].any_version > 0)
        EnsureReachable(i);
    }
    for (Engine& it : engines_)
      UnloadObsoleteVersion(it);
    ReduceOverload();
    PlaceAdapters();
    return std::move(orders_);
  }

 private:
  struct Engine {
    const EngineLedgerEntry* entry = nullptr;
    double load = 0;
    /// An engine gets at most one model order per plan, because the next order
    /// is validated against the ledger with this one recorded.
    bool ordered = false;
    std::vector<std::size_t> models;
  };

  struct Copies {
    /// Engines with fresh reports that hold a confirmed copy not being
    /// unloaded.
    std::vector<std::size_t> engines;
    /// Copies being loaded, and held copies that no fresh report confirms.
    std::size_t pending = 0;
    /// Copies of any version, including pending ones.
    std::size_t any_version = 0;

    std::size_t count() const { return engines.size() + pending; }
  };

  void CountCopies() {
    for (std::size_t i = 0; i < input_.models.size(); ++i)
      model_index_[input_.models[i].model] = i;
    copies_.resize(input_.models.size());
    for (const auto& [id, entry] : input_.ledger.engines()) {
      const auto report = input_.reports.find(id);
      if (report == input_.reports.end()) {
        if (input_.active_engines.contains(id))
          CountUnconfirmed(entry.held);
        continue;
      }
      const std::size_t engine = engines_.size();
      engines_.push_back({&entry, 0, false, {}});
      for (const PlacedItem& it : entry.held) {
        if (Contains(*report->second, it))
          CountHeld(engine, it);
        else
          CountUnconfirmed({it});
      }
      for (const RecordedOrder& it : entry.orders)
        CountPendingLoad(it);
    }
  }

  void CountHeld(std::size_t engine, const PlacedItem& item) {
    if (HasOrderInFlight(*engines_[engine].entry, item, true))
      return;
    const auto found = model_index_.find(item.model);
    if (found != model_index_.end() && !item.is_adapter())
      ++copies_[found->second].any_version;
    const std::optional<std::size_t> model = IndexOf(item);
    if (!model)
      return;
    copies_[*model].engines.push_back(engine);
    engines_[engine].models.push_back(*model);
  }

  void CountUnconfirmed(const std::vector<PlacedItem>& items) {
    for (const PlacedItem& it : items) {
      const auto found = model_index_.find(it.model);
      if (found == model_index_.end() || it.is_adapter())
        continue;
      ++copies_[found->second].any_version;
      if (IndexOf(it))
        ++copies_[found->second].pending;
    }
  }

  void CountPendingLoad(const RecordedOrder& order) {
    const std::optional<std::size_t> model = IndexOf(order.item);
    if (model && order.phase == OrderPhase::kInFlight &&
        order.kind == PlacementOrderKind::kLoadModel) {
      ++copies_[*model].pending;
      ++copies_[*model].any_version;
    }
  }

  /// Returns the index of the item's model, or nullopt if the item is an
  /// adapter or does not have the configured version.
  std::optional<std::size_t> IndexOf(const PlacedItem& item) const {
    const auto it = model_index_.find(item.model);
    if (item.is_adapter() || it == model_index_.end() ||
        input_.models[it->second].version != item.version)
      return std::nullopt;
    return it->second;
  }

  void DistributeLoad() {
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      for (const std::size_t engine : copies_[i].engines)
        engines_[engine].load += LoadPerCopy(i, copies_[i].count());
    }
    SortEnginesByLoad();
  }

  /// Returns the load on each of `n` copies, as a fraction of an engine's rate.
  double LoadPerCopy(std::size_t model, std::size_t n) const {
    return input_.models[model].tokens_per_second /
           config_.engine_tokens_per_second /
           static_cast<double>(std::max<std::size_t>(1, n));
  }

  bool IsInCooldown(const ModelId& model) const {
    const auto it = input_.model_changed_at.find(model);
    return it != input_.model_changed_at.end() &&
           now_ < it->second + config_.cooldown;
  }

  std::string RejectionReason(const PlannedOrder& order) const {
    RecordedOrder probe;
    probe.engine = order.engine;
    probe.kind = order.kind;
    probe.item = order.item;
    probe.covered_elsewhere = order.covered_elsewhere;
    return input_.ledger.RejectionReason(probe);
  }

  bool TryLoad(std::size_t model, std::size_t engine, std::string reason) {
    PlannedOrder order{engines_[engine].entry->spec.engine,
                       PlacementOrderKind::kLoadModel,
                       ItemOf(input_.models[model]), false, std::move(reason)};
    if (loads_left_ == 0 || engines_[engine].ordered ||
        !RejectionReason(order).empty())
      return false;
    --loads_left_;
    engines_[engine].ordered = true;
    orders_.push_back(std::move(order));
    return true;
  }

  void SortEnginesByLoad() {
    engines_by_load_.resize(engines_.size());
    for (std::size_t i = 0; i < engines_by_load_.size(); ++i)
      engines_by_load_[i] = i;
    std::sort(engines_by_load_.begin(), engines_by_load_.end(),
              [this](std::size_t a, std::size_t b) {
                return engines_[a].load < engines_[b].load;
              });
  }

  /// Returns the engines in descending order of free memory.
  std::vector<std::size_t> EnginesByFreeMemory() const {
    std::vector<std::int64_t> free_mb;
    for (const Engine& it : engines_) {
      const EngineSpec& spec = it.entry->spec;
      const MemoryUsage worst = EngineLedger::WorstCaseUsage(*it.entry);
      free_mb.push_back(static_cast<std::int64_t>(spec.memory_mb) -
                        static_cast<std::int64_t>(spec.reserve_mb) -
                        static_cast<std::int64_t>(worst.models_mb));
    }
    std::vector<std::size_t> order(engines_.size());
    for (std::size_t i = 0; i < order.size(); ++i)
      order[i] = i;
    std::sort(order.begin(), order.end(),
              [&free_mb](std::size_t a, std::size_t b) {
                return free_mb[a] > free_mb[b];
              });
    return order;
  }

  void EnsureReachable(std::size_t index) {
    const ModelDemand& model = input_.models[index];
    if (!model.keep_reachable && model.tokens_per_second <= 0)
      return;
    if (copies_[index].count() > 0 || loads_left_ == 0)
      return;
    for (const std::size_t it : engines_by_load_) {
      if (TryLoad(index, it, "no copy is reachable"))
        return;
    }
    // No engine can load the model: evict any surplus copy, whatever its load.
    constexpr double kUnlimitedLoad = 1e6;
    for (const std::size_t it : EnginesByFreeMemory()) {
      if (TryEvict(it, {.needed_mb = 0,
                        .max_load_per_copy = kUnlimitedLoad,
                        .reason = "frees memory for a model without a copy"}))
        return;
    }
  }

  /// Unloads a version that is no longer configured once the configured version
  /// is confirmed, and a model that is no longer configured.
  void UnloadObsoleteVersion(Engine& engine) {
    for (const PlacedItem& it : engine.entry->held) {
      if (it.is_adapter())
        continue;
      const auto model = model_index_.find(it.model);
      const bool wanted = model != model_index_.end() &&
                          (copies_[model->second].engines.empty() ||
                           input_.models[model->second].version == it.version);
      if (!wanted &&
          TryUnload(engine, it, "the version is no longer configured"))
        return;
    }
  }

  bool TryUnload(Engine& engine, const PlacedItem& item, std::string reason) {
    const auto model = model_index_.find(item.model);
    const bool covered = model == model_index_.end() ||
                         !input_.models[model->second].keep_reachable;
    PlannedOrder order{engine.entry->spec.engine,
                       PlacementOrderKind::kUnloadModel, item, covered,
                       std::move(reason)};
    if (engine.ordered || unloading_.contains(item.model) ||
        !RejectionReason(order).empty())
      return false;
    engine.ordered = true;
    unloading_.insert(item.model);
    orders_.push_back(std::move(order));
    return true;
  }

  /// Conditions for an eviction.
  struct Eviction {
    /// Memory needed. The victim must have at least half this size. 0 for a
    /// model without a copy, for which any size may be evicted and the cooldown
    /// does not apply.
    std::uint64_t needed_mb = 0;
    /// Maximum load of each remaining copy of the evicted model.
    double max_load_per_copy = 0;
    std::string reason;
  };

  /// Frees memory on an engine by unloading the copy whose eviction leaves the
  /// least load per remaining copy. A later plan orders the load, after the
  /// engine has confirmed the unload. Returns true if an unload is planned, or
  /// if the engine already has a planned model order or an unload in flight.
  bool TryEvict(std::size_t engine, const Eviction& eviction) {
    Engine& it = engines_[engine];
    if (it.ordered || HasUnloadInFlight(*it.entry))
      return true;
    std::vector<std::size_t> victims = it.models;
    std::sort(
        victims.begin(), victims.end(), [this](std::size_t a, std::size_t b) {
          return LoadPerCopyAfterEviction(a) < LoadPerCopyAfterEviction(b);
        });
    for (const std::size_t model : victims) {
      const ModelDemand& victim = input_.models[model];
      const bool mandatory = eviction.needed_mb == 0;
      if (LoadPerCopyAfterEviction(model) > eviction.max_load_per_copy ||
          (!mandatory && (IsInCooldown(victim.model) ||
                          victim.size_mb * 2 < eviction.needed_mb)))
        continue;
      if (TryUnload(it, ItemOf(victim), eviction.reason))
        return true;
    }
    return false;
  }

  static bool HasUnloadInFlight(const EngineLedgerEntry& entry) {
    return std::any_of(entry.orders.begin(), entry.orders.end(),
                       [](const RecordedOrder& it) {
                         return it.phase == OrderPhase::kInFlight &&
                                it.kind == PlacementOrderKind::kUnloadModel;
                       });
  }

  /// Returns the load on each remaining copy after one is evicted, or a large
  /// value if none may be.
  double LoadPerCopyAfterEviction(std::size_t model) const {
    constexpr double kNotEvictable = 1e9;
    const std::size_t n = copies_[model].engines.size();
    if (n > 1 || MutantEnabled("last_copy_dropped"))
      return LoadPerCopy(model, n - 1);
    const ModelDemand& it = input_.models[model];
    return it.keep_reachable || it.tokens_per_second > 0 ? kNotEvictable : 0;
  }

  void ReduceOverload() {
    const std::vector<std::size_t> order(engines_by_load_.rbegin(),
                                         engines_by_load_.rend());
    for (const std::size_t it : order) {
      if (engines_[it].load < config_.high_water || loads_left_ == 0)
        return;
      ReduceLoadOf(it);
    }
  }

  void ReduceLoadOf(std::size_t engine) {
    std::vector<std::size_t> models = engines_[engine].models;
    std::sort(models.begin(), models.end(),
              [this](std::size_t a, std::size_t b) {
                return LoadPerCopy(a, copies_[a].count()) >
                       LoadPerCopy(b, copies_[b].count());
              });
    for (const std::size_t model : models) {
      if (IsInCooldown(input_.models[model].model) ||
          copies_[model].pending > 0)
        continue;
      if (TryAddCopy(model, engine))
        return;
    }
  }

  bool TryAddCopy(std::size_t model, std::size_t from) {
    const double added_load = LoadPerCopy(model, copies_[model].count() + 1);
    const auto worthwhile = [&](std::size_t to) {
      return engines_[to].load + added_load + config_.min_load_difference <
             engines_[from].load;
    };
    for (const std::size_t to : engines_by_load_) {
      if (!worthwhile(to))
        break;
      if (!TryLoad(model, to, "reduces the load of " + NameOf(from)))
        continue;
      ++copies_[model].pending;
      engines_[to].load += added_load;
      SortEnginesByLoad();
      return true;
    }
    for (const std::size_t to : engines_by_load_) {
      if (!worthwhile(to))
        break;
      if (!engines_[to].entry->Holds(ItemOf(input_.models[model])) &&
          TryEvict(to, {.needed_mb = input_.models[model].size_mb,
                        .max_load_per_copy = config_.low_water,
                        .reason = "frees memory to reduce the load of " +
                                  NameOf(from)}))
        return true;
    }
    return false;
  }

  const std::string& NameOf(std::size_t engine) const {
    return engines_[engine].entry->spec.engine.value();
  }

  void PlaceAdapters() {
    adapter_loads_left_ =
        std::min(input_.adapter_loads_allowed, config_.max_adapter_orders);
    for (std::size_t i = 0; i < input_.models.size(); ++i) {
      for (const std::size_t engine : copies_[i].engines)
        PlaceAdaptersOn(engines_[engine], input_.models[i]);
    }
  }

  /// Plans at most one adapter order for an engine: the load of the missing
  /// adapter with the most demand, or an unload that frees memory for it.
  void PlaceAdaptersOn(const Engine& engine, const ModelDemand& model) {
    if (adapter_loads_left_ == 0 ||
        engines_with_adapter_order_.contains(engine.entry))
      return;
    const AdapterDemand* wanted = nullptr;
    for (const AdapterDemand& it : model.adapters) {
      const PlacedItem item = ItemOf(model, it);
      if (it.tokens_per_second > 0 && !engine.entry->Holds(item) &&
          !HasOrderInFlight(*engine.entry, item, false) &&
          (wanted == nullptr ||
           it.tokens_per_second > wanted->tokens_per_second))
        wanted = &it;
    }
    if (wanted == nullptr)
      return;
    PlannedOrder order{engine.entry->spec.engine,
                       PlacementOrderKind::kLoadAdapter, ItemOf(model, *wanted),
                       false, "the adapter has demand"};
    if (!RejectionReason(order).empty() &&
        !ReplaceWithAdapterUnload(engine, *wanted, order))
      return;
    engines_with_adapter_order_.insert(engine.entry);
    --adapter_loads_left_;
    orders_.push_back(std::move(order));
  }

  /// Replaces `order` by the unload of an adapter with less than half the
  /// demand. Returns false if there is none.
  bool ReplaceWithAdapterUnload(const Engine& engine,
                                const AdapterDemand& wanted,
                                PlannedOrder& order) const {
    for (const PlacedItem& it : engine.entry->held) {
      if (!it.is_adapter() || AdapterRate(it) * 2 >= wanted.tokens_per_second)
        continue;
      PlannedOrder unload{order.engine, PlacementOrderKind::kUnloadAdapter, it,
                          false,
                          "frees memory for an adapter with more demand"};
      if (!RejectionReason(unload).empty())
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
  /// Engine indices in ascending order of load.
  std::vector<std::size_t> engines_by_load_;
  std::set<ModelId> unloading_;
  std::set<const EngineLedgerEntry*> engines_with_adapter_order_;
  std::size_t loads_left_ = 0;
  std::size_t adapter_loads_left_ = 0;
  std::vector<PlannedOrder> orders_;
};

}  // namespace

std::vector<PlannedOrder> PlanPlacement(MonoTime now,
                                        const PlannerInput& input,
                                        const PlannerConfig& config) {
  return Plan(now, input, config).Run();
}

}  // namespace mangoport
