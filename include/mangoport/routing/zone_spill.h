#ifndef MANGOPORT_ROUTING_ZONE_SPILL_H_
#define MANGOPORT_ROUTING_ZONE_SPILL_H_

#include "mangoport/core/time.h"

namespace mangoport {

/// The best server that was found in the host's own zone and in the others, for
/// one request.
struct ZoneChoice {
  /// Expected waits for the first token, without the way between zones.
  Duration wait_at_home{};
  Duration wait_away{};
  /// The longest wait with which the request is still served in time.
  Duration limit = Duration::max();
};

/// Decides which requests leave the host's zone although it has servers for
/// them.
///
/// Leaving pays if it shortens the wait by more than the crossing costs. All
/// hosts of a zone see the same lagging load, so each sends away only a share
/// of its requests: the part of the last seconds in which leaving paid. At the
/// share at which just the surplus leaves, it pays that often. A request that
/// would be late at home and not elsewhere always leaves.
///
/// Answers a zone that has lost a part of its servers, and more demand in one
/// zone than its servers can do.
class ZoneSpill {
 public:
  /// `crossing_cost` is the wait that is borne rather than leaving the zone:
  /// the price of the traffic between zones, as callers' time.
  explicit ZoneSpill(Duration crossing_cost) : crossing_cost_(crossing_cost) {}

  /// `draw` is a random number from 0 to 1.
  bool Leaves(MonoTime now, const ZoneChoice& choice, double draw);

  /// Records a request whose home has no queue.
  void OnIdleHome(MonoTime now) { Note(now, /*pays=*/false); }

  /// The share of the requests that leave where it pays.
  double share() const { return share_; }

 private:
  void Note(MonoTime now, bool pays);

  Duration crossing_cost_;
  double share_ = 0;
  MonoTime noted_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_ZONE_SPILL_H_
