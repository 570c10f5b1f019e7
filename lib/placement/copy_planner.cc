#include "mangoport/placement/copy_planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangoport {
namespace {

/// Weight of a new sample in the smoothed demand when demand falls. A rise
/// takes effect immediately.
constexpr double kDemandSmoothing = 0.1;

/// Arrival rate above which a model has demand. Requests that are rejected
/// immediately because no copy exists never wait, so only their arrivals count.
constexpr double kMinArrivalsPerSecond = 0.2;

/// Arrival rate up to which a model or adapter without requests counts as idle.
/// The rate only approaches zero after the last request.
constexpr double kMinArrivalsInUse = 0.05;

/// Relative costs for comparing target engines: a load from the weight store, a
/// load from local disk, and an eviction. The engine's present load is added.
constexpr double kStoreLoadCost = 4;
constexpr double kDiskLoadCost = 1;
constexpr double kEvictionCost = 1;

bool Contains(const std::vector<ModelId>& list, const ModelId& model) {
  return std::find(list.begin(), list.end(), model) != list.end();
}

}  // namespace

bool CopyPlanner::IsWithin(MonoTime now,
                           const std::map<ModelId, MonoTime>& times,
                           const ModelId& id,
                           Duration span) {
  const auto it = times.find(id);
  return it != times.end() && now - it->second < span;
}

void CopyPlanner::Restart(MonoTime now) {
  missing_since_.clear();
  model_used_at_.clear();
  unserved_.clear();
  turn_rates_.clear();
  counted_at_.reset();
  reservations_.clear();
  store_budget_ = 0;
  refilled_at_ = now;
}

void CopyPlanner::RefillStoreBudget(MonoTime now,
                                    const EngineCapacity& capacity) {
  const double rate =
      capacity.store_loads_per_second * settings_.store_rate_fraction;
  if (refilled_at_) {
    const std::chrono::duration<double> passed = now - *refilled_at_;
    store_budget_ =
        std::min(settings_.store_burst, store_budget_ + rate * passed.count());
  }
  refilled_at_ = now;
}

double CopyPlanner::LoadPerSlot(const Model& model,
                                const EngineCapacity& capacity,
                                std::size_t copies) const {
  const auto n = static_cast<double>(std::max<std::size_t>(copies, 1));
  const double slots = model.load / (n * capacity.batch_size);
  return std::max(slots, model.work / n);
}

void CopyPlanner::Prepare(MonoTime now,
                          const EngineCapacity& capacity,
                          const std::vector<PlannedEngine>& engines,
                          const std::map<ModelId, CopyDemand>& demand) {
  models_.clear();
  engines_.clear();
  short_of_adapter_slots_.clear();
  for (const ModelSpec& it : capacity.models) {
    Model& model = models_[it.model];
    model.spec = &it;
    const auto current = demand.find(it.model);
    double load = 0;
    double work = 0;
    if (current != demand.end()) {
      work = current->second.work;
      load = current->second.running + current->second.waiting;
      model.in_progress = load;
      model.waiting = current->second.waiting;
      model.arrivals_per_second = current->second.arrivals_per_second;
    }
    double& smoothed = smoothed_load_[it.model];
    smoothed = std::max(load, smoothed + (load - smoothed) * kDemandSmoothing);
    model.load = smoothed;
    double& smoothed_work = smoothed_work_[it.model];
    smoothed_work = std::max(
        work, smoothed_work + (work - smoothed_work) * kDemandSmoothing);
    model.work = smoothed_work;
    // The holder does not know of earlier demand when it starts.
    const auto used = model_used_at_.try_emplace(it.model, now).first;
    if (current != demand.end() && IsInUse(current->second))
      used->second = now;
  }
  for (const PlannedEngine& it : engines) {
    if (it.entry.draining)
      continue;
    Engine engine;
    engine.source = &it;
    engine.has_order = it.busy;
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
      const bool unloading =
          it.pending_kind == PlacementOrderKind::kUnloadModel &&
          it.pending_model == held;
      if (unloading)
        continue;
      ++model->second.copies;
      const bool loaded = it.pending_kind != PlacementOrderKind::kLoadModel ||
                          it.pending_model != held;
      model->second.held += it.state_known && loaded ? 1 : 0;
    }
    const auto reserved = reservations_.find(it.entry.id);
    if (reserved != reservations_.end()) {
      const ModelId& model = reserved->second.model;
      if (now >= reserved->second.until || Contains(engine.models, model) ||
          !models_.contains(model)) {
        reservations_.erase(reserved);
      } else {
        // Counts as loaded, so that no other engine frees memory for it.
        ++models_.at(model).copies;
        engine.reserved_for = model;
      }
    }
    engine.used_mb += AdapterMemory(capacity);
    engines_.push_back(std::move(engine));
  }
  short_of_room_ = !FitOnEngines(capacity, engines_.size());
  CountUnserved(now);
}

