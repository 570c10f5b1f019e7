#ifndef MANGOPORT_FORWARD_WAIT_POLICY_H_
#define MANGOPORT_FORWARD_WAIT_POLICY_H_

#include "mangoport/core/time.h"

namespace mangoport {

/// When a caller stops waiting for an event: at its deadline, or sooner if its
/// stream is silent for longer than `stall_limit` (zero if there is none).
/// Counts from the last event, so that a stream which goes on at another server
/// is not judged by the time at which it began.
MonoTime CallerLeavesAt(MonoTime deadline,
                        MonoTime last_event_at,
                        Duration stall_limit);

/// A request whose model or adapter no server holds yet.
struct MissingCopy {
  /// Until the caller gives up.
  Duration time_left{};
  /// From the request's arrival; how long it has waited already.
  Duration waited{};
  /// How long a load of the copy takes, once it is ordered.
  Duration load_time{};
  /// An adapter loads beside the work; a model's engine must be chosen first.
  bool is_adapter = false;
};

struct WaitDecision {
  /// Wait for the copy, for at most `limit`; otherwise refuse now.
  bool wait = false;
  Duration limit{};
  /// If refused: when the copy will probably be there.
  Duration retry_after{};
};

/// Whether a request waits for a copy of its model or is refused at once: it
/// waits only if the copy will be there in time to be of use. Answers the load
/// of rare models that are asked for all at once.
WaitDecision DecideWait(const MissingCopy& missing);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_WAIT_POLICY_H_
