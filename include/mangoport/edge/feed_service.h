#ifndef MANGOPORT_EDGE_FEED_SERVICE_H_
#define MANGOPORT_EDGE_FEED_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/config_feed.h"
#include "mangoport/fleet/evacuations.h"
#include "mangoport/fleet/feed_tracker.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/key_evidence.h"
#include "mangoport/fleet/server_feed.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/ports/fleet_platform.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

struct FeedSettings {
  /// The time for which the store holds a reader's call for the configuration
  /// if there is no change. Each reply confirms the keys as of the time at
  /// which the call was sent.
  Duration config_wait = std::chrono::milliseconds(800);
  /// The interval at which a reader reads the list of servers.
  Duration servers_interval = std::chrono::milliseconds(900);
  /// A host reads the feeds itself once the readers' newest update is older.
  Duration config_patience = std::chrono::milliseconds(1500);
  Duration servers_patience = std::chrono::milliseconds(1500);
  /// Hosts that learn of a restored store from another host read the feeds at
  /// random times within this time.
  Duration restart_spread = std::chrono::milliseconds(400);
  Duration hosts_interval = std::chrono::seconds(30);
  /// After a restore of the store, the hosts read their list anew, spread over
  /// this time for each host of it.
  Duration hosts_spread = std::chrono::milliseconds(10);
  /// The delay after a failed call doubles from the first to the longest.
  Duration first_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(800);
};

/// The state of the feeds that a host sends to the others. A feed that the host
/// has not read itself recently is omitted.
struct FeedUpdates {
  std::optional<FeedUpdate> config = std::nullopt;
  std::optional<ServerFeedUpdate> servers = std::nullopt;
  /// The evacuated zones as of the position of `config`; none without it, and
  /// from hosts that do not know of evacuations.
  std::optional<std::set<ZoneId>> evacuated_zones = std::nullopt;
};

/// Callbacks for changes of the feeds.
struct FeedHooks {
  std::function<void(FleetConfigPtr config)> on_config;
  /// Evacuations have begun or ended; `ended` are no longer evacuated.
  std::function<void(const std::set<ZoneId>& zones,
                     const std::vector<ZoneId>& ended)>
      on_evacuations;
  /// Servers have changed; `removed` are no longer listed.
  std::function<void(const std::map<ServerId, ServerEntry>& servers,
                     const std::vector<ServerId>& removed)>
      on_servers;
  std::function<void(const std::vector<HostAddress>& hosts)> on_hosts;
  /// This host has read a change that it should send to the others at once.
  std::function<void()> on_news;
  /// A read stopped short of the log's end.
  std::function<void()> on_short_read;
  /// The list of servers differs from another host's at the same position. This
  /// host then reads the whole list.
  std::function<void()> on_difference;
};

