#include "mangoport/fleet/evacuations.h"

#include <algorithm>
#include <chrono>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// The time in which operators write again what a restored store lacks.
constexpr Duration kRestoreGrace = std::chrono::seconds(10);

}  // namespace

void Evacuations::Set(const EvacuationChange& change,
                      EvacuationOutcome& outcome) {
  held_.erase(change.zone);
  if (change.evacuated && zones_.insert(change.zone).second)
    outcome.begun.push_back(change.zone);
  if (!change.evacuated && zones_.erase(change.zone) > 0)
    outcome.ended.push_back(change.zone);
}

EvacuationOutcome Evacuations::Replace(MonoTime now,
                                       const StorePosition& position,
                                       const std::set<ZoneId>& zones) {
  const bool restored = position.timeline != position_.timeline &&
                        !MutantEnabled("restore_ends_evacuations");
  EvacuationOutcome out;
  for (const ZoneId& it : zones)
    Set({.zone = it, .evacuated = true}, out);
  const std::set<ZoneId> known = zones_;
  for (const ZoneId& it : known) {
    if (zones.contains(it))
      continue;
    if (restored)
      held_.emplace(it, now + kRestoreGrace);
    else if (!held_.contains(it))
      Set({.zone = it, .evacuated = false}, out);
  }
  position_ = position;
  return out;
}

EvacuationOutcome Evacuations::OnRead(
    MonoTime now,
    const StorePosition& next,
    bool whole,
    const std::vector<EvacuationChange>& changes) {
  if (next < position_)
    return {};
  if (whole) {
    std::set<ZoneId> zones;
    for (const EvacuationChange& it : changes) {
      if (it.evacuated)
        zones.insert(it.zone);
    }
    return Replace(now, next, zones);
  }
  EvacuationOutcome out;
  for (const EvacuationChange& it : changes)
    Set(it, out);
  position_ = next;
  return out;
}

EvacuationOutcome Evacuations::OnPeerState(MonoTime now,
                                           const EvacuationState& state) {
  if (state.position <= position_)
    return {};
  return Replace(now, state.position, state.zones);
}

EvacuationOutcome Evacuations::Expire(MonoTime now) {
  EvacuationOutcome out;
  const std::map<ZoneId, MonoTime> held = held_;
  for (const auto& [zone, until] : held) {
    if (now >= until)
      Set({.zone = zone, .evacuated = false}, out);
  }
  return out;
}

std::optional<MonoTime> Evacuations::NextExpiry() const {
  std::optional<MonoTime> next;
  for (const auto& [zone, until] : held_)
    next = std::min(next.value_or(until), until);
  return next;
}

}  // namespace mangoport
