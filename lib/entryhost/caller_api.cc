#include "mangoport/entryhost/caller_api.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include "caller_response.h"
#include "lib/adapters/http_server.h"
#include "mangoport/entryhost/access.h"
#include "mangoport/entryhost/audit_trail.h"
#include "mangoport/entryhost/config_service.h"
#include "mangoport/metrics/host_metrics.h"
#include "open_answer.h"

namespace mangoport {
namespace {

using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr std::size_t kMaxKeepAliveRequests = 100000;
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

/// Threads in addition to one per open connection, for refusals and health
/// checks.
constexpr std::size_t kReserveThreads = 16;

/// Generates request ids from the host, the start time of the process and a
/// counter.
class RequestNames {
 public:
  explicit RequestNames(const HostId& host)
      : prefix_(host.value() + "-" + std::to_string(std::random_device{}()) +
                "-") {}

  RequestId Next() {
    return RequestId(prefix_ + std::to_string(count_.fetch_add(1)));
  }

 private:
  std::string prefix_;
  std::atomic<std::uint64_t> count_{1};
};

}  // namespace

struct CallerApi::State {
  explicit State(CallerServices given)
      : services(std::move(given)), names(services.settings.id) {}

  void AddRoutes();
  void Configure();
  KeyEvidence Evidence() const;
  Exchange Begin(const char* surface);
  /// Refuses the request and records the refusal. The handler must return.
  void Refuse(const Exchange& exchange,
              const Error& error,
              Duration retry_after,
              httplib::Response& response);
  /// Finds the client account; refuses and returns false if there is none.
  bool Identify(const httplib::Request& request,
                Exchange& exchange,
                httplib::Response& response);
  void Complete(CompletionShape shape,
                const httplib::Request& request,
                httplib::Response& response);
  std::optional<Error> CheckAccess(const AccountPolicy& policy,
                                   const CallerCompletion& completion) const;
  void AnswerWhole(CompletionShape shape,
                   OpenAnswer& answer,
                   httplib::Response& response);
  void AnswerStream(CompletionShape shape,
                    const std::shared_ptr<OpenAnswer>& answer,
                    httplib::Response& response);
  void ListModels(const httplib::Request& request, httplib::Response& response);
  void CallPlain(const httplib::Request& request, httplib::Response& response);

  CallerServices services;
  RequestNames names;
  httplib::Server server;
  std::thread thread;
};

void CallerApi::State::Configure() {
  const CallerLimits& limits = services.settings.limits;
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(kMaxKeepAliveRequests);
  server.set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(
          limits.keep_alive_timeout)
          .count());
  server.set_read_timeout(limits.read_timeout);
  server.set_write_timeout(limits.write_timeout);
  server.set_payload_max_length(limits.max_body_bytes);
  const std::size_t threads = limits.max_connections + kReserveThreads;
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_exception_handler([this](const httplib::Request& /*request*/,
                                      httplib::Response& response,
                                      const std::exception_ptr& /*thrown*/) {
    SetError(response, names.Next(),
             {ErrorCode::kInternal, "the request could not be handled", false},
             Duration::zero());
  });
  server.set_error_handler([this](const httplib::Request& /*request*/,
                                  httplib::Response& response) {
    if (!response.body.empty())
      return;
    const bool large = response.status == 413;
    const int status = response.status;
    SetError(response, names.Next(),
             {large ? ErrorCode::kPayloadTooLarge : ErrorCode::kInvalidRequest,
              large ? "the body is too large"
                    : "the request is not valid HTTP for this path",
              true},
             Duration::zero());
    response.status = status;
  });
}

