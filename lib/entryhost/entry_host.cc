#include "mangoport/entryhost/entry_host.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include <boost/leaf/error.hpp>

#include "mangoport/adapters/http_backends.h"
#include "mangoport/adapters/http_platform.h"
#include "mangoport/adapters/logging.h"
#include "mangoport/entryhost/audit_trail.h"
#include "mangoport/entryhost/backend_directory.h"
#include "mangoport/entryhost/budget_service.h"
#include "mangoport/entryhost/caller_api.h"
#include "mangoport/entryhost/config_service.h"
#include "mangoport/entryhost/once_service.h"
#include "mangoport/entryhost/operator_api.h"
#include "mangoport/entryhost/peer_service.h"
#include "mangoport/entryhost/plain_proxy.h"
#include "mangoport/entryhost/quarantine_service.h"
#include "mangoport/entryhost/request_tracker.h"
#include "mangoport/metrics/host_metrics.h"

namespace mangoport {
namespace {

using std::chrono::steady_clock;

/// A writer id that is unique to this run of the process.
WriterId NewWriter(const HostId& host, const char* part) {
  std::random_device random;
  return WriterId(host.value() + "/" + std::to_string(random()) +
                  std::to_string(random()) + "/" + part);
}

/// The bound ports, reported to the parent process.
struct BoundPorts {
  std::uint16_t callers = 0;
  std::uint16_t operators = 0;
  std::uint16_t peers = 0;
};

/// Writes to a temporary file and renames it, so that a reader never sees a
/// partial file.
bool WritePortsFile(const std::string& path, const BoundPorts& ports) {
  const std::string partial = path + ".partial";
  {
    std::ofstream out(partial);
    out << "callers " << ports.callers << "\noperators " << ports.operators
        << "\npeers " << ports.peers << "\n";
    if (!out.flush())
      return false;
  }
  return std::rename(partial.c_str(), path.c_str()) == 0;
}

}  // namespace

struct EntryHost::State {
  explicit State(HostSettings given);

  CallerServices MakeCallerServices();
  OperatorServices MakeOperatorServices();
  void OnConfigChange(const ConfigView& view);
  void OnVerdict(const ChangeVerdict& verdict);
  bool IsReady() const {
    return !draining.load() && config.ready() && peers.ready() &&
           budgets.ready();
  }
  void Drain();

