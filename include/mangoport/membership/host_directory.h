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
#include "mangoport/membership/spread_queue.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

/// One entry host as this host sees it.
struct KnownHost {
  HostId id;
  ZoneId zone;
  /// "ip:port" of its peer server.
  std::string address;
  /// Zero if it is known from the platform's list only.
  std::uint64_t incarnation = 0;
  wire::HostCondition condition = wire::HOST_CONDITION_LIVE;
  /// When this host last heard from it directly; the epoch if never.
  MonoTime heard_at{};
  /// When this incarnation was first heard of.
  MonoTime known_since{};
  MonoTime condition_since{};
  std::set<HostId> accusers;
  /// This host's latest call to it failed; it is called once more before it
  /// is accused.
  bool doubted = false;
  bool listed = false;
  /// Peers alone say that it is gone; the platform's list does not.
  bool gone_by_peers = false;
};

/// One line of the platform's list.
struct HostStatement {
  HostId id;
  ZoneId zone;
  std::string address;
  bool leaving = false;
};

struct DirectoryOptions {
  /// A suspect that nobody has heard from for so long is gone.
  Duration suspicion_timeout = std::chrono::seconds(3);
  /// Hosts that must have failed to reach a suspect before it is gone.
  std::size_t accusers_needed = 2;
  /// Largest share of a zone's hosts that is taken as gone on the word of
  /// peers alone. One host may always be, but never the last.
  double max_gone_share = 1.0 / 3;
  /// Latest probes of live hosts by which this host judges itself.
  std::size_t self_check_window = 8;
  /// A host missing from the list is kept if it was heard from so lately.
  Duration list_grace = std::chrono::seconds(5);
  /// A leaving host not heard from for so long is gone.
  Duration leaving_timeout = std::chrono::seconds(30);
  /// How long a host that is gone is remembered.
  Duration forget_after = std::chrono::minutes(10);
};

/// Merges the platform's lagging list with what hosts see of each other.
///
/// Failures are found by probes and spread as suspicions, which the suspect
/// refutes by raising its incarnation (after SWIM, Das et al. 2002). A host
/// that fails to reach most others holds itself at fault and accuses nobody.
class HostDirectory {
 public:
  /// `self` holds this host's id, zone, address and first incarnation, which
  /// must be higher than that of any earlier run under the same id.
  HostDirectory(wire::HostUpdate self, DirectoryOptions options);

  /// Takes the list as it stood `age` ago. Pages older than one already taken
  /// are ignored.
  void OnList(MonoTime now,
              Duration age,
              const std::vector<HostStatement>& hosts);

  /// The host itself has sent a message or a reply.
  void OnHeard(MonoTime now, const wire::HostUpdate& sender);

  /// The host was called and did not answer in time.
  void OnProbeFailed(MonoTime now, const HostId& host);
  void OnProbeAnswered(const HostId& host);

  /// Another host's word about a host.
  void Merge(MonoTime now, const wire::HostUpdate& update);

  /// Moves suspects on to gone and forgets old entries.
  void Tick(MonoTime now);

  /// This host takes no more work from now on.
  void AnnounceLeaving();

  const wire::HostUpdate& self() const { return self_; }

  /// News for the next message, at most `max`.
  std::vector<wire::HostUpdate> TakeUpdates(std::size_t max);

  /// All that is known of other hosts, for one that asks for it.
  std::vector<wire::HostUpdate> AllUpdates() const;

  /// What is held against `host`, so that it can refute it.
  std::optional<wire::HostUpdate> AccusationOf(const HostId& host) const;

  /// Suspects that this host should try to reach for itself.
  std::vector<HostId> TakeProbesWanted();

  const KnownHost* Find(const HostId& host) const;

  /// Other hosts, in the order of their ids.
  const std::map<HostId, KnownHost>& hosts() const { return hosts_; }

  /// Other hosts that may be given work, and those that may only be suspects.
  std::vector<const KnownHost*> Live() const;
  std::vector<const KnownHost*> Contactable() const;

  /// True if enough of the latest probes were answered.
  bool self_check_passed() const;

 private:
  void RefuteIfAccused(const wire::HostUpdate& update);
  KnownHost& Ensure(MonoTime now, const wire::HostUpdate& update);
  static void StartRun(MonoTime now,
                       KnownHost& host,
                       const wire::HostUpdate& update);
  void Change(MonoTime now, KnownHost& host, wire::HostCondition condition);
  void DeclareGone(MonoTime now, KnownHost& host, bool by_peers);
  void Accuse(MonoTime now, KnownHost& host, const HostId& accuser);
  bool MayDeclareGone(const KnownHost& host) const;
  bool HasEnoughAccusers(const KnownHost& host) const;
  std::size_t ZoneSize(const ZoneId& zone) const;
  void RemoveUnlisted(MonoTime now,
                      MonoTime listed_at,
                      const std::set<HostId>& listed);
  void Spread(const HostId& host);

  wire::HostUpdate self_;
  DirectoryOptions options_;
  std::map<HostId, KnownHost> hosts_;
  SpreadQueue<HostId> news_;
  std::vector<HostId> probes_wanted_;
  /// Whether the latest probes of hosts believed live were answered.
  std::deque<bool> own_probes_;
  MonoTime list_time_{};
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_HOST_DIRECTORY_H_
