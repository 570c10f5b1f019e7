#ifndef MANGOPORT_EDGE_EDGE_HOST_H_
#define MANGOPORT_EDGE_EDGE_HOST_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/edge/feed_service.h"
#include "mangoport/edge/holder_notice.h"
#include "mangoport/edge/listener.h"
#include "mangoport/edge/order_service.h"
#include "mangoport/edge/soft_state_service.h"
#include "mangoport/forward/backend_table.h"
#include "mangoport/forward/client_session.h"
#include "mangoport/forward/connection_pool.h"
#include "mangoport/forward/dialect.h"
#include "mangoport/forward/forward_metrics.h"
#include "mangoport/forward/forwarder.h"
#include "mangoport/forward/http_caller.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/limits/shared_quota.h"
#include "mangoport/ports/fleet_platform.h"
#include "mangoport/settings/edge_settings.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

/// Creates the platform client, which uses `caller` for its calls.
using PlatformFactory =
    std::function<std::unique_ptr<FleetPlatform>(HttpCaller& caller,
                                                 const EdgeSettings& settings,
                                                 ForwardMetrics& metrics)>;

/// Reads the settings file again after SIGHUP. None if it is invalid.
using SettingsReader = std::function<std::optional<EdgeSettings>()>;

/// An entry host with a single event loop, which serves callers' requests,
/// reads the platform's store and exchanges state with the other hosts.
class EdgeHost {
 public:
  EdgeHost(const EdgeSettings& settings,
           ForwardDialect dialect,
           const PlatformFactory& make_platform,
           SettingsReader read_settings);
  ~EdgeHost();

  EdgeHost(const EdgeHost&) = delete;
  EdgeHost& operator=(const EdgeHost&) = delete;

  /// Serves until SIGTERM or SIGINT and the end of the requests in progress.
  void Run();

 private:
  using RequestHandler =
      std::function<void(std::shared_ptr<ClientSession>, HttpRequest)>;

  std::unique_ptr<Listener> Listen(const Endpoint& endpoint,
                                   std::size_t max_connections,
                                   RequestHandler on_request);
  std::shared_ptr<ClientSession> MakeSession(TcpStream::Ptr stream,
                                             RequestHandler on_request,
                                             ClientSessionHooks hooks);
  std::vector<std::shared_ptr<ClientSession>> CallerSessions() const;
  FeedHooks MakeFeedHooks();
  /// A backend server said that it leaves.
  void OnServerLeaving(const ServerId& server);
  /// The store's answer or the peer `source_name` named a timeline of the
  /// store.
  void OnStoreAnswer(const StoreAnswer& answer);
  void OnStoreTimeline(StoreTimeline timeline,
                       TimelineSource source,
                       std::string_view source_name);
  /// The store was of `timeline` at `known_since` already.
  void OnTimelineAge(StoreTimeline timeline, BootTime known_since);
  void AnswerStatus(const std::shared_ptr<ClientSession>& session,
                    const HttpRequest& request);
  bool IsReady() const;

  void FillFeeds(MonoTime now, const PeerHost& peer, wire::HostState& message);
  void FillState(MonoTime now, const PeerHost& peer, wire::HostState& message);
  void OnPeerState(MonoTime now,
                   std::optional<BootTime> sent_after,
                   const wire::HostState& message);
  /// Processes the part of a peer's state that is not about feeds.
  void OnPeerFullState(MonoTime now, const wire::HostState& message);
  /// Takes in which backend servers told a peer that they leave.
  void NotePeerLeavingServers(MonoTime now, const wire::HostState& message);
  /// Adapts timeouts for silent peers to the size of the fleet.
  void AdaptToFleetSize();
  /// Tells the table of servers which hosts share those of this host's zone.
  void UpdateZoneHosts(MonoTime now);
  /// Reports demand for missing copies to the holder as soon as possible.
  void SendToHolder();
  void SendNoticeIfDue(MonoTime now);
  void FillChanges(MonoTime now, wire::HostState& message);
  /// Processes a peer's report of a request that was lost with its server.
  void OnSuspicion(MonoTime now, const wire::CrashSuspicionNote& note);
  void OnHolderState(MonoTime now, const wire::HostState& message);
  void SendChanges();
  /// This host's place among the hosts in touch.
  HostTurn ProbeTurn() const;

  void FlushLogLater(MonoTime now);
  void WaitForSignals();
  void OnSignal(int signal);
  void Reload();
  void BeginStop(MonoTime now);
  void ContinueStop(MonoTime now);

  EdgeSettings settings_;
  ForwardDialect dialect_;
  SettingsReader read_settings_;
  /// Outlives the sessions that the event loop still holds.
  CallerMemory caller_memory_;
  asio::io_context io_;
  TimerQueue timers_;
  DecisionLog log_;
  ForwardMetrics metrics_;
  ConnectionPool pool_;
  HttpCaller caller_;
  std::unique_ptr<FleetPlatform> platform_;
  KeyEvidence key_evidence_;
  BackendTable backends_;
  SharedQuota quota_;
  Forwarder forwarder_;
  SoftStateService soft_state_;
  FeedService feeds_;
  OrderService orders_;
  asio::signal_set signals_;
  /// Set while the host serves.
  std::unique_ptr<Listener> callers_;
  std::vector<std::unique_ptr<Listener>> status_listeners_;
  /// The highest timeline of the store that this host knows.
  std::optional<StoreTimeline> store_timeline_;
  TimelineAge timeline_age_;
  std::optional<HostId> holder_;
  MonoTime holder_heard_at_;
  Duration holder_lifetime_{};
  /// The known hosts of this zone, and since when none of them is missed.
  std::vector<HostId> zone_hosts_;
  MonoTime zone_hosts_whole_since_;
  MonoTime zone_hosts_updated_at_;
  HolderNotice holder_notice_;
  bool notice_timer_set_ = false;
  MonoTime stop_began_;
  bool stopping_ = false;
  bool released_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_EDGE_HOST_H_
