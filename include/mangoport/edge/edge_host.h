#ifndef MANGOPORT_EDGE_EDGE_HOST_H_
#define MANGOPORT_EDGE_EDGE_HOST_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/edge/feed_service.h"
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

/// Makes the platform client, given what it makes its calls with.
using PlatformFactory =
    std::function<std::unique_ptr<FleetPlatform>(HttpCaller& caller,
                                                 const EdgeSettings& settings,
                                                 ForwardMetrics& metrics)>;

/// Reads the settings file anew, after SIGHUP. None if it can't be used.
using SettingsReader = std::function<std::optional<EdgeSettings>()>;

/// One entry host: a single event loop that takes callers' requests, follows
/// the platform's store and shares its state with the other hosts.
class EdgeHost {
 public:
  EdgeHost(const EdgeSettings& settings,
           ForwardDialect dialect,
           const PlatformFactory& make_platform,
           SettingsReader read_settings);
  ~EdgeHost();

  EdgeHost(const EdgeHost&) = delete;
  EdgeHost& operator=(const EdgeHost&) = delete;

  /// Serves until SIGTERM or SIGINT and the end of the requests under way.
  void Run();

 private:
  /// A listening socket and what becomes of its connections' requests.
  struct Listener {
    Listener(asio::io_context& io, const Endpoint& endpoint);

    asio::ip::tcp::acceptor acceptor;
    std::function<void(std::shared_ptr<ClientSession>, HttpRequest)> on_request;
  };
  using SessionSet = std::set<std::shared_ptr<ClientSession>>;

  void Listen(const Endpoint& endpoint,
              std::function<void(std::shared_ptr<ClientSession>, HttpRequest)>
                  on_request,
              SessionSet& sessions);
  void Accept(Listener& listener, SessionSet& sessions);
  void OnAccepted(Listener& listener,
                  SessionSet& sessions,
                  asio::ip::tcp::socket socket);
  FeedHooks MakeFeedHooks();
  void AnswerStatus(const std::shared_ptr<ClientSession>& session,
                    const HttpRequest& request);
  bool IsReady() const;

  void FillFeeds(MonoTime now, const PeerHost& peer, wire::HostState& message);
  void FillState(MonoTime now, const PeerHost& peer, wire::HostState& message);
  void OnPeerState(MonoTime now,
                   std::optional<BootTime> sent_after,
                   const wire::HostState& message);
  /// What a peer tells beside the feeds.
  void OnPeerRest(MonoTime now, const wire::HostState& message);
  /// Sets how long peers may be silent by the size of the fleet.
  void FitToFleet();
  void TellHolder();
  void TellChanges();

  void FlushLogLater(MonoTime now);
  void WaitForSignals();
  void OnSignal(int signal);
  void Reload();
  void BeginStop(MonoTime now);
  void ContinueStop(MonoTime now);

  EdgeSettings settings_;
  ForwardDialect dialect_;
  SettingsReader read_settings_;
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
  std::vector<std::unique_ptr<Listener>> listeners_;
  SessionSet caller_sessions_;
  SessionSet status_sessions_;
  std::optional<HostId> holder_;
  MonoTime holder_heard_at_;
  Duration holder_lifetime_{};
  MonoTime told_holder_at_;
  MonoTime stop_began_;
  bool stopping_ = false;
  bool released_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_EDGE_HOST_H_
