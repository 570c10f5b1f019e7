// The model engine: continuous batching, streamed completions and orders that
// change what it holds.
#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "tools/standin/engine_state.h"
#include "tools/standin/roles.h"
#include "tools/standin/server.h"
#include "tools/standin/token_text.h"

namespace mangoport::standin {
namespace {

constexpr char kCompletionsPath[] = "/v1/completions";
constexpr Millis kTokenWait{20};
constexpr Millis kStoreRetry{100};
constexpr int kStoreAttempts = 100;

struct EngineOptions {
  ServerOptions server{.name = "engine"};
  EngineStateOptions state;
  BatcherOptions batch;
  Millis token_time{5};
  Millis event_lag{200};
  int max_batch = 32;
  int cache_blocks = 4096;
  int memory_mb = 80000;
  std::string fencing = "honour";
  std::string preload;
  std::string store;
};

bool Parse(int argc, char** argv, EngineOptions& options) {
  Flags flags;
  int preload_size_mb = 10000;
  options.server.AddTo(flags);
  flags.Add("token-ms", &options.token_time);
  flags.Add("max-batch", &options.max_batch);
  flags.Add("cache-blocks", &options.cache_blocks);
  flags.Add("event-lag-ms", &options.event_lag);
  flags.Add("memory-mb", &options.memory_mb);
  flags.Add("load-ms", &options.state.load_time);
  flags.Add("report-lag-ms", &options.state.report_lag);
  flags.Add("fencing", &options.fencing);
  flags.Add("preload", &options.preload);
  flags.Add("preload-size-mb", &preload_size_mb);
  flags.Add("store", &options.store);
  if (!flags.Parse(argc, argv))
    return false;
  options.state.engine = options.server.name;
  options.state.memory_mb = options.memory_mb;
  options.state.preload_size_mb = preload_size_mb;
  options.state.honours_fencing = options.fencing == "honour";
  options.batch.token_time = options.token_time;
  options.batch.max_batch =
      static_cast<std::size_t>(std::max(1, options.max_batch));
  return true;
}

/// Asks the store for the order's weights, again while it is busy or down.
bool Fetch(const std::string& store, const EngineOrder& order) {
  std::string path = "/v1/artifacts/" + order.name;
  if (!order.version.empty())
    path += "@" + order.version;
  if (order.kind == "load_adapter")
    path += "?kind=adapter";
  for (int i = 0; i < kStoreAttempts; ++i) {
    httplib::Client client("http://" + store);
    const httplib::Result result = client.Get(path);
    if (result && result->status == 200)
      return true;
    std::this_thread::sleep_for(kStoreRetry);
  }
  return false;
}

std::string Event(const Json& data) {
  return "data: " + data.dump() + "\n\n";
}

/// Writes one generation to one connection, token by token.
class StreamWriter {
 public:
  StreamWriter(std::shared_ptr<Generation> generation,
               Connection connection,
               FaultPlan* faults)
      : generation_(std::move(generation)),
        connection_(connection),
        faults_(faults),
        next_(generation_->request.resume_from) {}

  /// Writes what there is; false closes the connection.
  bool Write(httplib::DataSink& sink) {
    const CompletionRequest& request = generation_->request;
    if (next_ >= request.max_tokens)
      return WriteEnd(sink);
    if (faults_->TakeStreamFreeze(kCompletionsPath,
                                  next_ - request.resume_from)) {
      connection_.HoldSilent();
      return false;
    }
    if (!generation_->WaitForToken(next_, kTokenWait)) {
      if (generation_->cancelled())
        return false;
      return StillWanted();
    }
    const std::string event =
        Event({{"request_id", request.request_id},
               {"index", next_},
               {"text", TokenText(request.model, request.adapter,
                                  request.prompt, next_)}});
    ++next_;
    if (sink.write(event.data(), event.size()))
      return StillWanted();
    generation_->Cancel();
    return false;
  }

 private:
  bool StillWanted() {
    if (!connection_.IsClosedByPeer())
      return true;
    generation_->Cancel();
    return false;
  }

  bool WriteEnd(httplib::DataSink& sink) {
    const CompletionRequest& request = generation_->request;
    const std::string end = Event({{"request_id", request.request_id},
                                   {"finished", true},
                                   {"tokens", request.max_tokens}}) +
                            "data: [DONE]\n\n";
    sink.write(end.data(), end.size());
    sink.done();
    return true;
  }

