#include "mangoport/placement/copy_planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Weight of the newest demand in the smoothed one, when it falls; a rise
/// counts at once.
constexpr double kDemandGain = 0.1;

/// Requests that are refused at once for want of a copy never wait: they are
/// seen by their arrivals.
constexpr double kLeastArrivalsPerSecond = 0.2;

/// What a place costs, to compare places: a load from the store, a copy to
/// drop first, and work that the engine has already.
constexpr double kStoreLoadCost = 4;
constexpr double kDiskLoadCost = 1;
constexpr double kVictimCost = 1;

bool Contains(const std::vector<ModelId>& list, const ModelId& model) {
  return std::find(list.begin(), list.end(), model) != list.end();
}

/// True if `id` was noted in `times` less than `span` ago.
bool IsWithin(MonoTime now,
              const std::map<ModelId, MonoTime>& times,
              const ModelId& id,
              Duration span) {
  const auto it = times.find(id);
  return it != times.end() && now - it->second < span;
}

ModelId AdapterName(const ModelId& model, const AdapterId& adapter) {
  return ModelId(model.value() + "/" + adapter.value());
}

}  // namespace

void CopyPlanner::Restart(MonoTime now) {
  missing_since_.clear();
  reservations_.clear();
  store_budget_ = 0;
  filled_at_ = now;
}

void CopyPlanner::FillStoreBudget(MonoTime now,
                                  const EngineCapacity& capacity) {
  const double rate =
      capacity.store_loads_per_second * settings_.store_rate_part;
  if (filled_at_) {
    const std::chrono::duration<double> passed = now - *filled_at_;
    store_budget_ =
        std::min(settings_.store_burst, store_budget_ + rate * passed.count());
  }
  filled_at_ = now;
}

double CopyPlanner::LoadPerPlace(const Model& model,
                                 const EngineCapacity& capacity,
                                 std::size_t copies) const {
  return model.load / (static_cast<double>(std::max<std::size_t>(copies, 1)) *
                       capacity.batch_size);
}

void CopyPlanner::Prepare(MonoTime now,
                          const EngineCapacity& capacity,
                          const std::vector<PlannedEngine>& engines,
                          const std::map<ModelId, CopyDemand>& demand) {
  models_.clear();
  engines_.clear();
  for (const ModelSpec& it : capacity.models) {
    Model& model = models_[it.model];
    model.spec = &it;
    const auto asked = demand.find(it.model);
    double load = 0;
    if (asked != demand.end()) {
      load = asked->second.running + asked->second.waiting;
      model.waiting = asked->second.waiting;
      model.arrivals_per_second = asked->second.arrivals_per_second;
    }
    double& smoothed = smoothed_[it.model];
    smoothed = std::max(load, smoothed + (load - smoothed) * kDemandGain);
    model.load = smoothed;
  }
  for (const PlannedEngine& it : engines) {
    if (it.entry.draining)
      continue;
    Engine engine;
    engine.source = &it;
    engine.taken = it.busy;
    for (const ResidentModel& held : it.entry.models)
      engine.models.push_back(held.model);
    if (it.pending_kind == PlacementOrderKind::kLoadModel &&
        !Contains(engine.models, it.pending_model))
      engine.models.push_back(it.pending_model);
    for (const ModelId& held : engine.models) {
      const auto model = models_.find(held);
      if (model == models_.end())
        continue;
      engine.used_mb += model->second.spec->weights_mb;
      const bool leaving =
          it.pending_kind == PlacementOrderKind::kUnloadModel &&
          it.pending_model == held;
      if (leaving)
        continue;
      ++model->second.copies;
      const bool loaded = it.pending_kind != PlacementOrderKind::kLoadModel ||
                          it.pending_model != held;
      model->second.held += it.certain && loaded ? 1 : 0;
    }
    const auto reserved = reservations_.find(it.entry.id);
    if (reserved != reservations_.end()) {
      const ModelId& model = reserved->second.model;
      if (now >= reserved->second.until || Contains(engine.models, model) ||
          !models_.contains(model)) {
        reservations_.erase(reserved);
      } else {
        // As good as loaded, so that no other engine makes room for it.
        ++models_.at(model).copies;
        engine.reserved_for = model;
      }
    }
    // Adapters share the memory; their places are counted full.
    std::uint64_t largest_adapter = 0;
    for (const ModelSpec& spec : capacity.models)
      largest_adapter = std::max(largest_adapter, spec.adapter_mb);
    engine.used_mb += largest_adapter * capacity.adapter_slots;
    engines_.push_back(std::move(engine));
  }
}