  HostSettings settings;
  Logger logger{"host"};
  HostMetrics metrics;
  RequestTracker tracker;
  std::atomic<bool> draining{false};
  std::mutex mutex;
  std::condition_variable shutdown_requested;
  std::unique_ptr<LogService> log;
  std::unique_ptr<HostList> host_list;
  std::shared_ptr<EngineClient> engines = MakeHttpEngineClient();
  std::shared_ptr<PlainServiceClient> plain_client =
      MakeHttpPlainServiceClient();
  AuditTrail audit;
  BackendDirectory backends;
  QuarantineService quarantine;
  PlainProxy plain;
  OnceService once;
  BudgetService budgets;
  ConfigService config;
  PeerService peers;
  OperatorApi operator_api;
  CallerApi caller_api;
};

EntryHost::State::State(HostSettings given)
    : settings(std::move(given)),
      log(MakeHttpLogService(settings.platform.log)),
      host_list(settings.platform.hosts.ip.empty()
                    ? nullptr
                    : MakeHttpHostList(settings.platform.hosts)),
      audit(*log, NewWriter(settings.id, "audit"), settings.id),
      backends(engines,
               host_list.get(),
               settings.zone,
               settings.backends.report_interval),
      quarantine(*log,
                 NewWriter(settings.id, "quarantine"),
                 settings.id,
                 &backends),
      plain(plain_client, &backends, settings.backends),
      once(*log,
           NewWriter(settings.id, "once"),
           settings.claims,
           [this](const PlainRequest& request) { return plain.Run(request); }),
      budgets(*log, settings.id, settings.zone, settings.zone_count),
      config(
          *log,
          NewWriter(settings.id, "config"),
          [this](const ConfigView& view) { OnConfigChange(view); },
          [this](const ChangeVerdict& verdict) { OnVerdict(verdict); }),
      peers(settings, config, host_list.get()),
      operator_api(MakeOperatorServices()),
      caller_api(MakeCallerServices()) {}

CallerServices EntryHost::State::MakeCallerServices() {
  CallerServices services;
  services.settings = settings;
  services.config = &config;
  services.audit = &audit;
  services.metrics = &metrics;
  services.tracker = &tracker;
  services.completions = {engines, &backends, &quarantine, &metrics,
                          settings.backends};
  services.run_plain = [this](const PlainRequest& request) {
    return request.route.idempotent() ? plain.Run(request) : once.Run(request);
  };
  services.charge = [this](MonoTime arrived, const AccountId& account,
                           std::uint64_t tokens) {
    return budgets.Charge(arrived, account, tokens);
  };
  services.ready = [this] { return IsReady(); };
  return services;
}

OperatorServices EntryHost::State::MakeOperatorServices() {
  OperatorServices services;
  services.settings = settings;
  services.config = &config;
  services.backends = &backends;
  services.audit = &audit;
  services.metrics = &metrics;
  services.tracker = &tracker;
  services.ready = [this] { return IsReady(); };
  services.drain = [this] { Drain(); };
  services.withdraw = [this](const KeyId& key, const std::string& reason) {
    peers.Withdraw(key, reason);
  };
  services.sections.push_back({"peers", [this] { return peers.StatusJson(); }});
  services.sections.push_back({"claims", [this] { return once.StatusJson(); }});
  services.sections.push_back(
      {"budgets", [this] { return budgets.StatusJson(); }});
  return services;
}

void EntryHost::State::OnConfigChange(const ConfigView& view) {
  backends.SetConfig(steady_clock::now(), view);
  budgets.SetConfig(view);
  logger.Info("Configuration up to offset " +
              std::to_string(view.next_offset()) + " is in force.");
}

void EntryHost::State::OnVerdict(const ChangeVerdict& verdict) {
  if (verdict.accepted)
    return;
  logger.Warn("Change " + ToString(verdict.position) + " by " + verdict.author +
              " was refused: " + verdict.reason + ".");
}

void EntryHost::State::Drain() {
  peers.AnnounceLeaving();
  const std::lock_guard lock(mutex);
  draining.store(true);
  shutdown_requested.notify_all();
}

EntryHost::EntryHost(HostSettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}

EntryHost::~EntryHost() {
  // It calls peers from a separate thread.
  state_->budgets.Stop();
}

Result<void> EntryHost::Start() {
  BoundPorts ports;
  // Operators withdraw keys through the peers, so the peers start first.
  state_->peers.AddMethod(
      kBudgetMethod,
      [state = state_.get()](std::string_view /*method*/,
                             const std::string& body, const auto& respond) {
        state->budgets.OnPeerRequest(body, respond);
      });
  state_->peers.AddMethod(
      kBudgetDealersMethod,
      [state = state_.get()](std::string_view /*method*/,
                             const std::string& /*body*/, const auto& respond) {
        state->budgets.OnDealersRequest(respond);
      });
  ports.peers = state_->peers.Start();
  state_->budgets.Start(
      ToString(Endpoint{state_->settings.peers.ip, ports.peers}),
      state_->peers);
  ports.operators = state_->operator_api.Start();
  ports.callers = state_->caller_api.Start();
  const auto fail = [](std::string message) {
    return boost::leaf::new_error(
        Error{ErrorCode::kUnavailable, std::move(message), true});
  };
  if (ports.operators == 0)
    return fail("cannot bind " + ToString(state_->settings.operators));
  if (ports.callers == 0)
    return fail("cannot bind " + ToString(state_->settings.callers));
  if (ports.peers == 0)
    return fail("cannot bind " + ToString(state_->settings.peers));
  if (!state_->settings.ports_file.empty() &&
      !WritePortsFile(state_->settings.ports_file, ports))
    return fail("cannot write " + state_->settings.ports_file);
  state_->logger.Info("Serving callers on port " +
                      std::to_string(ports.callers) + ".");
  return {};
}

void EntryHost::RequestShutdown() {
  state_->Drain();
}

bool EntryHost::WaitForShutdown() {
  {
    std::unique_lock lock(state_->mutex);
    state_->shutdown_requested.wait(lock,
                                    [this] { return state_->draining.load(); });
  }
  const ShutdownSettings& shutdown = state_->settings.shutdown;
  state_->logger.Info("No longer ready; waiting for the balancer.");
  std::this_thread::sleep_for(shutdown.balancer_delay);
  const bool idle = state_->tracker.WaitUntilIdle(shutdown.drain_timeout);
  state_->logger.Info(idle ? "Every request is finished; stopping."
                           : "The drain timeout passed; stopping with "
                             "requests under way.");
  state_->budgets.Release();
  state_->caller_api.Stop();
  state_->operator_api.Stop();
  return idle;
}

}  // namespace mangoport
