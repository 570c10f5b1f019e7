#ifndef MANGOPORT_MEMBERSHIP_GOSSIP_H_
#define MANGOPORT_MEMBERSHIP_GOSSIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/membership/config_replica.h"
#include "mangoport/membership/host_directory.h"
#include "mangoport/membership/server_notices.h"
#include "mangoport/membership/withdrawal_overlay.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

struct GossipOptions {
  /// Interval at which each host exchanges state with one random peer.
  Duration period = std::chrono::seconds(1);
  /// Fraction of these exchanges that go to other zones.
  double other_zone_share = 0.15;
  /// Minimum number of exchanges with other zones per period, summed over the
  /// hosts of a zone.
  double min_other_zone_exchanges = 2;
  /// Number of peers in the same zone to which changes are pushed immediately.
  std::size_t fan_out = 3;
  /// Minimum time between two pushes. Changes in between are batched.
  Duration push_interval = std::chrono::milliseconds(100);
  /// Interval at which a host requests the complete host table of a peer. It
  /// is extended as needed to stay below `host_table_bytes_per_second`.
  Duration host_table_interval = std::chrono::seconds(5);
  double host_table_bytes_per_second = 500;
  /// Minimum time between requests to peers for missing configuration entries.
  Duration catch_up_interval = std::chrono::milliseconds(200);
  /// Number of hosts per zone that read the log. The others receive entries
  /// from peers.
  std::size_t log_readers_per_zone = 3;
  Duration log_retry_interval = std::chrono::milliseconds(500);
  /// A host whose configuration evidence is older than this reads the log
  /// itself. Its reads are spaced so that the hosts of a zone together make one
  /// read per `fallback_per_host`.
  Duration fallback_after = std::chrono::seconds(5);
  Duration fallback_per_host = std::chrono::milliseconds(250);
  /// Maximum random delay before a host that reads the log appends withdrawals
  /// that the log lacks. The jitter keeps hosts from appending them all at
  /// once.
  Duration max_record_jitter = std::chrono::seconds(4);
  /// Number of peers that must reply to a new host before it serves. If fewer
  /// are live, all of them.
  std::size_t bootstrap_peers = 3;
  Duration bootstrap_interval = std::chrono::milliseconds(300);
  /// A new host with enough replies serves after this time even if no peer
  /// could supply the highest offset that was reported to it.
  Duration bootstrap_timeout = std::chrono::seconds(30);
  DirectoryOptions directory;
  ReplicaLimits replica;
};

/// A request to send. The owner reports its outcome to `OnReply` or
/// `OnFailure`.
struct OutgoingSync {
  /// Empty if only the address is known, from the settings.
  HostId to;
  std::string address;
  MonoTime requested_at{};
  wire::SyncRequest request;
};

/// I/O that the owner must carry out.
struct GossipActions {
  std::vector<OutgoingSync> syncs;
  /// The offset to read the log from. The result goes to `OnLogReadResult`.
  std::optional<std::uint64_t> log_read_from;
  /// Withdrawals to append to the log.
  std::vector<wire::KeyWithdrawal> withdrawals_to_record;
};

/// Gossip protocol between the entry hosts of a fleet. Distributes membership,
/// configuration and key withdrawals. The class only makes decisions; the owner
/// serializes calls and does the I/O.
class Gossip {
 public:
  /// `self` is passed to `HostDirectory`. `seed_addresses` are the peer
  /// addresses from the settings, which a host contacts while it knows no
  /// peers. `is_recorded` tells whether the applied configuration shows a key
  /// as withdrawn. `random_seed` seeds the choice of peers and the jitter.
  Gossip(wire::HostUpdate self,
         std::vector<std::string> seed_addresses,
         GossipOptions options,
         ReplicaHooks replica,
         WithdrawalOverlay::IsRecorded is_recorded,
         std::uint64_t random_seed);

  /// Runs periodic work. Call it several times per second.
  GossipActions OnTick(MonoTime now);

  /// Handles a request from a peer and returns the reply to send. Adds any
  /// other I/O to `actions`.
  wire::SyncReply OnRequest(MonoTime now,
                            const wire::SyncRequest& request,
                            GossipActions& actions);
  /// Handles the reply to `sent`.
  GossipActions OnReply(MonoTime now,
                        const OutgoingSync& sent,
                        const wire::SyncReply& reply);
  /// Handles a request that failed or was not answered in time.
  void OnFailure(MonoTime now, const OutgoingSync& sent);

