#ifndef MANGOPORT_FLEET_EVACUATIONS_H_
#define MANGOPORT_FLEET_EVACUATIONS_H_

#include <map>
#include <set>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// An operator's request that nothing be sent to a zone's backend servers, or
/// its end.
struct EvacuationChange {
  ZoneId zone;
  bool evacuated = false;
};

/// The evacuated zones as they were at a position in the store.
struct EvacuationState {
  StorePosition position;
  std::set<ZoneId> zones;
};

/// What one input changed.
struct EvacuationOutcome {
  std::vector<ZoneId> begun = {};
  std::vector<ZoneId> ended = {};

  bool changed() const { return !begun.empty() || !ended.empty(); }
};

/// The availability zones whose backend servers get nothing, by the operators'
/// records in the store. The records stand beside the configuration, in the
/// same topic, and hosts pass the whole set on to each other: of two sets, the
/// one from the later position is valid.
///
/// A store that is restored from a backup may lack a recent record until the
/// operator writes it again. A zone that such a copy does not name therefore
/// stays evacuated until the store still does not name it after a grace period.
class Evacuations {
 public:
  /// Applies what this host read up to `next`: all records if `whole`, else
  /// those since its last read.
  EvacuationOutcome OnRead(MonoTime now,
                           const StorePosition& next,
                           bool whole,
                           const std::vector<EvacuationChange>& changes);

  /// Applies another host's set, unless this host's is newer.
  EvacuationOutcome OnPeerState(MonoTime now, const EvacuationState& state);

  /// The position in the store as of which `zones` is known.
  const StorePosition& position() const { return position_; }

  const std::set<ZoneId>& zones() const { return zones_; }

  /// The zones that the store names, to tell other hosts. Those in their grace
  /// period are not among them: hosts would prolong it for each other.
  std::set<ZoneId> stated_zones() const;

 private:
  /// Replaces the set by `zones`, as of `position`.
  EvacuationOutcome Replace(MonoTime now,
                            const StorePosition& position,
                            const std::set<ZoneId>& zones);
  void Set(const EvacuationChange& change, EvacuationOutcome& outcome);
  /// Ends the evacuations whose grace period is over.
  void EndHeld(MonoTime now, EvacuationOutcome& outcome);

  std::set<ZoneId> zones_;
  StorePosition position_;
  /// Zones that a restored store does not name, and when each grace period
  /// ends.
  std::map<ZoneId, MonoTime> held_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_EVACUATIONS_H_
