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

std::set<ZoneId> Evacuations::stated_zones() const {
  std::set<ZoneId> out;
  for (const ZoneId& it : zones_) {
    if (!held_.contains(it))
      out.insert(it);
  }
  return out;
}

void Evacuations::EndHeld(MonoTime now, EvacuationOutcome& outcome) {
  const std::map<ZoneId, MonoTime> held = held_;
  for (const auto& [zone, until] : held) {
    if (now >= until)
      Set({.zone = zone, .evacuated = false}, outcome);
  }
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
    if (zones.contains(it) || held_.contains(it))
      continue;
    if (restored)
      held_.emplace(it, now + kRestoreGrace);
    else
      Set({.zone = it, .evacuated = false}, out);
  }
  EndHeld(now, out);
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
  EndHeld(now, out);
  position_ = next;
  return out;
}

EvacuationOutcome Evacuations::OnPeerState(MonoTime now,
                                           const EvacuationState& state) {
  if (state.position < position_)
    return {};
  return Replace(now, state.position, state.zones);
}

}  // namespace mangoport
