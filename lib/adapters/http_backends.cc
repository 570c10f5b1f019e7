#include "mangoport/adapters/http_backends.h"

#include <chrono>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "http_client.h"
#include "mangoport/adapters/json.h"

namespace mangoport {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// A longer line is no event of any engine we know.
constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;

/// Cuts a stream of server-sent events into the texts after "data: ".
class EventLines {
 public:
  /// Hands each whole event to `take`; false if `take` said so or a line is
  /// too long.
  bool Feed(std::string_view bytes,
            const std::function<bool(std::string_view)>& take) {
    pending_ += bytes;
    std::size_t end = 0;
    while ((end = pending_.find('\n')) != std::string::npos) {
      const std::string line = pending_.substr(0, end);
      pending_.erase(0, end + 1);
      constexpr std::string_view kData = "data: ";
      if (!line.starts_with(kData))
        continue;
      const std::string_view event = line;
      if (!take(event.substr(kData.size())))
        return false;
    }
    return pending_.size() <= kMaxEventBytes;
  }

 private:
  std::string pending_;
};

json ToJson(const CompletionCall& call) {
  json body = {{"request_id", call.request.value()},
               {"model", call.model.value()},
               {"prompt", call.prompt},
               {"max_tokens", call.max_tokens},
               {"priority", call.priority},
               {"resume_from", call.resume_from},
               {"stream", true}};
  if (!call.adapter.empty())
    body["adapter"] = call.adapter.value();
  return body;
}

std::optional<TokenEvent> ParseEvent(std::string_view text) {
  const json it = ParseJson(text);
  if (!it.is_object() || !it.contains("request_id") ||
      !it["request_id"].is_string())
    return std::nullopt;
  TokenEvent event;
  event.request = RequestId(it["request_id"].get<std::string>());
  if (it.contains("finished")) {
    if (!it.contains("tokens") || !it["tokens"].is_number_unsigned())
      return std::nullopt;
    event.finished = true;
    event.tokens = it["tokens"].get<std::uint32_t>();
    return event;
  }
  if (!it.contains("index") || !it["index"].is_number_unsigned() ||
      !it.contains("text") || !it["text"].is_string())
    return std::nullopt;
  event.index = it["index"].get<std::uint32_t>();
  event.text = it["text"].get<std::string>();
  return event;
}

/// The state of one call while its answer arrives.
class CompletionReceiver {
 public:
  explicit CompletionReceiver(const TokenSink& sink) : sink_(sink) {}

  bool OnHeader(int http_status) {
    refused_ = http_status != 200;
    return true;
  }

  bool OnBytes(std::string_view bytes) {
    if (refused_) {
      constexpr std::size_t kMaxDetailBytes = 512;
      detail_ += bytes.substr(0, kMaxDetailBytes - detail_.size());
      return detail_.size() < kMaxDetailBytes;
    }
    return lines_.Feed(bytes,
                       [this](std::string_view text) { return OnEvent(text); });
  }

  CompletionResult Finish(const httplib::Result& result) {
    if (complete_)
      return {CompletionStatus::kComplete, ""};
    if (cancelled_)
      return {CompletionStatus::kCancelled, ""};
    if (refused_)
      return {CompletionStatus::kRefused, detail_};
    if (result)
      return {CompletionStatus::kBroken, "the stream ended early"};
    if (NothingSent(result.error()))
      return {CompletionStatus::kNotSent, httplib::to_string(result.error())};
    return {CompletionStatus::kBroken, httplib::to_string(result.error())};
  }

 private:
  bool OnEvent(std::string_view text) {
    if (complete_)
      return true;
    const std::optional<TokenEvent> event = ParseEvent(text);
    if (!event)
      return false;
    if (!sink_(*event)) {
      cancelled_ = true;
      return false;
    }
    complete_ = event->finished;
    return true;
  }

