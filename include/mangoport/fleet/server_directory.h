#ifndef MANGOPORT_FLEET_SERVER_DIRECTORY_H_
#define MANGOPORT_FLEET_SERVER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/fleet_config.h"

namespace mangoport {

/// A model in an engine's memory, with its loaded adapters.
struct ResidentModel {
  ModelId model;
  std::uint64_t weights_version = 0;
  std::vector<AdapterId> adapters;

  friend bool operator==(const ResidentModel&, const ResidentModel&) = default;
};

/// The state that a backend server registers in the platform's list.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  /// "ip:port"
  std::string address;
  ZoneId zone;
  std::uint32_t batch_size = 1;
  bool draining = false;
  /// Set if the server is to be removed at short notice: the time that remained
  /// when it registered this entry.
  std::optional<Duration> remaining;
  std::vector<ResidentModel> models;
  /// Models whose weights are cached in memory or on disk, for a fast load.
  std::vector<ModelId> models_in_memory;
  std::vector<ModelId> models_on_disk;
  /// Start time of the server in milliseconds since 1970, on its own clock;
  /// zero if unknown.
  std::uint64_t started_at_ms = 0;

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

/// A change to the platform's list of backend servers.
struct ServerChange {
  ServerId id;
  /// None if the entry was removed.
  std::optional<ServerEntry> entry;
};

/// Settings for removals during and after an outage of the store.
struct ServerDirectorySettings {
  /// Running servers register again within this time after an outage.
  Duration reregister_grace = std::chrono::milliseconds(2500);
  /// An outage ends once no read has failed for this long.
  Duration outage_recovery_time = std::chrono::milliseconds(3000);
};

/// The effect of a change, for log lines and for users of the list.
enum class ServerChangeEffect {
  kNone,
  kAdded,
  kUpdated,
  kDraining,
  kRemoved,
  /// Removed from the store's list, but kept for the grace period.
  kHeld,
  /// Kept for the grace period in vain.
  kRemovedAfterGrace,
};

/// This host's view of the backend servers.
///
/// While the platform's store is unavailable, entries of running servers can
/// expire from its list. An entry that is removed during an outage or shortly
/// after it is therefore kept for a grace period, in which a running server
/// registers again. An entry from an earlier start of a server than the known
/// one is ignored.
class ServerDirectory {
 public:
  explicit ServerDirectory(ServerDirectorySettings settings)
      : settings_(settings) {}
  ServerDirectory() : ServerDirectory(ServerDirectorySettings{}) {}

  /// Applies one change of the list and returns its effect.
  ServerChangeEffect Apply(MonoTime now, const ServerChange& change);

  /// Replaces the list with `entries`, read at `now`; servers that are missing
  /// in it are removed. Calls `changed` for each affected server.
  void Replace(
      MonoTime now,
      const std::vector<ServerEntry>& entries,
      const std::function<void(const ServerId&, ServerChangeEffect)>& changed);

  /// Records a failed read of the list.
  void OnReadFailed(MonoTime now) { last_failure_ = now; }

  /// Removes held entries whose grace period is over and returns their ids.
  std::vector<ServerId> Expire(MonoTime now);

  /// Returns when the next grace period ends; none if no entry is held.
  std::optional<MonoTime> NextExpiry() const;

  const std::map<ServerId, ServerEntry>& servers() const { return servers_; }

 private:
  bool InOutage(MonoTime now) const;

  ServerDirectorySettings settings_;
  std::map<ServerId, ServerEntry> servers_;
  /// Entries that were removed from the store's list, with the end of their
  /// grace period.
  std::map<ServerId, MonoTime> held_;
  std::optional<MonoTime> last_failure_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_DIRECTORY_H_
