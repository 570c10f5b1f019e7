// The part of the planner that decides which adapters engines hold, beside the
// models that they belong to.
#include <algorithm>
#include <utility>

#include "mangoport/placement/copy_planner.h"

namespace mangoport {
namespace {

/// How much more a waiting request counts than a running one.
constexpr double kWaitingWeight = 10;

ModelId AdapterName(const ModelId& model, const AdapterId& adapter) {
  return ModelId(model.value() + "/" + adapter.value());
}

double AdapterLoad(const std::map<ModelId, CopyDemand>& demand,
                   const ModelId& adapter) {
  const auto it = demand.find(adapter);
  if (it == demand.end())
    return 0;
  return it->second.running + kWaitingWeight * it->second.waiting +
         it->second.arrivals_per_second;
}

/// Adapters on the engine, of all its models.
std::size_t AdapterCount(const ServerEntry& entry) {
  std::size_t count = 0;
  for (const ResidentModel& it : entry.models)
    count += it.adapters.size();
  return count;
}

bool HoldsAdapter(const ServerEntry& entry,
                  const ModelId& model,
                  const AdapterId& adapter) {
  return std::any_of(
      entry.models.begin(), entry.models.end(), [&](const ResidentModel& it) {
        return it.model == model &&
               std::find(it.adapters.begin(), it.adapters.end(), adapter) !=
                   it.adapters.end();
      });
}

}  // namespace

double CopyPlanner::AdapterSlotsUsed(const Engine& engine,
                                     const EngineCapacity& capacity) {
  return static_cast<double>(AdapterCount(engine.source->entry)) /
         std::max<std::uint32_t>(capacity.adapter_slots, 1);
}

void CopyPlanner::PrepareAdapters(MonoTime now,
                                  const std::map<ModelId, CopyDemand>& demand) {
  adapters_.clear();
  holders_.clear();
  for (const auto& [id, model] : models_) {
    for (std::uint32_t i = 1; i <= model.spec->adapter_count; ++i) {
      Adapter adapter;
      adapter.model = id;
      adapter.adapter = NumberedAdapter(i);
      const ModelId name = AdapterName(id, adapter.adapter);
      adapter.load = AdapterLoad(demand, name);
      const auto current = demand.find(name);
      adapter.in_use = current != demand.end() && IsInUse(current->second);
      if (adapter.in_use)
        adapter_used_at_[name] = now;
      adapters_.emplace(name, std::move(adapter));
    }
  }
  for (Engine& engine : engines_) {
    for (const ResidentModel& held : engine.source->entry.models) {
      holders_[held.model].push_back(&engine);
      for (const AdapterId& it : held.adapters) {
        const auto adapter = adapters_.find(AdapterName(held.model, it));
        if (adapter != adapters_.end())
          ++adapter->second.copies;
      }
    }
  }
}

std::vector<const CopyPlanner::Adapter*> CopyPlanner::AdaptersByLoad(
    const std::function<bool(const Adapter&)>& wanted) const {
  std::vector<const Adapter*> out;
  for (const auto& [name, adapter] : adapters_) {
    if (wanted(adapter))
      out.push_back(&adapter);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Adapter* a, const Adapter* b) {
                     return a->load / static_cast<double>(a->copies + 1) >
                            b->load / static_cast<double>(b->copies + 1);
                   });
  return out;
}

CopyPlanner::AdapterTarget CopyPlanner::FindAdapterTarget(
    const EngineCapacity& capacity,
    const Adapter& adapter) const {
  AdapterTarget out;
  const auto holders = holders_.find(adapter.model);
  if (holders == holders_.end())
    return out;
  for (Engine* engine : holders->second) {
    const ServerEntry& entry = engine->source->entry;
    if (HoldsAdapter(entry, adapter.model, adapter.adapter))
      continue;
    const std::size_t used = AdapterCount(entry);
    if (engine->has_order || engine->reserved_for) {
      out.may_have_room = out.may_have_room || used < capacity.adapter_slots;
      continue;
    }
    if (!out.engine || used < out.slots_used) {
      out.engine = engine;
      out.slots_used = used;
    }
  }
  return out;
}

std::optional<CopyOrder> CopyPlanner::EvictAdapter(MonoTime now,
                                                   const Engine& engine) const {
  std::optional<CopyOrder> out;
  double least_load = 0;
  for (const ResidentModel& held : engine.source->entry.models) {
    for (const AdapterId& it : held.adapters) {
      const ModelId name = AdapterName(held.model, it);
      const auto known = adapters_.find(name);
      const Adapter adapter =
          known == adapters_.end() ? Adapter() : known->second;
      const auto used = adapter_used_at_.find(name);
      const bool idle = used == adapter_used_at_.end() ||
                        now - used->second > settings_.adapter_idle_timeout;
      if ((!idle && adapter.copies < 2) || (out && adapter.load >= least_load))
        continue;
      least_load = adapter.load;
      out = CopyOrder{.engine = engine.source->entry.id,
                      .kind = PlacementOrderKind::kUnloadAdapter,
                      .model = held.model,
                      .adapter = it,
                      .from_store = false,
                      .reason = {}};
    }
  }
  return out;
}

void CopyPlanner::LoadAdapter(const Adapter& adapter,
                              Engine& engine,
                              std::string reason,
                              std::vector<CopyOrder>& out) {
  engine.has_order = true;
  out.push_back({.engine = engine.source->entry.id,
                 .kind = PlacementOrderKind::kLoadAdapter,
                 .model = adapter.model,
                 .adapter = adapter.adapter,
                 .from_store = false,
                 .reason = std::move(reason)});
}

void CopyPlanner::PlanMissingAdapters(MonoTime now,
                                      const EngineCapacity& capacity,
                                      std::vector<CopyOrder>& out) {
  const auto missing = AdaptersByLoad(
      [](const Adapter& adapter) { return adapter.copies == 0; });
  for (const Adapter* it : missing) {
    const AdapterTarget target = FindAdapterTarget(capacity, *it);
    if (!target.engine)
      continue;
    if (target.slots_used < capacity.adapter_slots) {
      LoadAdapter(*it, *target.engine, "no copy", out);
      continue;
    }
    if (!it->in_use)
      continue;
    std::optional<CopyOrder> order = EvictAdapter(now, *target.engine);
    if (order) {
      order->reason = "room for " + AdapterName(it->model, it->adapter).value();
      target.engine->has_order = true;
      out.push_back(std::move(*order));
    } else if (!target.may_have_room) {
      short_of_adapter_slots_.insert(it->model);
    }
  }
}

void CopyPlanner::PlanFurtherAdapters(const EngineCapacity& capacity,
                                      std::vector<CopyOrder>& out) {
  const auto busy = AdaptersByLoad([](const Adapter& adapter) {
    return adapter.copies > 0 && adapter.load > 0;
  });
  for (const Adapter* it : busy) {
    const AdapterTarget target = FindAdapterTarget(capacity, *it);
    if (target.engine && target.slots_used < capacity.adapter_slots)
      LoadAdapter(*it, *target.engine, "busy", out);
  }
}

}  // namespace mangoport