  const TokenSink& sink_;
  EventLines lines_;
  std::string detail_;
  bool refused_ = false;
  bool complete_ = false;
  bool cancelled_ = false;
};

OrderState ParseOrderState(const std::string& text) {
  if (text == "done")
    return OrderState::kDone;
  return text == "failed" ? OrderState::kFailed : OrderState::kRunning;
}

EngineReport ParseReport(const json& it) {
  EngineReport report;
  report.age = milliseconds(it.value("age_ms", 0));
  report.memory_total_mb = it.value("memory_total_mb", std::uint64_t{0});
  report.memory_used_mb = it.value("memory_used_mb", std::uint64_t{0});
  report.running = it.value("running", 0U);
  report.queued = it.value("queued", 0U);
  report.highest_epoch = it.value("highest_epoch", std::uint64_t{0});
  for (const json& m : it.value("models", json::array()))
    report.models.push_back(
        {ModelId(m.value("name", "")), m.value("version", "")});
  for (const json& a : it.value("adapters", json::array()))
    report.adapters.push_back(
        {ModelId(a.value("model", "")), AdapterId(a.value("name", ""))});
  for (const json& o : it.value("orders", json::array()))
    report.orders.push_back(
        {o.value("order_id", ""), ParseOrderState(o.value("state", ""))});
  return report;
}

class HttpEngineClient final : public EngineClient {
 public:
  CompletionResult Complete(const Endpoint& engine,
                            const CompletionCall& call,
                            const TokenSink& sink) override {
    // The longest silence changes once tokens flow, so the socket waits for
    // the longer of the two and the sink's owner watches the shorter.
    httplib::Client client = MakeHttpClient(
        engine, call.connect_timeout,
        std::max(call.first_token_timeout, call.between_tokens_timeout));
    CompletionReceiver receiver(sink);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = ToJson(call).dump();
    request.set_header("Content-Type", "application/json");
    request.response_handler = [&receiver](const httplib::Response& it) {
      return receiver.OnHeader(it.status);
    };
    request.content_receiver = [&receiver](const char* data, std::size_t n,
                                           std::uint64_t /*offset*/,
                                           std::uint64_t /*total*/) {
      return receiver.OnBytes({data, n});
    };
    return receiver.Finish(Send(client, std::move(request)));
  }

  void Cancel(const Endpoint& engine, const RequestId& request) override {
    httplib::Client client =
        MakeHttpClient(engine, kControlTimeout, kControlTimeout);
    client.Delete("/v1/requests/" + request.value());
  }

  std::optional<EngineReport> Report(const Endpoint& engine,
                                     Duration timeout) override {
    httplib::Client client = MakeHttpClient(engine, timeout, timeout);
    const httplib::Result result = Get(client, "/control/report");
    if (!result || result->status != 200)
      return std::nullopt;
    const json answer = ParseJson(result->body);
    if (!answer.is_object())
      return std::nullopt;
    try {
      return ParseReport(answer);
    } catch (const json::exception&) {
      // A member of another type than agreed: as good as no report.
      return std::nullopt;
    }
  }

  OrderStatus Order(const Endpoint& engine,
                    const EngineOrder& order,
                    Duration timeout) override {
    httplib::Client client = MakeHttpClient(engine, timeout, timeout);
    const json body = {
        {"order_id", order.order_id}, {"epoch", order.epoch},
        {"kind", order.kind},         {"name", order.name},
        {"version", order.version},   {"size_mb", order.size_mb}};
    const httplib::Result result =
        Post(client, "/control/orders", body.dump(), "application/json");
    if (!result)
      return OrderStatus::kUnknown;
    if (result->status == 202)
      return OrderStatus::kAccepted;
    return result->status == 409 ? OrderStatus::kStaleEpoch
                                 : OrderStatus::kRefused;
  }

 private:
  static constexpr Duration kControlTimeout = milliseconds(500);
};

class HttpPlainServiceClient final : public PlainServiceClient {
 public:
  PlainResult Call(const Endpoint& server, const PlainCall& call) override {
    httplib::Client client =
        MakeHttpClient(server, call.connect_timeout, call.timeout);
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.set_header("X-Request-Id", call.request.value());
    if (!call.content_type.empty())
      request.set_header("Content-Type", call.content_type);
    const httplib::Result result = Send(client, std::move(request));
    if (!result) {
      return {NothingSent(result.error()) ? PlainStatus::kNotSent
                                          : PlainStatus::kUnknown,
              0, "", ""};
    }
    return {PlainStatus::kAnswered, result->status,
            result->get_header_value("Content-Type"), result->body};
  }
};

}  // namespace

std::unique_ptr<EngineClient> MakeHttpEngineClient() {
  return std::make_unique<HttpEngineClient>();
}

std::unique_ptr<PlainServiceClient> MakeHttpPlainServiceClient() {
  return std::make_unique<HttpPlainServiceClient>();
}

}  // namespace mangoport
