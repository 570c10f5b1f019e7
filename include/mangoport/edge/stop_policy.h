#ifndef MANGOPORT_EDGE_STOP_POLICY_H_
#define MANGOPORT_EDGE_STOP_POLICY_H_

#include <cstddef>

#include "mangoport/core/time.h"

namespace mangoport {

/// A planned stop that is under way.
struct StopProgress {
  /// Since SIGTERM.
  Duration passed{};
  /// From SIGTERM to SIGKILL.
  Duration grace{};
  std::size_t active_requests = 0;
  std::size_t connections = 0;
  /// The order lease has been given up, or was not held.
  bool lease_released = false;
};

struct StopDecision {
  /// Requests that arrive now are refused: they might not end in time.
  bool refuse_new = false;
  /// Connections without a request are closed.
  bool close_idle = false;
  /// The process ends.
  bool finish = false;
};

/// What to do at this moment of a planned stop. Requests are taken until the
/// balancer has had time to see that the host is not ready, then refused, so
/// that none is begun which the end of the grace time would cut.
StopDecision DecideStop(const StopProgress& progress);

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_STOP_POLICY_H_
