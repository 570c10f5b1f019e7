#include "mangoport/fleet/server_directory.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// True if `entry` shows that its server has registered since `known`.
bool RegisteredSince(const ServerEntry& known, const ServerEntry& entry) {
  if (entry.started_at_ms != known.started_at_ms)
    return entry.started_at_ms > known.started_at_ms;
  return known.registrations.value != 0 &&
         entry.registrations.value > known.registrations.value;
}

/// True if `entry` is from the same start of its server as `known`, and from an
/// earlier registration: an older copy of the list, or a write that the store
/// carried out late.
bool IsOlderRegistration(const ServerEntry& entry, const ServerEntry& known) {
  return entry.started_at_ms == known.started_at_ms &&
         entry.registrations.value != 0 &&
         entry.registrations.value < known.registrations.value &&
         !MutantEnabled("older_registration_used");
}

}  // namespace

ServerChangeEffect ServerDirectory::HoldUntil(MonoTime until,
                                              const ServerId& id) {
  return held_.insert_or_assign(id, until).second ? ServerChangeEffect::kHeld
                                                  : ServerChangeEffect::kNone;
}

MonoTime ServerDirectory::GraceEnd(MonoTime now, const ServerEntry& entry) {
  const auto [it, added] = graces_.try_emplace(entry.id);
  Grace& grace = it->second;
  const bool same = !added && now < grace.until &&
                    entry.registrations.value != 0 &&
                    grace.started_at_ms == entry.started_at_ms &&
                    grace.registrations == entry.registrations.value;
  if (!same)
    grace = {.started_at_ms = entry.started_at_ms,
             .registrations = entry.registrations.value,
             .until = now + settings_.reregister_grace};
  return grace.until;
}

ServerChangeEffect ServerDirectory::Remove(MonoTime now, const ServerId& id) {
  std::erase_if(removals_, [&](const auto& it) {
    return now - it.second.removed_at > settings_.removal_memory;
  });
  const auto known = servers_.find(id);
  removals_[id] = {.entry = known->second, .removed_at = now};
  kept_draining_.erase(id);
  graces_.erase(id);
  servers_.erase(known);
  return ServerChangeEffect::kRemoved;
}

ServerChangeEffect ServerDirectory::Use(const ServerEntry& entry) {
  const auto [known, added] = servers_.emplace(entry.id, entry);
  if (added)
    return entry.draining ? ServerChangeEffect::kDraining
                          : ServerChangeEffect::kAdded;
  if (entry.started_at_ms < known->second.started_at_ms)
    return ServerChangeEffect::kNone;
  // Its server is listed, by whichever registration.
  held_.erase(entry.id);
  if (IsOlderRegistration(entry, known->second))
    return ServerChangeEffect::kNone;
  kept_draining_.erase(entry.id);
  if (known->second == entry) {
    known->second.registrations = entry.registrations;
    return ServerChangeEffect::kNone;
  }
  const bool was_draining = std::exchange(known->second, entry).draining;
  return entry.draining && !was_draining ? ServerChangeEffect::kDraining
                                         : ServerChangeEffect::kUpdated;
}

bool ServerDirectory::IsBeforeRemoval(const ServerEntry& entry) const {
  const auto removal = removals_.find(entry.id);
  if (servers_.contains(entry.id) || removal == removals_.end())
    return false;
  const ServerEntry& removed = removal->second.entry;
  return entry.started_at_ms < removed.started_at_ms ||
         IsOlderRegistration(entry, removed);
}

ServerChangeEffect ServerDirectory::Apply(MonoTime now,
                                          const ServerChange& change) {
  if (change.entry && IsBeforeRemoval(*change.entry))
    return ServerChangeEffect::kNone;
  doubted_.erase(change.id);
  if (change.entry)
    return Use(*change.entry);
  const auto known = servers_.find(change.id);
  if (known == servers_.end() || held_.contains(change.id))
    return ServerChangeEffect::kNone;
  if (known->second.draining)
    return Remove(now, change.id);
  if (outages_.IsInOutage(now))
    return HoldUntil(GraceEnd(now, known->second), change.id);
  if (catching_up_)
    return HoldUntil(now, change.id);
  return Remove(now, change.id);
}

ServerChangeEffect ServerDirectory::ApplyListed(MonoTime now,
                                                WholeListKind kind,
                                                const ServerEntry& entry) {
  const bool restored = kind == WholeListKind::kRestored;
  const auto known = servers_.find(entry.id);
  if (known != servers_.end()) {
    const bool ready_again =
        known->second.draining && !entry.draining &&
        known->second.started_at_ms == entry.started_at_ms &&
        !RegisteredSince(known->second, entry);
    if (!ready_again || !(restored || kept_draining_.contains(entry.id)))
      return Use(entry);
    held_.erase(entry.id);
    return kept_draining_.insert(entry.id).second
               ? ServerChangeEffect::kKeptDraining
               : ServerChangeEffect::kNone;
  }
  const auto removal = removals_.find(entry.id);
  const bool resurrected = removal != removals_.end() &&
                           !RegisteredSince(removal->second.entry, entry);
  if (!resurrected || !(restored || doubted_.contains(entry.id)))
    return Use(entry);
  const auto [doubt, added] = doubted_.try_emplace(entry.id);
  doubt->second.entry = entry;
  if (restored)
    doubt->second.until = now + settings_.lapse_time;
  return added ? ServerChangeEffect::kDoubted : ServerChangeEffect::kNone;
}

void ServerDirectory::RemoveMissing(MonoTime now,
                                    WholeListKind kind,
                                    const std::set<ServerId>& present,
                                    const ChangeObserver& changed) {
  std::erase_if(doubted_,
                [&](const auto& it) { return !present.contains(it.first); });
  std::vector<ServerId> missing;
  for (const auto& [id, entry] : servers_) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  for (const ServerId& it : missing) {
    const ServerChangeEffect effect =
        kind == WholeListKind::kRestored
            ? HoldUntil(GraceEnd(now, servers_.at(it)), it)
            : Apply(now, {it, std::nullopt});
    if (effect != ServerChangeEffect::kNone)
      changed(it, effect);
  }
}

void ServerDirectory::Replace(MonoTime now,
                              WholeListKind kind,
                              const std::vector<ServerEntry>& entries,
                              const ChangeObserver& changed) {
  std::set<ServerId> present;
  for (const ServerEntry& it : entries) {
    present.insert(it.id);
    const ServerChangeEffect effect = ApplyListed(now, kind, it);
    if (effect != ServerChangeEffect::kNone)
      changed(it.id, effect);
  }
  RemoveMissing(now, kind, present, changed);
}

void ServerDirectory::Expire(MonoTime now, const ChangeObserver& changed) {
  for (auto it = held_.begin(); it != held_.end();) {
    if (catching_up_ || now < it->second) {
      ++it;
      continue;
    }
    Remove(now, it->first);
    changed(it->first, ServerChangeEffect::kRemovedAfterGrace);
    it = held_.erase(it);
  }
  for (auto it = doubted_.begin(); it != doubted_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    changed(it->first, Use(it->second.entry));
    it = doubted_.erase(it);
  }
}

std::optional<MonoTime> ServerDirectory::NextExpiry() const {
  std::optional<MonoTime> next;
  // While catching up, held servers are released by a read and not by time.
  if (!catching_up_) {
    for (const auto& [id, until] : held_)
      next = next ? std::min(*next, until) : until;
  }
  for (const auto& [id, doubt] : doubted_)
    next = next ? std::min(*next, doubt.until) : doubt.until;
  return next;
}

}  // namespace mangoport
