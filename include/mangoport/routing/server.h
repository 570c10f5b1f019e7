#ifndef MANGOPORT_ROUTING_SERVER_H_
#define MANGOPORT_ROUTING_SERVER_H_

#include <cstdint>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A backend server as described by the configuration and the host list.
struct ServerSpec {
  ServerId id;
  ZoneId zone;
  /// Models that are loaded and may be requested.
  std::vector<ModelId> models;
  /// Adapters that are loaded; a request for another adapter runs after the
  /// adapter is loaded.
  std::vector<AdapterId> adapters;
  /// Requests that the server processes concurrently; further ones are queued.
  std::uint32_t batch_size = 16;
  /// Being removed from service; gets no new requests.
  bool leaving = false;
  /// The server asked this host to send nothing until then.
  MonoTime held_until = {};

  friend bool operator==(const ServerSpec&, const ServerSpec&) = default;
};

/// All backend servers, as they were at `as_of`. This is the time at which the
/// data was valid, not the time at which it was read.
struct ServerList {
  MonoTime as_of;
  std::vector<ServerSpec> servers;
};

/// A backend server's report of its load from all entry hosts.
struct ServerReport {
  ServerId server;
  /// When the server measured its load; reports arrive with a delay.
  MonoTime measured_at;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

/// How one attempt at one backend server ended.
enum class AttemptOutcome {
  kCompleted,
  /// Cancelled by this host: the caller disconnected, or another attempt
  /// succeeded.
  kCancelled,
  /// The server refused the request because it is leaving; it did not run it.
  kRefusedLeaving,
  /// The server refused the request because it is full; it did not run it.
  kRefusedBusy,
  /// The connection could not be established; no byte was sent.
  kConnectFailed,
  /// No progress within the timeout; the connection may be unresponsive.
  kTimedOut,
  /// The connection ended before the final event; the server may still be
  /// running.
  kConnectionLost,
  /// The server process is known to have died while it ran the request.
  kServerDied,
  /// The answer had a missing or repeated token, or another request's id.
  kInvalidAnswer,
};

/// True if no backend server has run any part of the attempt.
bool ProvesNotRun(AttemptOutcome outcome);

/// True if the outcome indicates a fault of the backend server.
bool IsServerFailure(AttemptOutcome outcome);

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_SERVER_H_
