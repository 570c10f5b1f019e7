#include "mangoport/fleet/server_directory.h"

#include <algorithm>
#include <set>

namespace mangoport {

bool ServerDirectory::InOutage(MonoTime now) const {
  return last_failure_ && now - *last_failure_ < settings_.outage_recovery_time;
}

ServerChangeEffect ServerDirectory::Apply(MonoTime now,
                                          const ServerChange& change) {
  const auto known = servers_.find(change.id);
  if (!change.entry) {
    if (known == servers_.end() || held_.contains(change.id))
      return ServerChangeEffect::kNone;
    if (InOutage(now) && !known->second.draining) {
      held_.emplace(change.id, now + settings_.reregister_grace);
      return ServerChangeEffect::kHeld;
    }
    servers_.erase(known);
    return ServerChangeEffect::kRemoved;
  }
  const ServerEntry& entry = *change.entry;
  if (known == servers_.end()) {
    servers_.emplace(change.id, entry);
    return entry.draining ? ServerChangeEffect::kDraining
                          : ServerChangeEffect::kAdded;
  }
  if (entry.started_at_ms < known->second.started_at_ms)
    return ServerChangeEffect::kNone;
  held_.erase(change.id);
  const bool was_draining = known->second.draining;
  if (known->second == entry)
    return ServerChangeEffect::kNone;
  known->second = entry;
  return entry.draining && !was_draining ? ServerChangeEffect::kDraining
                                         : ServerChangeEffect::kUpdated;
}

void ServerDirectory::Replace(
    MonoTime now,
    const std::vector<ServerEntry>& entries,
    const std::function<void(const ServerId&, ServerChangeEffect)>& changed) {
  std::set<ServerId> present;
  for (const ServerEntry& it : entries) {
    present.insert(it.id);
    const ServerChangeEffect effect = Apply(now, {it.id, it});
    if (effect != ServerChangeEffect::kNone)
      changed(it.id, effect);
  }
  std::vector<ServerId> missing;
  for (const auto& [id, entry] : servers_) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  for (const ServerId& it : missing) {
    const ServerChangeEffect effect = Apply(now, {it, std::nullopt});
    if (effect != ServerChangeEffect::kNone)
      changed(it, effect);
  }
}

std::vector<ServerId> ServerDirectory::Expire(MonoTime now) {
  std::vector<ServerId> expired;
  for (auto it = held_.begin(); it != held_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    servers_.erase(it->first);
    it = held_.erase(it);
  }
  return expired;
}

std::optional<MonoTime> ServerDirectory::NextExpiry() const {
  std::optional<MonoTime> next;
  for (const auto& [id, until] : held_)
    next = next ? std::min(*next, until) : until;
  return next;
}

}  // namespace mangoport
