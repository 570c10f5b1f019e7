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

/// One attempt at a backend server, as far as a crash could be blamed on it.
struct WatchedAttempt {
  ServerId server;
  Fingerprint fingerprint;
  std::uint64_t sketch = 0;
  bool isolated = false;
};

/// Remembers which requests run, or ran a moment ago, on which backend server,
/// so that all of them are named when it dies. A caller that hangs up on a
/// poisonous request before the crash is named too. Not synchronised.
class CrashWatch {
 public:
  using Ticket = std::uint64_t;

  Ticket Begin(MonoTime now, WatchedAttempt attempt);

  /// The attempt has run long enough to be an unlikely cause of a crash.
  /// It no longer counts as isolated, unless it has to stay so to its end.
  void MarkProven(MonoTime now, Ticket ticket, bool stays_isolated);

  /// The attempt is over; its server may still die of it for a moment.
  void End(MonoTime now, Ticket ticket);

  /// The attempt is over and cannot have reached the server.
  void Withdraw(Ticket ticket);

  /// Everything that ran on `server` when it died. Later calls for the same
  /// death return an empty list.
  std::vector<wire::Suspect> OnServerDied(MonoTime now, const ServerId& server);

  /// The server on which the same request runs, still unproven. Its copies
  /// go there too, so that together they can crash no more than one server.
  /// None for a request that has lately run well.
  std::optional<ServerId> RunningOn(const Fingerprint& fingerprint) const;

 private:
  struct Entry {
    WatchedAttempt attempt;
    bool proven = false;
    std::optional<MonoTime> ended_at;
  };

  void Forget(MonoTime now);
  void Erase(Ticket ticket);

  std::unordered_map<Ticket, Entry> entries_;
  std::unordered_map<ServerId, std::vector<Ticket>> by_server_;
  std::unordered_map<Fingerprint, std::vector<Ticket>> by_fingerprint_;
  /// Ended attempts, the oldest first.
  std::deque<Ticket> lingering_;
  /// Requests that ran well, and until when that is remembered.
  std::unordered_map<Fingerprint, MonoTime> vouched_;
  Ticket next_ticket_ = 1;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_CRASH_WATCH_H_
