// The part of the planner that decides which copy of a model makes room for
// another model.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

#include "mangoport/core/mutant.h"
#include "mangoport/placement/copy_planner.h"

namespace mangoport {

std::uint64_t CopyPlanner::AdapterMemory(const EngineCapacity& capacity) {
  // Every adapter slot counts as occupied by an adapter of the largest size.
  std::uint64_t largest = 0;
  for (const ModelSpec& it : capacity.models)
    largest = std::max(largest, it.adapter_mb);
  return largest * capacity.adapter_slots;
}

bool CopyPlanner::FitOnEngines(const EngineCapacity& capacity,
                               std::size_t engines) {
  std::vector<std::uint64_t> sizes;
  sizes.reserve(capacity.models.size());
  for (const ModelSpec& it : capacity.models)
    sizes.push_back(it.weights_mb);
  std::sort(sizes.begin(), sizes.end(), std::greater<>());
  // First fit, the largest first.
  const std::uint64_t adapters = AdapterMemory(capacity);
  std::vector<std::uint64_t> used(engines, adapters);
  for (const std::uint64_t size : sizes) {
    const auto it = std::find_if(used.begin(), used.end(),
                                 [&](const std::uint64_t& used_mb) {
                                   return used_mb + size <= capacity.weights_mb;
                                 });
    if (it == used.end())
      return false;
    *it += size;
  }
  return true;
}

bool CopyPlanner::MayTakeLastCopy(MonoTime now, const ModelId& model) const {
  if (!short_of_room_)
    return false;
  return !IsWithin(now, model_used_at_, model, settings_.model_idle_timeout) &&
         !IsWithin(now, loaded_at_, model, TurnOf(models_.at(model)));
}

Duration CopyPlanner::TurnOf(const Model& model) const {
  // A copy that has just been loaded is still to serve those who asked for it.
  return settings_.model_idle_timeout + model.spec->load_from_store;
}

bool CopyPlanner::IsTurnOf(MonoTime now,
                           const ModelId& model,
                           const ModelId& held) const {
  const auto unserved = unserved_.find(model);
  const Model& holder = models_.at(held);
  const Duration turn = TurnOf(holder);
  if (!short_of_room_ || unserved == unserved_.end() ||
      IsWithin(now, loaded_at_, held, turn))
    return false;
  const double in_turn =
      turn_rates_.at(held) * std::chrono::duration<double>(turn).count();
  return unserved->second > in_turn + holder.in_progress;
}

void CopyPlanner::AverageOverTurn(const ModelId& id,
                                  const Model& model,
                                  std::chrono::duration<double> passed) {
  const std::chrono::duration<double> turn = TurnOf(model);
  double& rate =
      turn_rates_.try_emplace(id, model.arrivals_per_second).first->second;
  rate += (model.arrivals_per_second - rate) * (1 - std::exp(-passed / turn));
}

void CopyPlanner::CountUnserved(MonoTime now) {
  const std::chrono::duration<double> passed =
      now - std::exchange(counted_at_, now).value_or(now);
  for (const auto& [id, model] : models_) {
    AverageOverTurn(id, model, passed);
    if (model.copies > 0)
      unserved_.erase(id);
    else
      unserved_[id] += model.arrivals_per_second * passed.count();
  }
}

std::optional<CopyPlanner::Victim> CopyPlanner::FindVictim(
    MonoTime now,
    const EngineCapacity& capacity,
    const Engine& engine,
    const ModelId& model,
    bool urgent) const {
  const Model& candidate = models_.at(model);
  // Not all models fit, so those that nobody asks for get only free memory.
  if (!urgent && short_of_room_ && candidate.copies == 0)
    return std::nullopt;
  const std::uint64_t needed = candidate.spec->weights_mb;
  const double max_load =
      std::max(settings_.low_load,
               LoadPerSlot(candidate, capacity, candidate.copies + 1) /
                   settings_.min_load_ratio);
  const bool needs_room =
      urgent ||
      LoadPerSlot(candidate, capacity, candidate.copies) > settings_.overload;
  std::optional<Victim> best;
  for (const ModelId& it : engine.models) {
    const auto found = models_.find(it);
    if (found == models_.end() || it == model)
      continue;
    const Model& held = found->second;
    const std::uint64_t left =
        engine.used_mb - std::min(engine.used_mb, held.spec->weights_mb);
    if (left + needed > capacity.weights_mb)
      continue;
    const bool is_last = held.held < 2 && !MutantEnabled("last_copy_dropped");
    const bool is_idle = is_last && needs_room && MayTakeLastCopy(now, it);
    if (is_last && !is_idle && !(urgent && IsTurnOf(now, model, it)))
      continue;
    if (!urgent && IsWithin(now, loaded_at_, it, settings_.cooldown))
      continue;
    // An idle model may return, so its last copy counts as one with some load.
    double load = is_idle ? settings_.low_load
                          : LoadPerSlot(held, capacity, held.copies - 1);
    if (is_last && !is_idle)
      load += settings_.overload;
    if (!urgent && load > max_load)
      continue;
    if (!best || load < best->load)
      best = Victim{.model = it, .load = load};
  }
  return best;
}

}  // namespace mangoport
