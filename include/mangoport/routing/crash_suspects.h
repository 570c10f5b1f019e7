#ifndef MANGOPORT_ROUTING_CRASH_SUSPECTS_H_
#define MANGOPORT_ROUTING_CRASH_SUSPECTS_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A request was under way on a connection that was lost.
struct CrashSuspicion {
  /// Hash of what makes a request the same when it comes again.
  std::uint64_t fingerprint = 0;
  ServerId server;
};

/// Finds the request that crashes each server that runs it, so that it stops
/// going from server to server while its caller sends it again.
///
/// A crash takes many innocent requests with it, but only the guilty one is
/// there each time: a request that was lost at several servers is quarantined.
/// Hosts tell each other their suspicions, since the caller's retries come to
/// different hosts.
class CrashSuspects {
 public:
  struct Settings {
    /// Servers at which a request must have been lost.
    std::size_t servers = 3;
    /// A suspicion is forgotten after this time.
    Duration memory = std::chrono::seconds(60);
    /// Own suspicions are told to other hosts for this long.
    Duration tell = std::chrono::seconds(3);
  };

  explicit CrashSuspects(const Settings& settings) : settings_(settings) {}
  CrashSuspects() : CrashSuspects(Settings{}) {}

  /// This host lost `suspicion.server` while it had the request.
  void OnLost(MonoTime now, const CrashSuspicion& suspicion);
  /// Another host did.
  void OnPeerLost(MonoTime now, const CrashSuspicion& suspicion);

  /// True if the request must reach no further server.
  bool IsQuarantined(MonoTime now, std::uint64_t fingerprint) const;

  /// What to tell other hosts.
  std::vector<CrashSuspicion> Recent(MonoTime now) const;

 private:
  struct Suspect {
    std::set<ServerId> servers;
    MonoTime last;
  };
  struct Own {
    CrashSuspicion suspicion;
    MonoTime at;
  };

  void Note(MonoTime now, const CrashSuspicion& suspicion);

  Settings settings_;
  std::unordered_map<std::uint64_t, Suspect> suspects_;
  std::vector<Own> own_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_CRASH_SUSPECTS_H_
