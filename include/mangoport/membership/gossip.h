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
  /// Each host asks one random peer so often.
  Duration period = std::chrono::seconds(1);
  /// Share of these peers that are in other zones.
  double other_zone_share = 0.15;
  /// Calls a round that a zone's hosts together make to other zones, at least.
  double other_zone_calls_per_zone = 2;
  /// Peers in the own zone to which news is pushed at once.
  std::size_t fan_out = 3;
  /// Shortest time between two pushes; news meanwhile goes together.
  Duration push_interval = std::chrono::milliseconds(100);
  /// A host asks a peer for all that it knows of other hosts so often, or
  /// more seldom where that would take more than so many bytes a second.
  Duration host_table_interval = std::chrono::seconds(5);
  double host_table_bytes_per_second = 500;
  Duration catch_up_interval = std::chrono::milliseconds(200);
  /// Hosts of a zone that read the log; the others hear from peers.
  std::size_t log_readers_per_zone = 3;
  Duration log_retry_interval = std::chrono::milliseconds(500);
  /// A host whose evidence is older reads the log itself, seldom enough that
  /// the hosts of a zone together make one read in `fallback_per_host`.
  Duration fallback_after = std::chrono::seconds(5);
  Duration fallback_per_host = std::chrono::milliseconds(250);
  /// Withdrawals that the log lacks are appended by one of its readers after
  /// a random share of this time.
  Duration record_spread = std::chrono::seconds(4);
  /// Peers that a new host hears out before it serves, if there are as many.
  std::size_t bootstrap_peers = 3;
  Duration bootstrap_interval = std::chrono::milliseconds(300);
  /// A new host that has heard a peer serves after this time even if nobody
  /// could give it the highest offset it was told of.
  Duration bootstrap_patience = std::chrono::seconds(30);
  DirectoryOptions directory;
  ReplicaLimits replica;
};

/// A request to send. Its outcome goes back to `OnReply` or `OnFailure`.
struct OutgoingSync {
  /// Empty for an address known only from the settings.
  HostId to;
  std::string address;
  MonoTime asked_at{};
  wire::SyncRequest request;
};

/// What the owner is to do.
struct GossipActions {
  std::vector<OutgoingSync> syncs;
  /// Read the log from this offset; the outcome goes to `OnLogReading`.
  std::optional<std::uint64_t> log_read_from;
  /// Publish these withdrawals to the log.
  std::vector<wire::KeyWithdrawal> withdrawals_to_record;
};

/// Keeps the entry hosts of a fleet in touch: membership, configuration and
/// key withdrawals. Pure decisions; the owner serialises calls and does I/O.
class Gossip {
 public:
  Gossip(wire::HostUpdate self,
         std::vector<std::string> seed_addresses,
         GossipOptions options,
         ReplicaHooks replica,
         WithdrawalOverlay::Recorded recorded,
         std::uint64_t seed);

  /// To be called several times a second.
  GossipActions OnTick(MonoTime now);

  wire::SyncReply OnRequest(MonoTime now,
                            const wire::SyncRequest& request,
                            GossipActions& actions);
  GossipActions OnReply(MonoTime now,
                        const OutgoingSync& sent,
                        const wire::SyncReply& reply);
  void OnFailure(MonoTime now, const OutgoingSync& sent);

  GossipActions OnLogReading(MonoTime now, const LogReading& reading);

  void OnPlatformList(MonoTime now,
                      Duration age,
                      const std::vector<HostStatement>& hosts,
                      const std::vector<ServerStatement>& servers);

  /// An operator withdraws a key through this host.
  GossipActions Withdraw(MonoTime now, const wire::KeyWithdrawal& withdrawal);

  /// This host saw that a backend server is leaving or can't be reached.
  void OnServerSeen(MonoTime now,
                    const ServerId& server,
                    wire::ServerCondition seen);

  /// Tells peers that this host is stopping.
  GossipActions AnnounceLeaving(MonoTime now);

  /// True once this host may serve: it has read the log to its end, or holds
  /// whatever the peers that it heard out have.
  bool ready() const { return ready_; }

  /// Upper bound on the age of the configuration in force here.
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
  const KnownHost* Pick(const std::vector<const KnownHost*>& from);
  const KnownHost* PickPartner();
  void SendProbes(MonoTime now, GossipActions& actions);
  void StartRound(MonoTime now, GossipActions& actions);
  void AskForBootstrap(MonoTime now, GossipActions& actions);
  void AskSeed(MonoTime now, GossipActions& actions);
  void UpdateReady(MonoTime now);
  void TakeWithdrawals(
      const google::protobuf::RepeatedPtrField<wire::KeyWithdrawal>& news);
  void TakeHostNews(
      MonoTime now,
      const google::protobuf::RepeatedPtrField<wire::HostUpdate>& hosts,
      const google::protobuf::RepeatedPtrField<wire::ServerUpdate>& servers);
  void OnMoved(std::uint64_t from);
  void PushNews(MonoTime now, GossipActions& actions);
  void PushTo(MonoTime now,
              const std::vector<const KnownHost*>& targets,
              std::size_t n,
              GossipActions& actions);
  void CatchUpFrom(MonoTime now, const HostId& peer, GossipActions& actions);
  void GiveMissingWithdrawals(MonoTime now,
                              const OutgoingSync& sent,
                              const wire::SyncReply& reply,
                              GossipActions& actions);
  void WantLogRead(MonoTime now, GossipActions& actions);
  void RecordWithdrawals(MonoTime now, GossipActions& actions);
  bool IsLogReader() const;
  std::size_t ZoneSize() const;
  bool LogAnsweredLately(MonoTime now) const;
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
  MonoTime log_answered_at_{};
  std::optional<MonoTime> record_at_;
  bool log_read_open_ = false;
  /// Of this zone's readers; judged once a round. A new host reads first.
  bool log_reader_ = true;

  /// News not pushed yet.
  std::optional<std::uint64_t> push_from_;
  std::vector<wire::KeyWithdrawal> push_withdrawals_;
  bool push_self_ = false;

  bool ready_ = false;
  bool log_read_to_end_ = false;
  std::set<std::string> bootstrap_heard_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_GOSSIP_H_