void CallerApi::State::AddRoutes() {
  server.Get("/healthz", [](const auto& /*request*/, auto& response) {
    response.set_content("ok\n", "text/plain");
  });
  server.Get("/readyz", [this](const auto& /*request*/, auto& response) {
    const bool ready = services.ready();
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  server.Get("/v1/models", [this](const auto& request, auto& response) {
    ListModels(request, response);
  });
  server.Post("/v1/completions", [this](const auto& request, auto& response) {
    Complete(CompletionShape::kText, request, response);
  });
  server.Post("/v1/chat/completions",
              [this](const auto& request, auto& response) {
                Complete(CompletionShape::kChat, request, response);
              });
  const auto plain = [this](const httplib::Request& request,
                            httplib::Response& response) {
    CallPlain(request, response);
  };
  server.Get(".*", plain);
  server.Post(".*", plain);
  server.Put(".*", plain);
  server.Delete(".*", plain);
}

KeyEvidence CallerApi::State::Evidence() const {
  return {services.config->evidence_time(), services.settings.max_staleness,
          services.config->withdrawn_keys()};
}

Exchange CallerApi::State::Begin(const char* surface) {
  return {names.Next(), steady_clock::now(),       surface,
          {},           services.tracker->Begin(), false};
}

void CallerApi::State::Refuse(const Exchange& exchange,
                              const Error& error,
                              Duration retry_after,
                              httplib::Response& response) {
  Error reported = error;
  reported.not_run = error.not_run && !exchange.may_be_repeat;
  SetError(response, exchange.request, reported, retry_after);
  services.metrics->CountRequest(exchange.identity.account, exchange.surface,
                                 ErrorCodeName(error.code));
  AuditEvent event;
  event.kind = wire::AUDIT_KIND_REFUSAL;
  event.request = exchange.request;
  event.account = exchange.identity.account;
  event.text = std::string(ErrorCodeName(error.code)) + ": " + error.message;
  services.audit->Record(system_clock::now(), event);
}

bool CallerApi::State::Identify(const httplib::Request& request,
                                Exchange& exchange,
                                httplib::Response& response) {
  auto result =
      Authenticate(exchange.arrived, *services.config->view(), Evidence(),
                   request.get_header_value("Authorization"));
  if (const Error* error = std::get_if<Error>(&result)) {
    Refuse(exchange, *error, Duration::zero(), response);
    return false;
  }
  exchange.identity = std::get<Identity>(std::move(result));
  return true;
}

std::optional<Error> CallerApi::State::CheckAccess(
    const AccountPolicy& policy,
    const CallerCompletion& completion) const {
  const std::shared_ptr<const ConfigView> view = services.config->view();
  const std::string& model = completion.model.value();
  if (!view->FindModel(model))
    return Error{ErrorCode::kNotFound, "there is no model '" + model + "'",
                 true};
  if (!policy.AllowsModel(model))
    return Error{ErrorCode::kForbidden,
                 "the client account may not use model '" + model + "'", true};
  if (completion.adapter.empty())
    return std::nullopt;
  const std::string& adapter = completion.adapter.value();
  const wire::AdapterConfig* found = view->FindAdapter(adapter);
  if (!found || found->model() != model)
    return Error{ErrorCode::kNotFound,
                 "model '" + model + "' has no adapter '" + adapter + "'",
                 true};
  if (!policy.AllowsAdapter(adapter))
    return Error{ErrorCode::kForbidden,
                 "the client account may not use adapter '" + adapter + "'",
                 true};
  return std::nullopt;
}

void CallerApi::State::Complete(CompletionShape shape,
                                const httplib::Request& request,
                                httplib::Response& response) {
  Exchange exchange = Begin("completions");
  response.set_header("X-Request-Id", exchange.request.value());
  if (!Identify(request, exchange, response))
    return;
  auto parsed = ParseCompletion(shape, request.body);
  if (const Error* error = std::get_if<Error>(&parsed))
    return Refuse(exchange, *error, Duration::zero(), response);
  auto completion = std::get<CallerCompletion>(std::move(parsed));
  const std::shared_ptr<const ConfigView> view = services.config->view();
  const std::optional<AccountPolicy> policy =
      view->FindAccount(exchange.identity.account);
  if (!policy) {
    return Refuse(exchange,
                  {ErrorCode::kForbidden, "the client account is closed", true},
                  Duration::zero(), response);
  }
  if (const std::optional<Error> error = CheckAccess(*policy, completion))
    return Refuse(exchange, *error, Duration::zero(), response);
  const BudgetDecision decision = services.charge(
      exchange.arrived, exchange.identity.account, WorstCaseTokens(completion));
  if (!decision.granted || !decision.charge->MayDispatch(steady_clock::now())) {
    return Refuse(
        exchange,
        {ErrorCode::kRateLimited, "the client account's budget is spent", true},
        decision.retry_after, response);
  }
  const bool stream = completion.stream;
  const auto answer = std::make_shared<OpenAnswer>(
      services, std::move(exchange), std::move(completion), decision.charge);
  if (stream)
    return AnswerStream(shape, answer, response);
  AnswerWhole(shape, *answer, response);
}

void CallerApi::State::AnswerWhole(CompletionShape shape,
                                   OpenAnswer& answer,
                                   httplib::Response& response) {
  std::string text;
  while (true) {
    const CompletionStep step = answer.Next(Evidence());
    if (step.kind == CompletionStep::Kind::kError)
      return SetError(response, answer.request(), step.error, step.retry_after);
    if (step.kind == CompletionStep::Kind::kEnd)
      break;
    text += step.text;
  }
  response.set_content(AnswerBody(shape, answer.request(), answer.model(), text,
                                  answer.tokens()),
                       "application/json");
}

void CallerApi::State::AnswerStream(CompletionShape shape,
                                    const std::shared_ptr<OpenAnswer>& answer,
                                    httplib::Response& response) {
  // Wait for the first step, because it determines the status line.
  auto pending =
      std::make_shared<std::optional<CompletionStep>>(answer->Next(Evidence()));
  if ((*pending)->kind == CompletionStep::Kind::kError)
    return SetError(response, answer->request(), (*pending)->error,
                    (*pending)->retry_after);
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, shape, answer, pending](std::size_t /*offset*/,
                                     httplib::DataSink& sink) {
        const CompletionStep step = pending->has_value()
                                        ? *std::exchange(*pending, {})
                                        : answer->Next(Evidence());
        const RequestId& id = answer->request();
        const ModelId& model = answer->model();
        std::string chunk;
        if (step.kind == CompletionStep::Kind::kToken)
          chunk = StreamChunk(shape, id, model, step.text);
        if (step.kind == CompletionStep::Kind::kEnd)
          chunk = StreamEnd(shape, id, model, answer->tokens());
        if (step.kind == CompletionStep::Kind::kError)
          chunk = StreamError(id, step.error);
        if (!sink.write(chunk.data(), chunk.size()))
          return false;
        if (step.kind != CompletionStep::Kind::kToken)
          sink.done();
        return true;
      });
}

