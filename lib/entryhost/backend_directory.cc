#include "mangoport/entryhost/backend_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "interruptible_sleep.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReportTimeout = milliseconds(300);
constexpr Duration kHostListTimeout = milliseconds(1000);

Endpoint EndpointFor(const wire::ServerConfig& server) {
  return {server.ip(), static_cast<std::uint16_t>(server.port())};
}

/// The models that an engine has loaded: as reported by the engine, or as
/// configured until its first report.
ServerSpec SpecFor(const wire::ServerConfig& config,
                   bool reported,
                   const EngineReport& report) {
  ServerSpec spec;
  spec.id = ServerId(config.name());
  spec.zone = ZoneId(config.zone());
  if (!reported) {
    for (const std::string& it : config.models())
      spec.models.emplace_back(it);
    return spec;
  }
  for (const LoadedModel& it : report.models)
    spec.models.push_back(it.name);
  for (const LoadedAdapter& it : report.adapters)
    spec.adapters.push_back(it.name);
  return spec;
}

}  // namespace

BackendDirectory::BackendDirectory(std::shared_ptr<EngineClient> engines,
                                   HostList* host_list,
                                   ZoneId own_zone,
                                   Duration report_interval)
    : engines_(std::move(engines)),
      host_list_(host_list),
      own_zone_(std::move(own_zone)),
      report_interval_(report_interval),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

BackendDirectory::~BackendDirectory() {
  thread_.request_stop();
  thread_.join();
}

void BackendDirectory::SetConfig(MonoTime now, const ConfigView& view) {
  const std::lock_guard lock(mutex_);
  // Views arrive from the log thread and from peer threads, possibly out of
  // order.
  if (view.next_offset() < config_offset_)
    return;
  config_offset_ = view.next_offset();
  std::unordered_map<ServerId, Server> next;
  for (const wire::ServerConfig* it : view.Servers()) {
    const ServerId id(it->name());
    const auto known = servers_.find(id);
    Server server;
    if (known != servers_.end())
      server = std::move(known->second);
    server.config = *it;
    next.emplace(id, std::move(server));
  }
  servers_ = std::move(next);
  RefreshRouterLocked(now);
}

void BackendDirectory::OnLeaving(MonoTime since, const ServerId& server) {
  const std::lock_guard lock(mutex_);
  const auto it = servers_.find(server);
  if (it != servers_.end())
    it->second.leaving = true;
  router_.OnLeaving(since, server);
}

void BackendDirectory::WithRouting(
    const std::function<void(SupervisorStep)>& step) {
  const std::lock_guard lock(mutex_);
  step({std::chrono::steady_clock::now(), std::chrono::system_clock::now(),
        routing_});
}

RouteChoice BackendDirectory::Choose(MonoTime now, RouteRequest request) {
  const std::lock_guard lock(mutex_);
  request.own_zone = own_zone_;
  return router_.Choose(now, request);
}

void BackendDirectory::OnDispatched(MonoTime now, const ServerId& server) {
  const std::lock_guard lock(mutex_);
  router_.OnDispatched(now, server);
}

void BackendDirectory::OnFirstToken(MonoTime now, const ServerId& server) {
  const std::lock_guard lock(mutex_);
  router_.OnFirstToken(now, server);
}

void BackendDirectory::OnFinished(MonoTime now,
                                  const ServerId& server,
                                  AttemptOutcome outcome,
                                  Duration ran_for) {
  const std::lock_guard lock(mutex_);
  router_.OnFinished(now, server, outcome, ran_for);
}

std::optional<Endpoint> BackendDirectory::EndpointOf(
    const ServerId& server) const {
  const std::lock_guard lock(mutex_);
  const auto it = servers_.find(server);
  if (it == servers_.end())
    return std::nullopt;
  return EndpointFor(it->second.config);
}

std::vector<ServerId> BackendDirectory::PlainServers(
    std::string_view service) const {
  const std::lock_guard lock(mutex_);
  std::vector<ServerId> near;
  std::vector<ServerId> far;
  for (const auto& [id, server] : servers_) {
    if (server.config.kind() != wire::SERVER_KIND_PLAIN ||
        server.config.service() != service || server.leaving)
      continue;
    (server.config.zone() == own_zone_.value() ? near : far).push_back(id);
  }
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<ServerStatus> BackendDirectory::Status() const {
  const std::lock_guard lock(mutex_);
  std::vector<ServerStatus> all;
  for (const auto& [id, server] : servers_) {
    all.push_back({id, ZoneId(server.config.zone()), EndpointFor(server.config),
                   server.leaving, server.reachable, server.report});
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return all;
}

void BackendDirectory::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    ReadHostList();
    PollEngines(stop);
    SleepUnlessStopped(stop, report_interval_);
  }
}

void BackendDirectory::ReadHostList() {
  if (!host_list_)
    return;
  const MonoTime requested_at = std::chrono::steady_clock::now();
  const HostListPage page = host_list_->Read(kHostListTimeout);
  if (!page.ok)
    return;
  const std::lock_guard lock(mutex_);
  list_as_of_ = requested_at - page.age;
  for (const ListedServer& it : page.servers) {
    const auto server = servers_.find(it.id);
    if (server != servers_.end())
      server->second.leaving = it.leaving;
  }
  RefreshRouterLocked(requested_at);
}

void BackendDirectory::PollEngines(const std::stop_token& stop) {
  std::vector<std::pair<ServerId, Endpoint>> engines;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, server] : servers_) {
      if (server.config.kind() == wire::SERVER_KIND_ENGINE)
        engines.emplace_back(id, EndpointFor(server.config));
    }
  }
  for (const auto& [id, endpoint] : engines) {
    if (stop.stop_requested())
      return;
    const std::optional<EngineReport> report =
        engines_->Report(endpoint, kReportTimeout);
    const MonoTime now = std::chrono::steady_clock::now();
    if (report) {
      OnReport(now, id, *report);
      continue;
    }
    const std::lock_guard lock(mutex_);
    const auto it = servers_.find(id);
    if (it != servers_.end())
      it->second.reachable = false;
  }
}

void BackendDirectory::OnReport(MonoTime now,
                                const ServerId& id,
                                const EngineReport& report) {
  const std::lock_guard lock(mutex_);
  const auto it = servers_.find(id);
  if (it == servers_.end())
    return;
  const ServerSpec before =
      SpecFor(it->second.config, it->second.reachable, it->second.report);
  it->second.reachable = true;
  it->second.report = report;
  it->second.reported_at = now - report.age;
  router_.OnReport(now, {id, now - report.age, report.running, report.queued});
  if (SpecFor(it->second.config, true, report) != before)
    RefreshRouterLocked(now);
}

void BackendDirectory::RefreshRouterLocked(MonoTime now) {
  ServerList list;
  list.as_of = list_as_of_;
  for (const auto& [id, server] : servers_) {
    if (server.config.kind() != wire::SERVER_KIND_ENGINE)
      continue;
    ServerSpec spec =
        SpecFor(server.config, server.reported_at != MonoTime(), server.report);
    spec.leaving = server.leaving;
    list.servers.push_back(std::move(spec));
  }
  router_.SetServers(now, list);
}

}  // namespace mangoport
