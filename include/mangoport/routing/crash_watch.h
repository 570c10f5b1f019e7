#ifndef MANGOPORT_ROUTING_CRASH_WATCH_H_
#define MANGOPORT_ROUTING_CRASH_WATCH_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/routing.pb.h"
#include "mangoport/routing/fingerprint.h"

namespace mangoport {

/// The data of one attempt at a backend server that a crash report needs.
struct WatchedAttempt {
  ServerId server;
  Fingerprint fingerprint;
  /// Digest of the prompt, from `SketchOf`.
  std::uint64_t sketch = 0;
  /// Runs under an isolation claim.
  bool isolated = false;
};

/// Tracks which requests run, or ran until recently, on each backend server, so
/// that a crash report lists all of them. This includes a request whose caller
/// disconnects before the request crashes the server. Not synchronised.
///
/// An attempt is unproven until it has run long enough to be an unlikely cause
/// of a crash.
class CrashWatch {
 public:
  using Ticket = std::uint64_t;

  /// Starts tracking an attempt.
  Ticket Begin(MonoTime now, WatchedAttempt attempt);

  /// Records that the attempt has run long enough to be an unlikely cause of a
  /// crash. It no longer counts as isolated unless `stays_isolated` is set.
  void MarkProven(MonoTime now, Ticket ticket, bool stays_isolated);

  /// Records the end of the attempt and stops tracking it if it is proven. An
  /// unproven attempt is kept for a short time, since its server may still
  /// crash because of it.
  void End(MonoTime now, Ticket ticket);

  /// Stops tracking an attempt that cannot have crashed the server: it
  /// completed or did not run.
  void Discard(Ticket ticket);

  /// Returns all requests that ran on `server` when it died, and stops tracking
  /// them. Later calls for the same crash return an empty list.
  std::vector<wire::Suspect> OnServerDied(MonoTime now, const ServerId& server);

  /// Returns the server on which an unproven copy of the same request runs.
  /// Further copies are sent there too, so that together they can crash at most
  /// one server. Returns nullopt for a request that recently ran without a
  /// crash.
  std::optional<ServerId> FindUnprovenCopy(
      const Fingerprint& fingerprint) const;

 private:
  struct Entry {
    WatchedAttempt attempt;
    bool proven = false;
    std::optional<MonoTime> ended_at;
  };

  void RemoveExpired(MonoTime now);
  void Erase(Ticket ticket);

  std::unordered_map<Ticket, Entry> entries_;
  std::unordered_map<ServerId, std::vector<Ticket>> by_server_;
  std::unordered_map<Fingerprint, std::vector<Ticket>> by_fingerprint_;
  /// Ended unproven attempts, the oldest first.
  std::deque<Ticket> ended_unproven_;
  /// Requests that recently ran without a crash, with the time at which this
  /// record expires.
  std::unordered_map<Fingerprint, MonoTime> harmless_until_;
  Ticket next_ticket_ = 1;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_CRASH_WATCH_H_