void CallerApi::State::ListModels(const httplib::Request& request,
                                  httplib::Response& response) {
  Exchange exchange = Begin("models");
  if (!Identify(request, exchange, response))
    return;
  const std::shared_ptr<const ConfigView> view = services.config->view();
  const std::optional<AccountPolicy> policy =
      view->FindAccount(exchange.identity.account);
  nlohmann::json data = nlohmann::json::array();
  for (const wire::ModelConfig* it : view->Models()) {
    if (policy && policy->AllowsModel(it->name()))
      data.push_back({{"id", it->name()}, {"object", "model"}});
  }
  response.set_content(
      nlohmann::json({{"object", "list"}, {"data", data}}).dump(),
      "application/json");
  services.metrics->CountRequest(exchange.identity.account, exchange.surface,
                                 "ok");
}

void CallerApi::State::CallPlain(const httplib::Request& request,
                                 httplib::Response& response) {
  Exchange exchange = Begin("plain");
  response.set_header("X-Request-Id", exchange.request.value());
  const std::shared_ptr<const ConfigView> view = services.config->view();
  const wire::RouteConfig* route = view->FindRoute(request.path);
  exchange.may_be_repeat =
      request.has_header("Idempotency-Key") && !(route && route->idempotent());
  if (!route) {
    return Refuse(
        exchange,
        {ErrorCode::kNotFound, "nothing is served at this path", true},
        Duration::zero(), response);
  }
  if (!route->open()) {
    if (!Identify(request, exchange, response))
      return;
    const std::optional<AccountPolicy> policy =
        view->FindAccount(exchange.identity.account);
    if (!policy || !policy->AllowsRoute(route->path())) {
      return Refuse(exchange,
                    {ErrorCode::kForbidden,
                     "the client account may not use this route", true},
                    Duration::zero(), response);
    }
  }
  PlainRequest call;
  call.request = exchange.request;
  call.account = exchange.identity.account;
  call.route = *route;
  call.method = request.method;
  call.path = request.target;
  call.content_type = request.get_header_value("Content-Type");
  call.body = request.body;
  call.idempotency_key = request.get_header_value("Idempotency-Key");
  call.deadline = exchange.arrived + services.settings.limits.request_timeout;
  if (call.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return Refuse(exchange,
                  {ErrorCode::kInvalidRequest,
                   "'Idempotency-Key' is longer than 200 bytes", true},
                  Duration::zero(), response);
  }
  const PlainAnswer answer = services.run_plain(call);
  // From here on the answer applies to the key and not only to this attempt of
  // the caller.
  exchange.may_be_repeat = false;
  if (!answer.answered)
    return Refuse(exchange, answer.error, Duration::zero(), response);
  response.status = answer.http_status;
  response.set_content(answer.body, answer.content_type.empty()
                                        ? "application/octet-stream"
                                        : answer.content_type.c_str());
  services.metrics->CountRequest(exchange.identity.account, exchange.surface,
                                 "ok");
}

CallerApi::CallerApi(CallerServices services)
    : state_(std::make_unique<State>(std::move(services))) {
  state_->Configure();
  state_->AddRoutes();
}

CallerApi::~CallerApi() {
  Stop();
}

std::uint16_t CallerApi::Start() {
  const Endpoint& endpoint = state_->services.settings.callers;
  const std::uint16_t port = BindServer(state_->server, endpoint);
  if (port == 0)
    return 0;
  state_->thread = std::thread([this] { state_->server.listen_after_bind(); });
  return port;
}

void CallerApi::Stop() {
  state_->server.stop();
  if (state_->thread.joinable())
    state_->thread.join();
}

}  // namespace mangoport
