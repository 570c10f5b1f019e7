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

/// A model in an engine's memory, with the adapters that are loaded for it.
struct ResidentModel {
  ModelId model;
  std::uint64_t weights_version = 0;
  std::vector<AdapterId> adapters;

  friend bool operator==(const ResidentModel&, const ResidentModel&) = default;
};

/// What a backend server says of itself.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  /// "ip:port"
  std::string address;
  ZoneId zone;
  std::uint32_t batch_size = 1;
  bool draining = false;
  /// Set if it is taken away at short notice: what was left as it said so.
  std::optional<Duration> remaining;
  std::vector<ResidentModel> models;
  /// Copies of weights from which a load is fast.
  std::vector<ModelId> models_in_memory;
  std::vector<ModelId> models_on_disk;
  /// Milliseconds since 1970 of its start, on its own clock; zero if unknown.
  std::uint64_t started_at_ms = 0;

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

/// One change of the platform's list of backend servers.
struct ServerChange {
  ServerId id;
  /// None if the entry was removed.
  std::optional<ServerEntry> entry;
};

/// How removals around an outage are treated.
struct ServerDirectorySettings {
  /// Entries of living servers are back within this time after an outage.
  Duration reappear_grace = std::chrono::milliseconds(2500);
  /// An outage is over for the list once reads have worked for this long.
  Duration outage_memory = std::chrono::milliseconds(3000);
};

/// What a call changed, for log lines and for those that depend on the list.
enum class ServerChangeEffect {
  kNone,
  kAdded,
  kUpdated,
  kDraining,
  kRemoved,
  /// Removed from the store's list, but kept for the grace time.
  kHeld,
};

/// The backend servers as this host believes them to be.
///
/// The list can lose entries while the platform's store is away, although the
/// servers live: what is removed in that time, or shortly after it, is kept
/// for a grace time in which a living server registers again. An entry of an
/// earlier start than one already seen is passed over.
class ServerDirectory {
 public:
  explicit ServerDirectory(ServerDirectorySettings settings)
      : settings_(settings) {}
  ServerDirectory() : ServerDirectory(ServerDirectorySettings{}) {}

  ServerChangeEffect Apply(MonoTime now, const ServerChange& change);

  /// Takes the whole list as of `now`: what is missing in it is removed.
  /// Calls `changed` for each server that something happened to.
  void Replace(
      MonoTime now,
      const std::vector<ServerEntry>& entries,
      const std::function<void(const ServerId&, ServerChangeEffect)>& changed);

  /// A read of the list failed.
  void OnReadFailed(MonoTime now) { last_failure_ = now; }

  /// Drops held entries whose grace time is over; returns them.
  std::vector<ServerId> Expire(MonoTime now);

  /// When `Expire` has something to do next.
  std::optional<MonoTime> NextExpiry() const;

  const std::map<ServerId, ServerEntry>& servers() const { return servers_; }

 private:
  bool InOutage(MonoTime now) const;

  ServerDirectorySettings settings_;
  std::map<ServerId, ServerEntry> servers_;
  /// Removed from the store's list, and until when they are kept.
  std::map<ServerId, MonoTime> held_;
  std::optional<MonoTime> last_failure_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_DIRECTORY_H_