std::optional<CopyPlanner::LoadTarget> CopyPlanner::FindTarget(
    MonoTime now,
    const EngineCapacity& capacity,
    const ModelId& model,
    bool urgent) {
  const std::uint64_t needed = models_.at(model).spec->weights_mb;
  std::optional<LoadTarget> best;
  for (Engine& it : engines_) {
    if (it.has_order || it.reserved_for || Contains(it.models, model))
      continue;
    LoadTarget target;
    target.engine = &it;
    const ServerEntry& entry = it.source->entry;
    target.from_store = !Contains(entry.models_in_memory, model) &&
                        !Contains(entry.models_on_disk, model);
    if (target.from_store)
      target.cost += kStoreLoadCost;
    else if (!Contains(entry.models_in_memory, model))
      target.cost += kDiskLoadCost;
    if (it.used_mb + needed > capacity.weights_mb) {
      const std::optional<Victim> victim =
          FindVictim(now, capacity, it, model, urgent);
      if (!victim)
        continue;
      target.victim = victim->model;
      target.cost += kEvictionCost + victim->load;
    }
    // Its adapter slots too.
    if (models_.at(model).spec->adapter_count > 0) {
      const double used = AdapterSlotsUsed(it, capacity);
      if (used >= 1 && short_of_adapter_slots_.contains(model))
        continue;
      target.cost += used;
    }
    // The engine divides its capacity between its models.
    for (const ModelId& held : it.models) {
      const auto found = models_.find(held);
      if (found != models_.end())
        target.cost +=
            LoadPerSlot(found->second, capacity, found->second.copies);
    }
    if (!best || target.cost < best->cost)
      best = target;
  }
  return best;
}

bool CopyPlanner::AppendOrder(MonoTime now,
                              const LoadTarget& target,
                              const ModelId& model,
                              std::string reason,
                              std::vector<CopyOrder>& out) {
  CopyOrder order;
  order.engine = target.engine->source->entry.id;
  order.reason = std::move(reason);
  target.engine->has_order = true;
  if (target.victim) {
    order.kind = PlacementOrderKind::kUnloadModel;
    order.model = *target.victim;
    order.reason += ", room for " + model.value();
    --models_.at(*target.victim).copies;
    --models_.at(*target.victim).held;
    unloaded_at_[*target.victim] = now;
    reservations_[order.engine] = {
        .model = model, .until = now + settings_.reservation_timeout};
    ++models_.at(model).copies;
    out.push_back(std::move(order));
    return true;
  }
  if (target.from_store && store_budget_ < 1)
    return false;
  if (target.from_store)
    store_budget_ -= 1;
  order.kind = PlacementOrderKind::kLoadModel;
  order.model = model;
  order.from_store = target.from_store;
  ++models_.at(model).copies;
  target.engine->models.push_back(model);
  loaded_at_[model] = now;
  out.push_back(std::move(order));
  return true;
}

void CopyPlanner::PlanReserved(MonoTime now,
                               const EngineCapacity& capacity,
                               std::vector<CopyOrder>& out) {
  for (Engine& it : engines_) {
    if (it.has_order || !it.reserved_for)
      continue;
    const ModelId model = *it.reserved_for;
    const ServerEntry& entry = it.source->entry;
    if (it.used_mb + models_.at(model).spec->weights_mb > capacity.weights_mb) {
      // The copy that was to be unloaded is still loaded.
      --models_.at(model).copies;
      reservations_.erase(entry.id);
      it.reserved_for.reset();
      continue;
    }
    LoadTarget target;
    target.engine = &it;
    target.from_store = !Contains(entry.models_in_memory, model) &&
                        !Contains(entry.models_on_disk, model);
    // The reservation already counts as a copy.
    --models_.at(model).copies;
    if (!AppendOrder(now, target, model, "reserved", out))
      ++models_.at(model).copies;
  }
}