std::optional<ModelId> CopyPlanner::FindVictim(MonoTime now,
                                               const EngineCapacity& capacity,
                                               const Engine& engine,
                                               const ModelId& model,
                                               bool urgent) const {
  const Model& gaining = models_.at(model);
  const std::uint64_t needed = gaining.spec->weights_mb;
  const double most_load = std::max(
      settings_.low_load, LoadPerPlace(gaining, capacity, gaining.copies + 1) /
                              settings_.worthwhile_gain);
  std::optional<ModelId> best;
  double best_load = 0;
  for (const ModelId& it : engine.models) {
    const auto found = models_.find(it);
    if (found == models_.end() || it == model)
      continue;
    const Model& held = found->second;
    if (held.held < 2 && !MutantEnabled("last_copy_dropped"))
      continue;
    const std::uint64_t left =
        engine.used_mb - std::min(engine.used_mb, held.spec->weights_mb);
    if (left + needed > capacity.weights_mb)
      continue;
    if (!urgent && IsWithin(now, loaded_at_, it, settings_.cooldown))
      continue;
    const double load = LoadPerPlace(held, capacity, held.copies - 1);
    if (!urgent && load > most_load)
      continue;
    if (!best || load < best_load) {
      best = it;
      best_load = load;
    }
  }
  return best;
}

std::optional<CopyPlanner::Place> CopyPlanner::FindPlace(
    MonoTime now,
    const EngineCapacity& capacity,
    const ModelId& model,
    bool urgent) {
  const std::uint64_t needed = models_.at(model).spec->weights_mb;
  std::optional<Place> best;
  for (Engine& it : engines_) {
    if (it.taken || it.reserved_for || Contains(it.models, model))
      continue;
    Place place;
    place.engine = &it;
    const ServerEntry& entry = it.source->entry;
    place.from_store = !Contains(entry.models_in_memory, model) &&
                       !Contains(entry.models_on_disk, model);
    if (place.from_store)
      place.cost += kStoreLoadCost;
    else if (!Contains(entry.models_in_memory, model))
      place.cost += kDiskLoadCost;
    if (it.used_mb + needed > capacity.weights_mb) {
      place.victim = FindVictim(now, capacity, it, model, urgent);
      if (!place.victim)
        continue;
      place.cost += kVictimCost;
    }
    // The work that the engine shares between its models.
    for (const ModelId& held : it.models) {
      const auto found = models_.find(held);
      if (found != models_.end())
        place.cost +=
            LoadPerPlace(found->second, capacity, found->second.copies);
    }
    if (!best || place.cost < best->cost)
      best = place;
  }
  return best;
}

bool CopyPlanner::Order(MonoTime now,
                        const Place& place,
                        const ModelId& model,
                        std::string reason,
                        std::vector<CopyOrder>& out) {
  CopyOrder order;
  order.engine = place.engine->source->entry.id;
  order.reason = std::move(reason);
  place.engine->taken = true;
  if (place.victim) {
    order.kind = PlacementOrderKind::kUnloadModel;
    order.model = *place.victim;
    order.reason += ", room for " + model.value();
    --models_.at(*place.victim).copies;
    --models_.at(*place.victim).held;
    dropped_at_[*place.victim] = now;
    reservations_[order.engine] = {.model = model,
                                   .until = now + settings_.reservation};
    ++models_.at(model).copies;
    out.push_back(std::move(order));
    return true;
  }
  if (place.from_store && store_budget_ < 1)
    return false;
  if (place.from_store)
    store_budget_ -= 1;
  order.kind = PlacementOrderKind::kLoadModel;
  order.model = model;
  order.from_store = place.from_store;
  ++models_.at(model).copies;
  place.engine->models.push_back(model);
  loaded_at_[model] = now;
  out.push_back(std::move(order));
  return true;
}

