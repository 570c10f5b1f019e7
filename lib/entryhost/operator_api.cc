#include "mangoport/entryhost/operator_api.h"

#include <httplib.h>
#include <openssl/crypto.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "caller_response.h"
#include "lib/adapters/http_server.h"
#include "mangoport/adapters/json.h"
#include "mangoport/entryhost/audit_trail.h"
#include "mangoport/entryhost/backend_directory.h"
#include "mangoport/entryhost/config_service.h"
#include "mangoport/entryhost/request_tracker.h"
#include "mangoport/metrics/host_metrics.h"

namespace mangoport {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kThreads = 8;
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
constexpr const char* kJson = "application/json";

json ToJson(const ServerStatus& it) {
  json models = json::array();
  for (const LoadedModel& m : it.report.models)
    models.push_back(m.name.value());
  return {{"id", it.id.value()},
          {"availability_zone", it.zone.value()},
          {"address", ToString(it.endpoint)},
          {"leaving", it.leaving},
          {"reachable", it.reachable},
          {"models", models},
          {"running", it.report.running},
          {"queued", it.report.queued},
          {"memory_used_mb", it.report.memory_used_mb},
          {"memory_total_mb", it.report.memory_total_mb}};
}

json ToJson(const wire::AuditRecord& it) {
  return {{"time_ms", it.wall_time_ms()},
          {"host", it.host()},
          {"kind", static_cast<int>(it.kind())},
          {"request", it.request()},
          {"account", it.account()},
          {"server", it.server()},
          {"model", it.model()},
          {"count", it.count()},
          {"text", it.text()}};
}

bool SameToken(const std::string& shown, const std::string& expected) {
  return shown.size() == expected.size() &&
         CRYPTO_memcmp(shown.data(), expected.data(), shown.size()) == 0;
}

}  // namespace

struct OperatorApi::State {
  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;

  /// Runs the handler only for callers that present the operators' credential.
  Handler Guarded(Handler handler);
  void AddRoutes();
  json Status() const;

  OperatorServices services;
  httplib::Server server;
  std::thread thread;
};

OperatorApi::State::Handler OperatorApi::State::Guarded(Handler handler) {
  return [this, handler = std::move(handler)](const httplib::Request& request,
                                              httplib::Response& response) {
    const std::string expected = "Bearer " + services.settings.operator_token;
    if (SameToken(request.get_header_value("Authorization"), expected))
      return handler(request, response);
    SetError(
        response, RequestId(),
        {ErrorCode::kUnauthorized, "the operators' credential is needed", true},
        Duration::zero());
  };
}

json OperatorApi::State::Status() const {
  const std::shared_ptr<const ConfigView> view = services.config->view();
  const Duration age = steady_clock::now() - services.config->evidence_time();
  json servers = json::array();
  for (const ServerStatus& it : services.backends->Status())
    servers.push_back(ToJson(it));
  json status = {
      {"host", services.settings.id.value()},
      {"availability_zone", services.settings.zone.value()},
      {"ready", services.ready()},
      {"active_requests", services.tracker->active()},
      {"config_next_offset", view->next_offset()},
      {"config_evidence_age_ms", duration_cast<milliseconds>(age).count()},
      {"client_accounts", view->Accounts().size()},
      {"models", view->Models().size()},
      {"servers", servers}};
  for (const StatusSection& it : services.sections)
    status[it.name] = ParseJson(it.json());
  return status;
}

void OperatorApi::State::AddRoutes() {
  server.Get("/healthz", [](const auto& /*request*/, auto& response) {
    response.set_content("ok\n", "text/plain");
  });
  server.Get("/metrics", [this](const auto& /*request*/, auto& response) {
    services.metrics->SetConfigOffset(services.config->view()->next_offset());
    services.metrics->SetConfigEvidenceAge(steady_clock::now() -
                                           services.config->evidence_time());
    services.metrics->SetActiveRequests(services.tracker->active());
    response.set_content(services.metrics->Render(),
                         "text/plain; version=0.0.4");
  });
  server.Get("/operator/v1/status",
             Guarded([this](const auto& /*request*/, auto& response) {
               response.set_content(Status().dump(), kJson);
             }));
  server.Get("/operator/v1/audit",
             Guarded([this](const auto& /*request*/, auto& response) {
               json records = json::array();
               for (const wire::AuditRecord& it : services.audit->Recent())
                 records.push_back(ToJson(it));
               response.set_content(json({{"records", records}}).dump(), kJson);
             }));
  server.Post("/operator/v1/drain",
              Guarded([this](const auto& /*request*/, auto& response) {
                services.drain();
                response.set_content("{\"draining\":true}", kJson);
              }));
  server.Post(
      "/operator/v1/withdraw", Guarded([this](const httplib::Request& request,
                                              httplib::Response& response) {
        const json body = ParseJson(request.body);
        if (!services.withdraw || !body.is_object() || !body.contains("key") ||
            !body["key"].is_string()) {
          return SetError(
              response, RequestId(),
              {ErrorCode::kInvalidRequest, "'key' must be a key's id", true},
              Duration::zero());
        }
        services.withdraw(KeyId(body["key"].get<std::string>()),
                          body.value("reason", std::string()));
        response.set_content("{\"withdrawn\":true}", kJson);
      }));
}

OperatorApi::OperatorApi(OperatorServices services)
    : state_(std::make_unique<State>()) {
  state_->services = std::move(services);
  state_->server.set_tcp_nodelay(true);
  state_->server.set_payload_max_length(kMaxBodyBytes);
  state_->server.new_task_queue = [] {
    return new httplib::ThreadPool(kThreads);
  };
  state_->AddRoutes();
}

OperatorApi::~OperatorApi() {
  Stop();
}

std::uint16_t OperatorApi::Start() {
  const Endpoint& endpoint = state_->services.settings.operators;
  const std::uint16_t port = BindServer(state_->server, endpoint);
  if (port == 0)
    return 0;
  state_->thread = std::thread([this] { state_->server.listen_after_bind(); });
  return port;
}

void OperatorApi::Stop() {
  state_->server.stop();
  if (state_->thread.joinable())
    state_->thread.join();
}

}  // namespace mangoport