bool CopyPlanner::IsInUse(const CopyDemand& demand) {
  return demand.running > 0 || demand.waiting > 0 ||
         demand.arrivals_per_second > kMinArrivalsInUse;
}

bool CopyPlanner::HasDemand(const Model& model) {
  return model.waiting > 0 || model.arrivals_per_second > kMinArrivalsPerSecond;
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
    if (HasDemand(model) || now - since >= settings_.missing_copy_delay)
      missing.push_back(id);
  }
  std::sort(missing.begin(), missing.end(),
            [this](const ModelId& a, const ModelId& b) {
              const Model& x = models_.at(a);
              const Model& y = models_.at(b);
              return x.waiting + x.arrivals_per_second >
                     y.waiting + y.arrivals_per_second;
            });
  unplaced_.clear();
  for (const ModelId& it : missing) {
    const bool urgent = HasDemand(models_.at(it));
    if (!PlanCopy(now, capacity, it, urgent, "no copy", out) && urgent)
      unplaced_.push_back(it);
  }
}

bool CopyPlanner::ReserveBusyEngine(MonoTime now,
                                    const EngineCapacity& capacity,
                                    const ModelId& model) {
  Model& candidate = models_.at(model);
  for (Engine& it : engines_) {
    const bool is_loading =
        it.source->pending_kind == PlacementOrderKind::kLoadModel;
    const bool fits =
        it.used_mb + candidate.spec->weights_mb <= capacity.weights_mb;
    if (!it.has_order || !is_loading || it.reserved_for || !fits ||
        Contains(it.models, model))
      continue;
    it.reserved_for = model;
    reservations_[it.source->entry.id] = {
        .model = model, .until = now + settings_.reservation_timeout};
    ++candidate.copies;
    return true;
  }
  return false;
}

bool CopyPlanner::PlanCopy(MonoTime now,
                           const EngineCapacity& capacity,
                           const ModelId& model,
                           bool urgent,
                           const std::string& reason,
                           std::vector<CopyOrder>& out) {
  const std::optional<LoadTarget> target =
      FindTarget(now, capacity, model, urgent);
  if ((!target || target->victim) && ReserveBusyEngine(now, capacity, model))
    return true;
  if (!target)
    return false;
  AppendOrder(now, *target, model, reason, out);
  return true;
}

bool CopyPlanner::MayAddCopy(MonoTime now,
                             const EngineCapacity& capacity,
                             const ModelId& model) const {
  if (IsWithin(now, unloaded_at_, model, settings_.cooldown))
    return false;
  const Model& it = models_.at(model);
  return LoadPerSlot(it, capacity, it.copies) > settings_.overload ||
         !IsWithin(now, loaded_at_, model, settings_.cooldown);
}

void CopyPlanner::PlanHighLoad(MonoTime now,
                               const EngineCapacity& capacity,
                               std::vector<CopyOrder>& out) {
  std::vector<ModelId> high_load_models;
  for (const auto& [id, model] : models_) {
    const bool wants_copy =
        short_of_adapter_slots_.contains(id) ||
        LoadPerSlot(model, capacity, model.copies) > settings_.high_load;
    if (model.copies > 0 && wants_copy && MayAddCopy(now, capacity, id))
      high_load_models.push_back(id);
  }
  std::sort(high_load_models.begin(), high_load_models.end(),
            [&](const ModelId& a, const ModelId& b) {
              const Model& x = models_.at(a);
              const Model& y = models_.at(b);
              return LoadPerSlot(x, capacity, x.copies) >
                     LoadPerSlot(y, capacity, y.copies);
            });
  for (const ModelId& it : high_load_models) {
    const bool for_adapters = short_of_adapter_slots_.contains(it);
    PlanCopy(now, capacity, it, /*urgent=*/false,
             for_adapters ? "room for adapters" : "busy", out);
  }
}

std::vector<CopyOrder> CopyPlanner::Plan(
    MonoTime now,
    const EngineCapacity& capacity,
    const std::vector<PlannedEngine>& engines,
    const std::map<ModelId, CopyDemand>& demand) {
  RefillStoreBudget(now, capacity);
  Prepare(now, capacity, engines, demand);
  std::vector<CopyOrder> out;
  PlanReserved(now, capacity, out);
  PlanMissing(now, capacity, out);
  PrepareAdapters(now, demand);
  PlanMissingAdapters(now, capacity, out);
  PlanHighLoad(now, capacity, out);
  PlanFurtherAdapters(capacity, out);
  return out;
}

}  // namespace mangoport
