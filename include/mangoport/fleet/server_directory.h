#ifndef MANGOPORT_FLEET_SERVER_DIRECTORY_H_
#define MANGOPORT_FLEET_SERVER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/store_outages.h"

namespace mangoport {

/// A model in an engine's memory, with its loaded adapters.
struct ResidentModel {
  ModelId model;
  std::uint64_t weights_version = 0;
  std::vector<AdapterId> adapters;

  friend bool operator==(const ResidentModel&, const ResidentModel&) = default;
};

/// How often a server has registered since its start; zero if unknown. It is no
/// part of the server's state, so all counts compare equal.
struct RegistrationCount {
  std::uint64_t value = 0;

  friend constexpr bool operator==(RegistrationCount /*a*/,
                                   RegistrationCount /*b*/) {
    return true;
  }
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
  /// How long the server remained cold when it registered this entry.
  Duration cold_left{};
  std::vector<ResidentModel> models;
  /// Models whose weights are cached in memory or on disk, for a fast load.
  std::vector<ModelId> models_in_memory;
  std::vector<ModelId> models_on_disk;
  /// Start time of the server in milliseconds since 1970, on its own clock;
  /// zero if unknown.
  std::uint64_t started_at_ms = 0;
  /// The count as of this entry: of two entries from one start, the one with
  /// the higher count is newer.
  RegistrationCount registrations;

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
  StoreOutageSettings outages = {};
  /// An entry that is still listed this long after a restore of the store is of
  /// a running server: the entry of one that is gone lapses after three missed
  /// registrations, which are some 1.2 s apart.
  Duration lapse_time = std::chrono::milliseconds(4000);
  /// Removals are remembered this long, for restores from older copies.
  Duration removal_memory = std::chrono::minutes(10);
};

/// The effect of a change, for log lines and for users of the list.
enum class ServerChangeEffect {
  kNone,
  kAdded,
  kUpdated,
  kDraining,
  kRemoved,
  /// Removed from the store's list, but kept for the grace period, or until all
  /// entries of the log have been read.
  kHeld,
  /// Kept in vain.
  kRemovedAfterGrace,
  /// The restored list shows a server as ready that this host knows as
  /// draining; it stays so until the server registers again.
  kKeptDraining,
  /// The restored list shows a server that this host knows as removed; it is
  /// not used until the server registers again or `lapse_time` is over.
  kDoubted,
};

/// What a read of the whole list is.
enum class WholeListKind {
  kPresent,
  /// The first list after a restore of the store. It may be from an older copy,
  /// so it proves neither that a server is gone nor that it is ready again.
  kRestored,
};

/// This host's view of the backend servers.
///
/// While the platform's store is unavailable, entries of running servers can
/// expire from its list. An entry that is removed during an outage or shortly
/// after it is therefore kept for a grace period, in which a running server
/// registers again. While the log has entries that are not read yet, it is kept
/// too. An entry from an earlier start of a server than the known
/// one is ignored. After a restore of the store, missing entries are kept
/// likewise, and what this host knows of draining and removed servers prevails
/// until they register again.
class ServerDirectory {
 public:
  explicit ServerDirectory(ServerDirectorySettings settings)
      : settings_(settings), outages_(settings.outages) {}
  ServerDirectory() : ServerDirectory(ServerDirectorySettings{}) {}

  /// Called for each affected server.
  using ChangeObserver =
      std::function<void(const ServerId& id, ServerChangeEffect effect)>;

  /// Applies one change of the list, which was written in the store's present
  /// timeline, and returns its effect.
  ServerChangeEffect Apply(MonoTime now, const ServerChange& change);

  /// Replaces the list with `entries`, read at `now`; servers that are missing
  /// in it are removed. Calls `changed` for each affected server.
  void Replace(MonoTime now,
               WholeListKind kind,
               const std::vector<ServerEntry>& entries,
               const ChangeObserver& changed);

  /// Records a failed read of the list, and an answer of the store to a call of
  /// this or another host; see `StoreOutages`.
  void OnReadFailed(MonoTime now) { outages_.OnFailure(now); }
  void OnStoreAnswered(MonoTime answered_at) { outages_.OnAnswer(answered_at); }

  /// Sets whether the log has entries that are not read yet. They may list
  /// again a server whose removal has been read, so until they are read no
  /// removal takes effect but that of a draining server.
  void set_catching_up(bool catching_up) { catching_up_ = catching_up; }

  /// Removes held entries whose grace period is over, and uses doubted entries
  /// that did not lapse.
  void Expire(MonoTime now, const ChangeObserver& changed);

  /// Returns when `Expire` has something to do next, if ever.
  std::optional<MonoTime> NextExpiry() const;

  const std::map<ServerId, ServerEntry>& servers() const { return servers_; }

 private:
  /// A listed entry that is not used yet.
  struct Doubt {
    ServerEntry entry;
    MonoTime until;
  };
  /// The grace period of an entry from one registration.
  struct Grace {
    std::uint64_t started_at_ms = 0;
    std::uint64_t registrations = 0;
    MonoTime until;
  };
  /// The last known entry of a server that was removed.
  struct Removal {
    ServerEntry entry;
    MonoTime removed_at;
  };

  /// The end of the grace period for an entry that was removed. It is not
  /// prolonged if the entry and its removal are read once more.
  MonoTime GraceEnd(MonoTime now, const ServerEntry& entry);
  /// Applies an entry of a whole list.
  ServerChangeEffect ApplyListed(MonoTime now,
                                 WholeListKind kind,
                                 const ServerEntry& entry);
  /// True if the server of `entry` was removed after a later registration: a
  /// write that the store carried out late.
  bool IsBeforeRemoval(const ServerEntry& entry) const;
  ServerChangeEffect Use(const ServerEntry& entry);
  ServerChangeEffect Remove(MonoTime now, const ServerId& id);
  /// Keeps a server that is no longer listed until then.
  ServerChangeEffect HoldUntil(MonoTime until, const ServerId& id);
  /// Drops the doubts about servers that are not in `present`, and removes or
  /// holds those in use.
  void RemoveMissing(MonoTime now,
                     WholeListKind kind,
                     const std::set<ServerId>& present,
                     const ChangeObserver& changed);

  ServerDirectorySettings settings_;
  std::map<ServerId, ServerEntry> servers_;
  /// Entries that were removed from the store's list, with the end of their
  /// grace period.
  std::map<ServerId, MonoTime> held_;
  /// The last grace period of each server, by the registration that it is for.
  std::map<ServerId, Grace> graces_;
  /// Servers that stay draining although the restored list shows them as ready.
  std::set<ServerId> kept_draining_;
  std::map<ServerId, Doubt> doubted_;
  std::map<ServerId, Removal> removals_;
  StoreOutages outages_;
  bool catching_up_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_DIRECTORY_H_
