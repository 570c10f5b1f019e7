// Which servers a router knows, and its index of them by model and adapter.
#include <algorithm>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lib/routing/ring_hash.h"
#include "mangoport/routing/router.h"

namespace mangoport {

void Router::SetServers(MonoTime /*now*/, const ServerList& list) {
  std::vector<BackendState> kept;
  kept.reserve(list.servers.size());
  std::unordered_map<ServerId, Slot> by_id;
  for (const ServerSpec& spec : list.servers) {
    const auto old = by_id_.find(spec.id);
    if (!by_id.emplace(spec.id, static_cast<Slot>(kept.size())).second)
      continue;
    BackendState state;
    if (old != by_id_.end())
      state = std::move(slots_[old->second]);
    state.spec = spec;
    state.listed = true;
    state.ring_hash = RingHash(std::hash<ServerId>{}(spec.id));
    if (spec.leaving)
      state.leaving_since = list.as_of;
    else if (state.leaving_since && *state.leaving_since < list.as_of)
      state.leaving_since.reset();
    kept.push_back(std::move(state));
  }
  // Servers that are no longer listed are kept while they run requests of this
  // host.
  for (const auto& [id, slot] : by_id_) {
    if (by_id.contains(id) || slots_[slot].load.own_outstanding() == 0)
      continue;
    slots_[slot].listed = false;
    by_id.emplace(id, static_cast<Slot>(kept.size()));
    kept.push_back(std::move(slots_[slot]));
  }
  for (const auto& [id, slot] : by_id_) {
    if (!by_id.contains(id))
      prompt_rate_.Forget(id);
  }
  slots_ = std::move(kept);
  by_id_ = std::move(by_id);
  RebuildIndex();
}

void Router::RebuildIndex() {
  models_.clear();
  adapters_.clear();
  std::vector<Slot> order(slots_.size());
  for (Slot i = 0; i < order.size(); ++i)
    order[i] = i;
  std::sort(order.begin(), order.end(), [this](Slot a, Slot b) {
    return slots_[a].ring_hash < slots_[b].ring_hash;
  });
  for (const Slot slot : order) {
    const BackendState& state = slots_[slot];
    if (!state.listed)
      continue;
    for (const ModelId& it : state.spec.models)
      AddToIndex(it, slot);
    for (const AdapterId& it : state.spec.adapters)
      adapters_[it].push_back(slot);
  }
}

void Router::AddToIndex(const ModelId& model, Slot slot) {
  const BackendState& state = slots_[slot];
  std::vector<ZoneRing>& zones = models_[model].zones;
  auto zone = std::find_if(
      zones.begin(), zones.end(),
      [&state](const ZoneRing& ring) { return ring.zone == state.spec.zone; });
  if (zone == zones.end())
    zone = zones.insert(zones.end(), ZoneRing{state.spec.zone, {}});
  const auto at =
      std::upper_bound(zone->ring.begin(), zone->ring.end(), state.ring_hash,
                       [this](std::uint64_t hash, Slot other) {
                         return hash < slots_[other].ring_hash;
                       });
  zone->ring.insert(at, slot);
}

void Router::RemoveFromIndex(const ModelId& model, Slot slot) {
  const auto entry = models_.find(model);
  if (entry == models_.end())
    return;
  std::vector<ZoneRing>& zones = entry->second.zones;
  for (ZoneRing& it : zones)
    std::erase(it.ring, slot);
  std::erase_if(zones, [](const ZoneRing& it) { return it.ring.empty(); });
  if (zones.empty())
    models_.erase(entry);
}

void Router::SetModels(const ServerId& server, std::vector<ModelId> models) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end() || !slots_[it->second].listed)
    return;
  std::vector<ModelId>& known = slots_[it->second].spec.models;
  const auto contains = [](const std::vector<ModelId>& list,
                           const ModelId& model) {
    return std::find(list.begin(), list.end(), model) != list.end();
  };
  for (const ModelId& old : known) {
    if (!contains(models, old))
      RemoveFromIndex(old, it->second);
  }
  for (const ModelId& model : models) {
    if (!contains(known, model))
      AddToIndex(model, it->second);
  }
  known = std::move(models);
}

}  // namespace mangoport
