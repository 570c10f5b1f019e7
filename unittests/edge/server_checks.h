#ifndef MANGOPORT_UNITTESTS_EDGE_SERVER_CHECKS_H_
#define MANGOPORT_UNITTESTS_EDGE_SERVER_CHECKS_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "mangoport/core/invariant.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/server_directory.h"
#include "unittests/edge/server_store.h"

namespace mangoport {

constexpr ServerDirectorySettings kDirectory;
/// News older than this is known to each host that reaches the store.
constexpr Duration kApplyBound = std::chrono::seconds(2);
/// A host that has run and reached the store this long knows the news.
constexpr Duration kSettled = std::chrono::seconds(3);
/// A host uses an entry that it knew as removed after this time.
constexpr Duration kNoDoubt = kApplyBound + kDirectory.lapse_time;
/// A host knows a removed entry as gone after this time.
constexpr Duration kDropped = kApplyBound + kDirectory.reregister_grace;

struct ServerCheckTimes {
  MonoTime now;
  /// Since when the host runs and reaches the store.
  MonoTime up_since;
  /// The last restore of the store.
  MonoTime restored_at;
};

/// A server that has been registered for long is in a host's list, and one that
/// has not been for long is not.
inline void CheckServer(const ServerStore::Server& server,
                        bool known,
                        const ServerCheckTimes& at,
                        const std::string& name) {
  const Duration stable = at.now - std::max(server.changed_at, at.up_since);
  const auto detail = [&] {
    return name + ", stable for " +
           std::to_string(stable / std::chrono::milliseconds(1)) + " ms";
  };
  // A host may know the entry as removed, and waits whether it lapses.
  const bool doubtful =
      server.restored_at &&
      at.now - std::max(*server.restored_at, at.up_since) < kNoDoubt;
  if (server.alive && server.listed && !doubtful && stable >= kApplyBound)
    CheckInvariant(known, "registered servers are known in time", detail);
  const Duration gone = std::min<Duration>(stable, at.now - at.restored_at);
  if (!server.listed && gone >= kDropped)
    CheckInvariant(!known, "servers that are gone are dropped in time", detail);
  // Until servers had the time to register again after a restore, hosts go by
  // what they knew before.
  if (at.now - at.restored_at >= kDirectory.reregister_grace)
    return;
  const auto settled = [&](MonoTime since, Duration time) {
    return std::max(since, at.up_since) + time <= at.restored_at;
  };
  if (server.registered_since && settled(*server.registered_since, kNoDoubt))
    CheckInvariant(known, "a restore drops no running server", detail);
  // A host that has not known the server can't know that it was removed.
  const bool knew = server.gone_since && server.served_since &&
                    std::max(*server.served_since, at.up_since) + kSettled <=
                        *server.gone_since;
  if (knew &&
      settled(std::max(*server.gone_since, server.unlisted_at), kDropped))
    CheckInvariant(!known, "a restore brings no removed server back", detail);
}

inline void CheckServers(const ServerStore& store,
                         const std::map<ServerId, ServerEntry>& list,
                         const ServerCheckTimes& at,
                         const std::string& host) {
  for (int i = 0; i < ServerStore::kServers; ++i)
    CheckServer(store.server(i), list.contains(ServerStore::Name(i)), at,
                host + ", server " + std::to_string(i));
}

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_EDGE_SERVER_CHECKS_H_