/// Reads the operators' configuration, the list of backend servers and the list
/// of hosts from the store, and registers this host in the last one. A few
/// hosts read the first two on behalf of all; see `FeedTracker`.
///
/// A configuration is applied only if its version is higher than the current
/// one. Each confirmation that the configuration is current updates the key
/// evidence; a read that stopped short of the log's end is none.
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

  /// Stops making calls.
  void Stop() { stopped_ = true; }

  /// Sets whether this host reads the feeds on behalf of the others.
  void SetReader(bool reader);

  /// Returns what this host has read itself, without the changes of servers.
  FeedUpdates OwnUpdates(BootTime now) const;

  /// Returns the same with the changes of servers after `position`, for a host
  /// that has the list up to there.
  FeedUpdates OwnUpdatesSince(MonoTime now,
                              BootTime boot_now,
                              const StorePosition& position);

  /// The position of the list of servers that this host uses; zero before the
  /// first read.
  const StorePosition& servers_position() const {
    return server_feed_.list_position();
  }

  /// Processes a timeline of the store that an answer of the store or another
  /// host named. If it is a later one, both feeds are read anew.
  void OnStoreTimeline(StoreTimeline timeline, TimelineSource source);
  /// Reads the list of hosts soon if the store is of a later timeline: this
  /// host's announcement may be lost.
  void CheckAnnouncement(StoreTimeline timeline);

  /// The store answered a call of this host.
  void OnStoreAnswered(MonoTime now) { server_feed_.OnStoreAnswered(now); }

  /// Processes what another host, `peer`, has read.
  void OnPeerUpdates(MonoTime now,
                     const HostId& peer,
                     const FeedUpdates& updates);

  bool has_config() const { return config_feed_.version().has_value(); }
  bool has_servers() const { return server_feed_.has_list(); }

 private:
  /// Another host's read shows that the store answered it.
  void NoteProof(MonoTime now, const FeedUpdate& update);

  using Step = void (FeedService::*)();

  /// The state of the repeated calls for one feed.
  struct Feed {
    std::string_view name;
    /// When the last read was sent, and from which position.
    BootTime sent_at = {};
    FeedPosition asked = std::nullopt;
    Duration backoff{};
    bool in_flight = false;
    /// The store holds the read under way until there is news.
    bool held = false;
    /// Counts the reads; the result of an earlier one is ignored.
    std::uint64_t reads = 0;
    bool lost = false;
    TimerQueue::Ticket timer = TimerQueue::kNoTicket;
  };

  /// Reads the feed if a read is due; otherwise sets a timer for it.
  void FollowConfig();
  void FollowServers();
  void Follow(Feed& feed, Duration wait, Step follow, Step read);
  void ReadConfig();
  /// Returns for how long the store may hold a read of the configuration.
  Duration ConfigWait(BootTime now) const;
  void OnConfig(CallReply<ConfigNews> reply);
  /// Gives up the read under way: the store would have answered it by now.
  void ReplaceConfigRead();
  void ApplyConfig(FleetConfig config);
  /// Logs the changes and calls the hook for them.
  void OnEvacuations(const EvacuationOutcome& outcome,
                     std::string_view source,
                     const StorePosition& position);
  void ReadServers();
  void OnServers(const CallReply<ServerNews>& reply);
  /// Logs the outcome and calls the hooks for it.
  void OnServerOutcome(MonoTime now, const ServerFeedOutcome& outcome);
  void OnConfigUpdate(const FeedUpdate& update);
  void OnPeerEvacuations(MonoTime now,
                         const HostId& peer,
                         const FeedUpdates& updates);
  void OnServersUpdate(MonoTime now,
                       const HostId& peer,
                       const ServerFeedUpdate& update);
  void ExpireServers(MonoTime now);
  void Announce();
  void ReadHosts();
  void OnHosts(const CallReply<HostNews>& reply);
  bool IsListed(const std::vector<HostAddress>& hosts) const;
  /// Draws a delay, so that the hosts do not all read their list at once.
  Duration DrawHostsDelay();
  /// Runs the step after `wait`; replaces the feed's pending step.
  void StepAfter(Feed& feed, Duration wait, Step step);
  /// Returns the delay before the next call; logs the first of several
  /// failures.
  Duration NoteFailure(Feed& feed, CallStatus status, const std::string& error);
  void NoteSuccess(Feed& feed);
  /// Logs that the feed is read anew, and that `position` is given up.
  void LogRestart(const Feed& feed,
                  const FeedPosition& position,
                  std::string_view reason);
  /// Logs that a read stopped short of the log's end.
  void LogShortRead(const Feed& feed,
                    const StorePosition& next,
                    std::uint64_t log_end);
  /// Logs that the result of a read is not used.
  void LogDiscarded(const Feed& feed,
                    FeedReadUse use,
                    const StorePosition& next);
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
  std::mt19937_64 random_;
  ConfigFeed config_feed_;
  Evacuations evacuations_;
  ServerFeed server_feed_;
  /// The highest timeline of the store known; the list of hosts has
  /// `listed_hosts_` entries.
  std::optional<StoreTimeline> hosts_timeline_;
  std::size_t listed_hosts_ = 1;
  TimerQueue::Ticket expiry_timer_ = TimerQueue::kNoTicket;
  bool stopped_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_FEED_SERVICE_H_
