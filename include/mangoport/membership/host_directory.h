#ifndef MANGOPORT_MEMBERSHIP_HOST_DIRECTORY_H_
#define MANGOPORT_MEMBERSHIP_HOST_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/membership/dissemination_queue.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

/// The state of another entry host as known to this host.
struct KnownHost {
  HostId id;
  ZoneId zone;
  /// "ip:port" of its peer server.
  std::string address;
  /// Zero if the host is known only from the platform's list.
  std::uint64_t incarnation = 0;
  wire::HostCondition condition = wire::HOST_CONDITION_LIVE;
  /// When the latest message arrived directly from the host. The clock's epoch
  /// if none has.
  MonoTime last_received_at{};
  /// When this host first learned of this incarnation.
  MonoTime known_since{};
  MonoTime condition_since{};
  /// Hosts that report it as suspect.
  std::set<HostId> reporters;
  /// True if this host's latest probe of it failed. A second failed probe is
  /// required before this host reports it as suspect.
  bool last_probe_failed = false;
  /// True if it has appeared in the platform's list.
  bool listed = false;
  /// True if it is considered gone because of reports of peers, not because the
  /// platform's list omits it.
  bool declared_gone_by_peers = false;
};

/// One entry of the platform's host list.
struct HostListEntry {
  HostId id;
  ZoneId zone;
  std::string address;
  bool leaving = false;
};

struct DirectoryOptions {
  /// Time without a message from a suspect after which it is considered gone.
  Duration suspicion_timeout = std::chrono::seconds(3);
  /// Number of hosts that must report a suspect before it is considered gone.
  std::size_t min_reporters = 2;
  /// Maximum fraction of a zone's hosts that may be considered gone on reports
  /// of peers alone. One host always may, unless it is the last of its zone.
  double max_gone_share = 1.0 / 3;
  /// Number of recent probes of live hosts by which this host checks whether
  /// its own connectivity is at fault.
  std::size_t self_check_window = 8;
  /// A host that the list omits is kept if this host received a message from
  /// it, or first learned of its incarnation, after the list was made or less
  /// than this much earlier.
  Duration list_grace = std::chrono::seconds(5);
  /// Time without a message from a leaving host after which it is gone.
  Duration leaving_timeout = std::chrono::seconds(30);
  /// How long the entry of a gone host is kept.
  Duration forget_after = std::chrono::minutes(10);
};

/// Merges the platform's host list, which lags, with what hosts observe of each
/// other.
///
/// Probes detect failures. Hosts gossip them as suspicions, which the suspect
/// refutes by raising its incarnation (after SWIM, Das et al. 2002). A host
/// that fails to reach most others assumes that its own connectivity is at
/// fault and reports no suspects.
class HostDirectory {
 public:
  /// `self` holds this host's id, zone, address and initial incarnation, which
  /// must be higher than any that an earlier run used under the same id.
  HostDirectory(wire::HostUpdate self, DirectoryOptions options);

  /// Merges the platform's list as it was `age` ago. A list older than the
  /// latest one merged is ignored.
  void OnList(MonoTime now,
              Duration age,
              const std::vector<HostListEntry>& hosts);

  /// Handles a message or reply sent by `sender` itself.
  void OnMessageReceived(MonoTime now, const wire::HostUpdate& sender);

  /// Records that `host` did not answer a request in time.
  void OnProbeFailed(MonoTime now, const HostId& host);
  /// Records that `host` answered a request.
  void OnProbeAnswered(const HostId& host);

  /// Merges an update about a host that was received from another host.
  void Merge(MonoTime now, const wire::HostUpdate& update);

  /// Marks suspect and leaving hosts as gone after their timeouts, and removes
  /// old entries of gone hosts.
  void Tick(MonoTime now);

  /// Marks this host as leaving, so that peers give it no more work.
  void AnnounceLeaving();

  const wire::HostUpdate& self() const { return self_; }

  /// Returns at most `max` updates to add to the next message.
  std::vector<wire::HostUpdate> TakeUpdates(std::size_t max);

  /// Returns updates for all other hosts, for a peer that requests them.
  std::vector<wire::HostUpdate> AllUpdates() const;

  /// Returns the update that reports `host` as suspect, leaving or gone, so
  /// that `host` can refute it, or nullopt if `host` is unknown or live.
  std::optional<wire::HostUpdate> UpdateIfNotLive(const HostId& host) const;

  /// Returns and clears the hosts that this host should probe to confirm or
  /// dismiss a failure.
  std::vector<HostId> TakeHostsToProbe();

  /// Returns null if `host` is unknown.
  const KnownHost* Find(const HostId& host) const;

  /// Other hosts, ordered by id.
  const std::map<HostId, KnownHost>& hosts() const { return hosts_; }

  /// Other hosts that are live and may be given work.
  std::vector<const KnownHost*> Live() const;
  /// Other hosts that are live or suspect.
  std::vector<const KnownHost*> Contactable() const;

  /// True if at least half of the recent probes were answered, or too few were
  /// sent to tell.
  bool self_check_passed() const;

 private:
  /// Raises this host's incarnation if `update` reports another condition of
  /// this host or a higher incarnation.
  void RefuteIfContradicted(const wire::HostUpdate& update);
  KnownHost& FindOrAdd(MonoTime now, const wire::HostUpdate& update);
  static void ResetIncarnation(MonoTime now,
                               KnownHost& host,
                               const wire::HostUpdate& update);
  void SetCondition(MonoTime now,
                    KnownHost& host,
                    wire::HostCondition condition);
  void DeclareGone(MonoTime now, KnownHost& host, bool by_peers);
  void AddSuspicion(MonoTime now, KnownHost& host, const HostId& reporter);
  bool MayDeclareGone(const KnownHost& host) const;
  bool HasEnoughReporters(const KnownHost& host) const;
  std::size_t ZoneSize(const ZoneId& zone) const;
  void RemoveUnlisted(MonoTime now,
                      MonoTime listed_at,
                      const std::set<HostId>& listed);
  void QueueUpdate(const HostId& host);

  wire::HostUpdate self_;
  DirectoryOptions options_;
  std::map<HostId, KnownHost> hosts_;
  DisseminationQueue<HostId> update_queue_;
  /// Hosts that this host should probe itself.
  std::vector<HostId> hosts_to_probe_;
  /// Results of recent probes, true if answered. Failures count only for hosts
  /// that were live.
  std::deque<bool> recent_probes_;
  /// When the latest list merged was current.
  MonoTime latest_list_at_{};
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_HOST_DIRECTORY_H_
