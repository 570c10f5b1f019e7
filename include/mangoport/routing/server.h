#ifndef MANGOPORT_ROUTING_SERVER_H_
#define MANGOPORT_ROUTING_SERVER_H_

#include <cstdint>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A backend server as configuration and host list describe it.
struct ServerSpec {
  ServerId id;
  ZoneId zone;
  /// Models that are loaded and may be asked for.
  std::vector<ModelId> models;
  /// Adapters that are loaded; requests for others still run, after a load.
  std::vector<AdapterId> adapters;
  /// Requests that the server works on together before it queues.
  std::uint32_t batch_size = 16;
  bool leaving = false;

  friend bool operator==(const ServerSpec&, const ServerSpec&) = default;
};

/// All backend servers, as they were at `as_of`: the age of the evidence
/// itself, not of the read that brought it.
struct ServerList {
  MonoTime as_of;
  std::vector<ServerSpec> servers;
};

/// A backend server's own report of its load, over all entry hosts.
struct ServerReport {
  ServerId server;
  /// When the server counted; reports arrive late.
  MonoTime measured_at;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

/// How one attempt at one backend server ended.
enum class AttemptOutcome {
  kCompleted,
  /// Stopped by us: the caller left, or another attempt won.
  kCancelled,
  /// The server said that it is leaving and did not run the request.
  kRefusedLeaving,
  /// The server said that it is full and did not run the request.
  kRefusedBusy,
  /// No connection: no byte was sent.
  kConnectFailed,
  /// No progress within the deadline: the connection may be silent for good.
  kTimedOut,
  /// The connection ended before the final event; the server may live.
  kConnectionLost,
  /// The server process is known to have died while it ran the request.
  kServerDied,
  /// The answer had a gap, a repeat, or another request's id.
  kInvalidAnswer,
};

/// True if no backend server has run any part of the attempt.
bool ProvesNotRun(AttemptOutcome outcome);

/// True if the outcome speaks against the backend server's health.
bool IsServerFailure(AttemptOutcome outcome);

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_SERVER_H_