void CopyPlanner::PlanReserved(MonoTime now,
                               const EngineCapacity& capacity,
                               std::vector<CopyOrder>& out) {
  for (Engine& it : engines_) {
    if (it.taken || !it.reserved_for)
      continue;
    const ModelId model = *it.reserved_for;
    const ServerEntry& entry = it.source->entry;
    if (it.used_mb + models_.at(model).spec->weights_mb > capacity.weights_mb) {
      // The copy that should have made room is still there.
      --models_.at(model).copies;
      reservations_.erase(entry.id);
      it.reserved_for.reset();
      continue;
    }
    Place place;
    place.engine = &it;
    place.from_store = !Contains(entry.models_in_memory, model) &&
                       !Contains(entry.models_on_disk, model);
    // Counted in already.
    --models_.at(model).copies;
    if (!Order(now, place, model, "reserved", out))
      ++models_.at(model).copies;
  }
}

bool CopyPlanner::IsWanted(const Model& model) {
  return model.waiting > 0 ||
         model.arrivals_per_second > kLeastArrivalsPerSecond;
}

void CopyPlanner::PlanMissing(MonoTime now,
                              const EngineCapacity& capacity,
                              std::vector<CopyOrder>& out) {
  std::vector<ModelId> missing;
  for (const auto& [id, model] : models_) {
    if (model.copies > 0) {
      missing_since_.erase(id);
      continue;
    }
    const MonoTime since = missing_since_.try_emplace(id, now).first->second;
    if (IsWanted(model) || now - since >= settings_.missing_grace)
      missing.push_back(id);
  }
  std::sort(missing.begin(), missing.end(),
            [this](const ModelId& a, const ModelId& b) {
              const Model& x = models_.at(a);
              const Model& y = models_.at(b);
              return x.waiting + x.arrivals_per_second >
                     y.waiting + y.arrivals_per_second;
            });
  for (const ModelId& it : missing)
    PlanCopy(now, capacity, it, /*urgent=*/IsWanted(models_.at(it)), "no copy",
             out);
}

bool CopyPlanner::AwaitRoom(MonoTime now,
                            const EngineCapacity& capacity,
                            const ModelId& model) {
  Model& gaining = models_.at(model);
  for (Engine& it : engines_) {
    const bool loads =
        it.source->pending_kind == PlacementOrderKind::kLoadModel;
    const bool fits =
        it.used_mb + gaining.spec->weights_mb <= capacity.weights_mb;
    if (!it.taken || !loads || it.reserved_for || !fits ||
        Contains(it.models, model))
      continue;
    it.reserved_for = model;
    reservations_[it.source->entry.id] = {.model = model,
                                          .until = now + settings_.reservation};
    ++gaining.copies;
    return true;
  }
  return false;
}

void CopyPlanner::PlanCopy(MonoTime now,
                           const EngineCapacity& capacity,
                           const ModelId& model,
                           bool urgent,
                           const std::string& reason,
                           std::vector<CopyOrder>& out) {
  const std::optional<Place> place = FindPlace(now, capacity, model, urgent);
  if ((!place || place->victim) && AwaitRoom(now, capacity, model))
    return;
  if (place)
    Order(now, *place, model, reason, out);
}

bool CopyPlanner::MayGrow(MonoTime now,
                          const EngineCapacity& capacity,
                          const ModelId& model) const {
  if (IsWithin(now, dropped_at_, model, settings_.cooldown))
    return false;
  const Model& it = models_.at(model);
  return LoadPerPlace(it, capacity, it.copies) > settings_.overload ||
         !IsWithin(now, loaded_at_, model, settings_.cooldown);
}

void CopyPlanner::PlanBusy(MonoTime now,
                           const EngineCapacity& capacity,
                           std::vector<CopyOrder>& out) {
  std::vector<ModelId> busy;
  for (const auto& [id, model] : models_) {
    if (model.copies > 0 && MayGrow(now, capacity, id) &&
        LoadPerPlace(model, capacity, model.copies) > settings_.high_load)
      busy.push_back(id);
  }
  std::sort(busy.begin(), busy.end(), [&](const ModelId& a, const ModelId& b) {
    const Model& x = models_.at(a);
    const Model& y = models_.at(b);
    return LoadPerPlace(x, capacity, x.copies) >
           LoadPerPlace(y, capacity, y.copies);
  });
  for (const ModelId& it : busy)
    PlanCopy(now, capacity, it, /*urgent=*/false, "busy", out);
}

