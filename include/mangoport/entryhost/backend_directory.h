#ifndef MANGOPORT_ENTRYHOST_BACKEND_DIRECTORY_H_
#define MANGOPORT_ENTRYHOST_BACKEND_DIRECTORY_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger/config_view.h"
#include "mangoport/ports/engine.h"
#include "mangoport/ports/host_list.h"
#include "mangoport/routing/request_supervisor.h"
#include "mangoport/routing/router.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// A backend server's report as this host last saw it, for operators.
struct ServerStatus {
  ServerId id;
  ZoneId zone;
  Endpoint endpoint;
  bool leaving = false;
  bool reachable = false;
  EngineReport report;
};

/// All that this host knows of backend servers: configuration, the platform's
/// list and the engines' own reports, joined behind the router.
class BackendDirectory {
 public:
  BackendDirectory(std::shared_ptr<EngineClient> engines,
                   HostList* host_list,
                   ZoneId own_zone,
                   Duration report_interval);
  ~BackendDirectory();

  BackendDirectory(const BackendDirectory&) = delete;
  BackendDirectory& operator=(const BackendDirectory&) = delete;

  /// Takes over the servers of a configuration, unless a newer one is known.
  void SetConfig(MonoTime now, const ConfigView& view);

  /// Evidence that a server is leaving, from a peer or the server itself.
  void OnLeaving(MonoTime since, const ServerId& server);

  /// One step of deciding, under the directory's lock; `step` must not block.
  void WithRouting(const std::function<void(SupervisorStep)>& step);

  RouteChoice Choose(MonoTime now, RouteRequest request);
  void OnDispatched(MonoTime now, const ServerId& server);
  void OnFirstToken(MonoTime now, const ServerId& server);
  void OnFinished(MonoTime now,
                  const ServerId& server,
                  AttemptOutcome outcome,
                  Duration ran_for);

  const ZoneId& own_zone() const { return own_zone_; }

  std::optional<Endpoint> EndpointOf(const ServerId& server) const;

  /// The servers of a plain service that are not leaving, own zone first.
  std::vector<ServerId> PlainServers(std::string_view service) const;

  /// Every backend server, by name.
  std::vector<ServerStatus> Status() const;

 private:
  struct Server {
    wire::ServerConfig config;
    bool leaving = false;
    bool reachable = false;
    EngineReport report;
    MonoTime reported_at;
  };

  void Run(const std::stop_token& stop);
  void ReadHostList();
  void PollEngines(const std::stop_token& stop);
  void OnReport(MonoTime now, const ServerId& id, const EngineReport& report);
  void RefreshRouterLocked(MonoTime now);

  std::shared_ptr<EngineClient> engines_;
  HostList* host_list_;
  ZoneId own_zone_;
  Duration report_interval_;
  mutable std::mutex mutex_;
  RoutingState routing_;
  Router& router_ = routing_.router;
  std::unordered_map<ServerId, Server> servers_;
  MonoTime list_as_of_;
  std::uint64_t config_offset_ = 0;
  std::jthread thread_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_BACKEND_DIRECTORY_H_
