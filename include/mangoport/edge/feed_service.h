#ifndef MANGOPORT_EDGE_FEED_SERVICE_H_
#define MANGOPORT_EDGE_FEED_SERVICE_H_

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/feed_tracker.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/key_evidence.h"
#include "mangoport/fleet/server_feed.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/ports/fleet_platform.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

struct FeedSettings {
  /// How long a reader's call for the configuration waits for news; each answer
  /// proves the keys current as of its sending.
  Duration config_wait = std::chrono::milliseconds(800);
  /// From one read of the list of servers to a reader's next one.
  Duration servers_interval = std::chrono::milliseconds(900);
  /// A host reads for itself once the readers' word is older than this.
  Duration config_patience = std::chrono::milliseconds(1500);
  Duration servers_patience = std::chrono::milliseconds(1500);
  Duration hosts_interval = std::chrono::seconds(30);
  /// Pauses after a failed call; they double up to the longest.
  Duration first_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(800);
};

/// What a host tells the others of the feeds that it reads itself. A feed that
/// it does not read, or could not read lately, is left out.
struct FeedWords {
  std::optional<FeedUpdate> config = std::nullopt;
  std::optional<ServerFeedUpdate> servers = std::nullopt;
};

/// What the feeds bring.
struct FeedHooks {
  std::function<void(FleetConfigPtr config)> on_config;
  /// Servers have changed; `removed` are gone for good.
  std::function<void(const std::map<ServerId, ServerEntry>& servers,
                     const std::vector<ServerId>& removed)>
      on_servers;
  std::function<void(const std::vector<HostAddress>& hosts)> on_hosts;
  /// This host has read news that the others should hear of at once.
  std::function<void()> on_news;
  /// Another host lists other servers at the same position; this host now reads
  /// the whole list.
  std::function<void()> on_difference;
};

/// Follows the operators' configuration, the list of backend servers and the
/// list of hosts, and keeps this host on the latter. A few hosts read the
/// first two for all; see `FeedTracker`.
///
/// A configuration is taken only if its version is higher than that in force.
/// The time of each proof that the configuration is current goes to the key
/// evidence.
class FeedService {
 public:
  FeedService(FleetPlatform& platform,
              TimerQueue& timers,
              KeyEvidence& key_evidence,
              DecisionLog& log,
              HostAddress self,
              const FeedSettings& settings,
              FeedHooks hooks);

  FeedService(const FeedService&) = delete;
  FeedService& operator=(const FeedService&) = delete;

  void Start();

  /// Starts no more calls.
  void Stop() { stopped_ = true; }

  /// Whether this host reads the feeds for the others.
  void SetReader(bool reader);

  /// What this host has read itself, without changes of servers.
  FeedWords OwnWords(BootTime now) const;

  /// The same with the changes that a host lacks which knows the list of
  /// servers up to `position`.
  FeedWords OwnWordsSince(MonoTime now,
                          BootTime boot_now,
                          std::uint64_t position);

  /// How far this host knows the list of servers.
  std::uint64_t servers_position() const {
    return server_feed_.position().value_or(0);
  }

  /// What another host, `peer`, has read.
  void OnPeerWords(MonoTime now, const HostId& peer, const FeedWords& words);

  bool has_config() const { return version_.has_value(); }
  bool has_servers() const { return server_feed_.has_list(); }

 private:
  using Step = void (FeedService::*)();

  /// The calls for one of the things that are read over and over.
  struct Feed {
    std::string_view name;
    /// When the newest read was sent.
    BootTime sent_at = {};
    Duration backoff{};
    bool in_flight = false;
    bool lost = false;
    TimerQueue::Ticket timer = TimerQueue::kNoTicket;
  };

  /// Reads the feed if that is due, and otherwise waits until it is.
  void FollowConfig();
  void FollowServers();
  void Follow(Feed& feed, Duration wait, Step follow, Step read);
  void ReadConfig();
  void OnConfig(CallReply<ConfigNews> reply);
  void ApplyConfig(FleetConfig config, std::uint64_t next);
  void ReadServers();
  void OnServers(const CallReply<ServerNews>& reply);
  /// Logs what the feed made of an input and tells the other parts.
  void OnServerOutcome(MonoTime now, const ServerFeedOutcome& outcome);
  void OnConfigWord(const FeedUpdate& word);
  void OnServersWord(MonoTime now,
                     const HostId& peer,
                     const ServerFeedUpdate& word);
  void ExpireServers(MonoTime now);
  void Announce();
  void ReadHosts();
  /// Takes the step after `wait`, in place of one that waits already.
  void StepAfter(Feed& feed, Duration wait, Step step);
  /// The pause after a failure; logs the first one.
  Duration NoteFailure(Feed& feed, CallStatus status, const std::string& error);
  void NoteSuccess(Feed& feed);
  void LogProblems(const Feed& feed, const std::vector<std::string>& problems);

  FleetPlatform& platform_;
  TimerQueue& timers_;
  KeyEvidence& key_evidence_;
  DecisionLog& log_;
  HostAddress self_;
  FeedSettings settings_;
  FeedHooks hooks_;
  Feed config_;
  Feed servers_;
  Feed hosts_;
  std::optional<std::uint64_t> version_;
  /// The position behind the newest configuration.
  std::uint64_t config_changed_at_ = 0;
  FeedTracker config_track_;
  ServerFeed server_feed_;
  TimerQueue::Ticket expiry_timer_ = TimerQueue::kNoTicket;
  bool stopped_ = false;
  std::mt19937_64 random_;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_FEED_SERVICE_H_