  const std::shared_ptr<Generation> generation_;
  const Connection connection_;
  FaultPlan* const faults_;
  std::uint64_t next_;
};

CompletionRequest ParseCompletion(const Json& body) {
  CompletionRequest request;
  request.request_id = body.value("request_id", "");
  request.model = body.at("model");
  request.adapter = body.value("adapter", "");
  request.prompt = body.at("prompt");
  request.max_tokens = body.value("max_tokens", request.max_tokens);
  request.priority = body.value("priority", 0);
  request.resume_from = body.value("resume_from", std::uint64_t{0});
  return request;
}

EngineOrder ParseOrder(const Json& body) {
  EngineOrder order;
  order.order_id = body.at("order_id");
  order.epoch = body.value("epoch", std::uint64_t{0});
  order.kind = body.at("kind");
  order.model = body.value("model", "");
  order.name = body.value("name", "");
  order.version = body.value("version", "");
  order.size_mb = body.value("size_mb", std::int64_t{0});
  return order;
}

/// The engine's HTTP surface.
class Engine {
 public:
  explicit Engine(const EngineOptions& options)
      : cache_(static_cast<std::size_t>(options.cache_blocks),
               options.event_lag),
        batcher_(options.batch, &cache_),
        state_(options.state, &batcher_),
        server_(options.server) {
    server_.Post(kCompletionsPath,
                 [this](const auto& req, auto& res) { Complete(req, res); });
    server_.Delete("/v1/requests/(.+)", [this](const auto& req, auto& res) {
      Reply(res, 200, {{"cancelled", batcher_.Cancel(req.matches[1])}});
    });
    server_.Post("/control/orders",
                 [this](const auto& req, auto& res) { Order(req, res); });
    server_.Get("/control/report", [this](const auto&, auto& res) {
      Reply(res, 200, state_.Report(Now()));
    });
    server_.Get("/control/cache_events", [this](const auto& req, auto& res) {
      Reply(res, 200, cache_.Events(QueryNumber(req, "from", 0), Now()));
    });
    server_.OnStats([this](Json& stats) { AddTo(stats); });
  }

  EngineState& state() { return state_; }
  int Run() { return server_.Run(); }

 private:
  void Complete(const HttpRequest& req, HttpResponse& res) {
    CompletionRequest request;
    try {
      request = ParseCompletion(Json::parse(req.body));
    } catch (const Json::exception& e) {
      ReplyError(res, 400, e.what());
      return;
    }
    const std::string id = request.request_id;
    const bool resumed = request.resume_from > 0;
    std::string error;
    std::shared_ptr<Generation> generation =
        state_.Submit(std::move(request), &error);
    if (generation == nullptr) {
      ReplyError(res, 409, error);
      return;
    }
    CountRun(id, resumed);
    auto writer = std::make_shared<StreamWriter>(
        std::move(generation), Connection(req), &server_.faults());
    res.set_chunked_content_provider(
        "text/event-stream", [writer](std::size_t, httplib::DataSink& sink) {
          return writer->Write(sink);
        });
  }

  void CountRun(const std::string& request_id, bool resumed) {
    const std::lock_guard lock(mutex_);
    ++runs_[request_id];
    resumed_streams_ += resumed ? 1 : 0;
  }

  void Order(const HttpRequest& req, HttpResponse& res) {
    EngineOrder order;
    try {
      order = ParseOrder(Json::parse(req.body));
    } catch (const Json::exception& e) {
      ReplyError(res, 400, e.what());
      return;
    }
    switch (state_.Accept(order)) {
      case OrderAnswer::kAccepted:
        Reply(res, 202, {{"order_id", order.order_id}});
        return;
      case OrderAnswer::kStaleEpoch:
        ReplyError(res, 409, "stale_epoch");
        return;
      case OrderAnswer::kNoMemory:
        ReplyError(res, 507, "no_memory");
        return;
      case OrderAnswer::kUnknownKind:
        ReplyError(res, 400, "unknown kind '" + order.kind + "'");
        return;
    }
  }

  void AddTo(Json& stats) {
    state_.AddTo(stats);
    stats["tokens_produced"] = batcher_.tokens_produced();
    const std::lock_guard lock(mutex_);
    std::uint64_t doubled = 0;
    for (const auto& [id, n] : runs_)
      doubled += n - 1;
    stats["runs"] = runs_;
    stats["double_runs"] = doubled;
    stats["resumed_streams"] = resumed_streams_;
  }

  PrefixCache cache_;
  Batcher batcher_;
  EngineState state_;
  Server server_;
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t resumed_streams_ = 0;
};

}  // namespace

int RunEngine(int argc, char** argv) {
  EngineOptions options;
  if (!Parse(argc, argv, options))
    return 2;
  if (!options.store.empty()) {
    options.state.fetch = [store = options.store](const EngineOrder& order) {
      return Fetch(store, order);
    };
  }
  Engine engine(options);
  for (const std::string& it : Split(options.preload, ',')) {
    if (engine.state().Preload(it))
      continue;
    std::fprintf(stderr, "standin: no memory to preload %s\n", it.c_str());
    return 2;
  }
  return engine.Run();
}

}  // namespace mangoport::standin
