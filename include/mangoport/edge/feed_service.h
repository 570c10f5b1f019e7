#ifndef MANGOPORT_EDGE_FEED_SERVICE_H_
#define MANGOPORT_EDGE_FEED_SERVICE_H_

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/key_evidence.h"
#include "mangoport/fleet/server_directory.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/ports/fleet_platform.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

struct FeedSettings {
  /// How long a read of the configuration waits for news; each answer proves
  /// the keys current as of its sending.
  Duration config_wait = std::chrono::milliseconds(2000);
  Duration servers_interval = std::chrono::milliseconds(1100);
  Duration hosts_interval = std::chrono::seconds(15);
  /// Pauses after a failed call; they double up to the longest.
  Duration first_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(800);
};

/// What the feeds bring.
struct FeedHooks {
  std::function<void(FleetConfigPtr config)> on_config;
  /// Servers have changed; `removed` are gone for good.
  std::function<void(const std::map<ServerId, ServerEntry>& servers,
                     const std::vector<ServerId>& removed)>
      on_servers;
  std::function<void(const std::vector<HostAddress>& hosts)> on_hosts;
};

/// Follows the operators' configuration, the list of backend servers and the
/// list of hosts, and keeps this host on the latter.
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

  bool has_config() const { return version_.has_value(); }
  bool has_servers() const { return servers_read_; }

 private:
  /// One of the things that are read over and over.
  struct Feed {
    std::string_view name;
    FeedPosition position;
    Duration backoff{};
    bool lost = false;
  };

  void ReadConfig();
  void OnConfig(BootTime sent, CallReply<ConfigNews> reply);
  void ReadServers();
  void OnServers(CallReply<ServerNews> reply);
  void ApplyServers(MonoTime now, const ServerNews& news);
  void ExpireServers(MonoTime now);
  void Announce();
  void ReadHosts();
  void After(Duration wait, void (FeedService::*step)());
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
  Feed config_{.name = "config", .position = {}, .backoff = {}};
  Feed servers_{.name = "servers", .position = {}, .backoff = {}};
  Feed hosts_{.name = "hosts", .position = {}, .backoff = {}};
  std::optional<std::uint64_t> version_;
  ServerDirectory directory_;
  bool servers_read_ = false;
  bool stopped_ = false;
  std::mt19937_64 random_;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_FEED_SERVICE_H_
