#ifndef MANGOPORT_ROUTING_CRASH_SUSPECTS_H_
#define MANGOPORT_ROUTING_CRASH_SUSPECTS_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A request that was in flight on a connection to a server when the connection
/// was lost.
struct CrashSuspicion {
  /// Hash of the request content; equal for a resent request.
  std::uint64_t fingerprint = 0;
  ServerId server;
};

/// Detects a request that crashes every server that runs it, and stops it from
/// crashing further servers when its caller resends it.
///
/// A crash fails all requests in flight on the server, but only the culprit is
/// in flight at every crash. A request that was lost at several servers is
/// therefore quarantined. Hosts exchange their suspicions because the caller's
/// retries reach different hosts.
class CrashSuspects {
 public:
  struct Settings {
    /// Distinct servers at which a request must be lost to be quarantined.
    std::size_t min_servers = 3;
    /// A suspicion expires after this time.
    Duration suspicion_lifetime = std::chrono::seconds(60);
    /// Local suspicions are reported to other hosts for this long.
    Duration report_duration = std::chrono::seconds(3);
  };

  explicit CrashSuspects(const Settings& settings) : settings_(settings) {}
  CrashSuspects() : CrashSuspects(Settings{}) {}

  /// Records that this host lost its connection to `suspicion.server` while the
  /// request was in flight there.
  void OnServerLost(MonoTime now, const CrashSuspicion& suspicion);
  /// Records the same, as reported by another host.
  void OnPeerServerLost(MonoTime now, const CrashSuspicion& suspicion);

  /// True if the request must not be sent to any server.
  bool IsQuarantined(MonoTime now, std::uint64_t fingerprint) const;

  /// Local suspicions that are recent enough to report to other hosts.
  std::vector<CrashSuspicion> Recent(MonoTime now) const;

 private:
  struct Suspect {
    std::set<ServerId> servers;
    MonoTime last_lost_at;
  };
  struct LocalSuspicion {
    CrashSuspicion suspicion;
    MonoTime at;
  };

  void AddSuspicion(MonoTime now, const CrashSuspicion& suspicion);

  Settings settings_;
  std::unordered_map<std::uint64_t, Suspect> suspects_;
  std::vector<LocalSuspicion> local_suspicions_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_CRASH_SUSPECTS_H_