  /// Handles the result of the read that `GossipActions::log_read_from`
  /// requested.
  GossipActions OnLogReadResult(MonoTime now, const LogReadResult& result);

  /// Handles the platform's lists of hosts and servers as they were `age` ago.
  void OnPlatformList(MonoTime now,
                      Duration age,
                      const std::vector<HostListEntry>& hosts,
                      const std::vector<ServerListEntry>& servers);

  /// Handles an operator's request to withdraw a key.
  GossipActions Withdraw(MonoTime now, const wire::KeyWithdrawal& withdrawal);

  /// Records that this host saw a backend server leaving or unreachable.
  void OnServerObserved(MonoTime now,
                        const ServerId& server,
                        wire::ServerCondition observed);

  /// Marks this host as leaving and pushes that to peers immediately.
  GossipActions AnnounceLeaving(MonoTime now);

  /// True once this host may serve: it has read the log to its end, or has
  /// applied everything that the peers it bootstrapped from reported.
  bool ready() const { return ready_; }

  /// Upper bound on the staleness of the configuration applied on this host.
  std::optional<Duration> EvidenceAge(MonoTime now) const {
    return replica_.EvidenceAge(now);
  }

  bool IsWithdrawn(const KeyId& key) const { return overlay_.IsWithdrawn(key); }

  const HostDirectory& directory() const { return directory_; }
  const ServerNotices& servers() const { return servers_; }
  const ConfigReplica& replica() const { return replica_; }
  const WithdrawalOverlay& withdrawals() const { return overlay_; }

 private:
  wire::SyncRequest MakeRequest(MonoTime now);
  void Send(MonoTime now, const KnownHost& host, GossipActions& actions);
  const KnownHost* PickRandom(const std::vector<const KnownHost*>& from);
  const KnownHost* PickPeer();
  void SendProbes(MonoTime now, GossipActions& actions);
  void StartRound(MonoTime now, GossipActions& actions);
  void RequestBootstrap(MonoTime now, GossipActions& actions);
  void RequestFromSeed(MonoTime now, GossipActions& actions);
  void UpdateReady(MonoTime now);
  void AddWithdrawals(
      const google::protobuf::RepeatedPtrField<wire::KeyWithdrawal>&
          withdrawals);
  void MergeUpdates(
      MonoTime now,
      const google::protobuf::RepeatedPtrField<wire::HostUpdate>& hosts,
      const google::protobuf::RepeatedPtrField<wire::ServerUpdate>& servers);
  /// Handles an advance of the applied offset, which was `from` before.
  void OnOffsetAdvanced(std::uint64_t from);
  void PushChanges(MonoTime now, GossipActions& actions);
  void PushTo(MonoTime now,
              const std::vector<const KnownHost*>& targets,
              std::size_t n,
              GossipActions& actions);
  void CatchUpFrom(MonoTime now, const HostId& peer, GossipActions& actions);
  void SendMissingWithdrawals(MonoTime now,
                              const OutgoingSync& sent,
                              const wire::SyncReply& reply,
                              GossipActions& actions);
  void RequestLogRead(MonoTime now, GossipActions& actions);
  void RecordWithdrawals(MonoTime now, GossipActions& actions);
  bool IsLogReader() const;
  std::size_t ZoneSize() const;
  bool LogAnsweredRecently(MonoTime now) const;
  Duration Jitter(Duration up_to);
  Duration HostTableInterval() const;

  GossipOptions options_;
  std::vector<std::string> seed_addresses_;
  HostDirectory directory_;
  ServerNotices servers_;
  ConfigReplica replica_;
  WithdrawalOverlay overlay_;
  std::mt19937_64 random_;

  std::optional<MonoTime> started_at_;
  MonoTime next_round_{};
  MonoTime last_push_{};
  MonoTime last_catch_up_{};
  MonoTime last_bootstrap_{};
  MonoTime next_host_table_{};
  MonoTime next_log_read_{};
  MonoTime last_log_reply_at_{};
  std::optional<MonoTime> next_record_at_;
  bool log_read_pending_ = false;
  /// True if this host is one of its zone's log readers. Updated once per
  /// round. Initially true, so that a new host reads the log.
  bool log_reader_ = true;

  /// Changes that have not been pushed yet: the configuration entries from
  /// `push_from_` on, withdrawals, and the condition of this host.
  std::optional<std::uint64_t> push_from_;
  std::vector<wire::KeyWithdrawal> push_withdrawals_;
  bool push_self_ = false;

  bool ready_ = false;
  bool log_read_to_end_ = false;
  std::set<std::string> bootstrap_responders_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_GOSSIP_H_