void CopyPlanner::PlanAdapters(MonoTime now,
                               const EngineCapacity& capacity,
                               const std::map<ModelId, CopyDemand>& demand,
                               std::vector<CopyOrder>& out) {
  const auto load_of = [&demand](const ModelId& name) {
    const auto it = demand.find(name);
    if (it == demand.end())
      return 0.0;
    return it->second.running + 10 * it->second.waiting +
           it->second.arrivals_per_second;
  };
  std::map<ModelId, std::size_t> holders;
  for (const Engine& it : engines_) {
    for (const ResidentModel& held : it.source->entry.models) {
      for (const AdapterId& adapter : held.adapters)
        ++holders[AdapterName(held.model, adapter)];
    }
  }
  struct Wanted {
    ModelId model;
    AdapterId adapter;
    ModelId name;
    double load;
    std::size_t copies;
  };
  std::vector<Wanted> wanted;
  for (const auto& [id, model] : models_) {
    for (std::uint32_t i = 1; i <= model.spec->adapter_count; ++i) {
      Wanted it{.model = id,
                .adapter = AdapterId("a" + std::to_string(i)),
                .name = {},
                .load = 0,
                .copies = 0};
      it.name = AdapterName(id, it.adapter);
      it.load = load_of(it.name);
      if (it.load > 0)
        adapter_used_at_[it.name] = now;
      const auto held = holders.find(it.name);
      it.copies = held == holders.end() ? 0 : held->second;
      wanted.push_back(std::move(it));
    }
  }
  // Those without a copy first, then those whose copies have most to do.
  std::sort(wanted.begin(), wanted.end(), [](const Wanted& a, const Wanted& b) {
    const double x = a.load / static_cast<double>(a.copies + 1);
    const double y = b.load / static_cast<double>(b.copies + 1);
    return std::pair(a.copies == 0, x) > std::pair(b.copies == 0, y);
  });
  for (const Wanted& it : wanted) {
    if (it.copies > 0 && it.load <= 0)
      continue;
    Engine* best = nullptr;
    std::size_t best_count = 0;
    for (Engine& engine : engines_) {
      if (engine.taken || engine.reserved_for)
        continue;
      std::size_t count = 0;
      bool has_model = false;
      bool has_adapter = false;
      for (const ResidentModel& held : engine.source->entry.models) {
        count += held.adapters.size();
        if (held.model != it.model)
          continue;
        has_model = true;
        has_adapter = std::find(held.adapters.begin(), held.adapters.end(),
                                it.adapter) != held.adapters.end();
      }
      if (!has_model || has_adapter)
        continue;
      if (!best || count < best_count) {
        best = &engine;
        best_count = count;
      }
    }
    if (!best)
      continue;
    CopyOrder order;
    order.engine = best->source->entry.id;
    if (best_count < capacity.adapter_slots) {
      order.kind = PlacementOrderKind::kLoadAdapter;
      order.model = it.model;
      order.adapter = it.adapter;
      order.reason = it.copies == 0 ? "no copy" : "busy";
      best->taken = true;
      out.push_back(std::move(order));
      continue;
    }
    if (it.copies > 0 || it.load <= 0)
      continue;
    // All places are taken: the adapter that is asked for least makes room.
    std::optional<std::pair<ModelId, AdapterId>> victim;
    double victim_load = 0;
    for (const ResidentModel& held : best->source->entry.models) {
      for (const AdapterId& adapter : held.adapters) {
        const ModelId name = AdapterName(held.model, adapter);
        const auto used = adapter_used_at_.find(name);
        const bool idle = used == adapter_used_at_.end() ||
                          now - used->second > settings_.adapter_idle;
        const double load = load_of(name);
        if (!idle && holders[name] < 2)
          continue;
        if (!victim || load < victim_load) {
          victim = std::pair(held.model, adapter);
          victim_load = load;
        }
      }
    }
    if (!victim)
      continue;
    order.kind = PlacementOrderKind::kUnloadAdapter;
    order.model = victim->first;
    order.adapter = victim->second;
    order.reason = "room for " + it.name.value();
    best->taken = true;
    out.push_back(std::move(order));
  }
}

std::vector<CopyOrder> CopyPlanner::Plan(
    MonoTime now,
    const EngineCapacity& capacity,
    const std::vector<PlannedEngine>& engines,
    const std::map<ModelId, CopyDemand>& demand) {
  FillStoreBudget(now, capacity);
  Prepare(now, capacity, engines, demand);
  std::vector<CopyOrder> out;
  PlanReserved(now, capacity, out);
  PlanMissing(now, capacity, out);
  PlanAdapters(now, capacity, demand, out);
  PlanBusy(now, capacity, out);
  return out;
}

}  // namespace mangoport
