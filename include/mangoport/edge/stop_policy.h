#ifndef MANGOPORT_EDGE_STOP_POLICY_H_
#define MANGOPORT_EDGE_STOP_POLICY_H_

#include <cstddef>

#include "mangoport/core/time.h"

namespace mangoport {

/// The progress of an orderly shutdown.
struct StopProgress {
  /// Time since SIGTERM.
  Duration passed{};
  /// Time from SIGTERM to SIGKILL.
  Duration grace{};
  std::size_t active_requests = 0;
  std::size_t connections = 0;
  /// The order lease was released, or not held.
  bool lease_released = false;
};

struct StopDecision {
  /// New requests are refused, since they might not complete in time.
  bool refuse_new = false;
  /// Idle connections are closed.
  bool close_idle = false;
  /// The process exits.
  bool finish = false;
  /// Time from SIGTERM to the next decision.
  Duration next{};
};

/// Time from SIGTERM to the end of answers that are still under way then.
Duration AnswersEndAfter(Duration grace);

/// Decides the next step of an orderly shutdown. Requests are accepted until
/// the load balancer has had time to notice that the host is not ready. After
/// that they are refused, so that none is interrupted by the end of the grace
/// time.
StopDecision DecideStop(const StopProgress& progress);

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_STOP_POLICY_H_
