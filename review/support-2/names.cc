// Callers that name adapters that do not exist, each time another one, beside
// ordinary callers. The platform ends a process that exceeds its machine's
// memory.
#include "lab.h"

namespace {

using namespace lab;

constexpr int kMemoryMb = 182;
constexpr int kAdapterSlots = 8;
/// A name that fits into a head of the greatest legal size.
constexpr std::size_t kNameBytes = 15000;
constexpr int kPayers = 8;
constexpr int kPayMs = 250;
constexpr int kCallers = 16;
constexpr int kRequestsOfEach = 600;

const char kConfig[] =
    R"({"Version":7,"Routes":[{"Name":"draft","Host":"h.example",)"
    R"("PathPrefix":"/draft/","RouteKind":"stream","TimeoutMs":15000,)"
    R"("GoalMs":250,"Priority":0,"Service":"scribe","Attempts":2,)"
    R"("Public":false,"Sticky":true,"Resumable":true,"GapGoalMs":250},)"
    R"({"Name":"pay","Host":"h.example","PathPrefix":"/pay/",)"
    R"("RouteKind":"unsafe","TimeoutMs":3000,"GoalMs":150,"Priority":1,)"
    R"("Service":"ledger","Attempts":1,"Public":false,"Sticky":false,)"
    R"("Resumable":false,"GapGoalMs":0}],)"
    R"("Services":[{"Name":"scribe","HealthPath":"/healthz","MaxConns":643,)"
    R"("Engine":{"Slots":48,"KvCapacity":150587,"WeightsMb":200000,)"
    R"("AdapterSlots":8,"LoadsPerS":2.2,"Models":[{"Name":"m0",)"
    R"("WeightsMb":72700,"LoadS":4.2,"WarmS":0.4,"DiskS":0.84,)"
    R"("Adapters":24,"AdapterMb":66}]}},{"Name":"ledger",)"
    R"("HealthPath":"/healthz","MaxConns":214}],"Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["key1"],"RatePerS":0,"Burst":0}]})";

std::string JsonValue(const std::string& text, const std::string& name) {
  const std::size_t at = text.find("\"" + name + "\":");
  if (at == std::string::npos)
    return {};
  std::size_t from = at + name.size() + 3;
  const bool quoted = text[from] == '"';
  if (quoted)
    ++from;
  return text.substr(from,
                     text.find_first_of(quoted ? "\"" : ",}", from) - from);
}

/// A sound model engine with one model and places for eight adapters.
class Engine {
 public:
  Engine(Store& store, std::string id)
      : store_(store),
        id_(std::move(id)),
        born_(WallMs()),
        listener_("127.0.0.1", [this](Connection& it) { Serve(it); }) {
    std::thread([this] {
      for (int beat = 1;; ++beat) {
        store_.Put("keyed.servers", id_, Entry(beat));
        SleepMs(1200);
      }
    }).detach();
  }

 private:
  std::string Models() {
    std::string adapters;
    for (const std::string& it : adapters_)
      adapters += (adapters.empty() ? "\"" : ",\"") + it + "\"";
    return "[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[" + adapters + "]}]";
  }

  std::string Entry(int beat) {
    const std::lock_guard lock(mutex_);
    return "{\"Service\":\"scribe\",\"Addr\":\"" + listener_.address() +
           "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":48,"
           "\"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"mixed\","
           "\"Models\":" +
           Models() + ",\"Seq\":" + std::to_string(beat) +
           ",\"born\":" + std::to_string(born_) + "}";
  }

  void Serve(Connection& connection) {
    while (true) {
      Message request;
      if (!connection.ReadHead(request))
        return;
      if (!connection.ReadBody(request, /*keep=*/true) ||
          !connection.Send(Handle(request)))
        return;
    }
  }

  std::string Handle(const Message& request) {
    if (request.Field("X-Expect-Instance") != id_)
      return Answer(421, "", "X-Instance-Id: " + id_ + "\r\n");
    if (request.target() == "/mangoport/order")
      return Order(request.body);
    if (request.target() == "/mangoport/report") {
      const std::lock_guard lock(mutex_);
      return Answer(200,
                    "{\"Phase\":\"mixed\",\"Models\":" + Models() +
                        ",\"Busy\":false,\"Seq\":" + std::to_string(seq_) +
                        ",\"Queued\":0,\"Active\":0,\"KvUsed\":0,"
                        "\"KvTotal\":150587,\"Handles\":0,\"born\":" +
                        std::to_string(born_) + "}",
                    "Content-Type: application/json\r\n");
    }
    const std::string id = request.Field("X-Attempt-Id");
    const std::string model = request.Field("X-Model");
    {
      const std::lock_guard lock(mutex_);
      if (!model.starts_with("m0/") || !adapters_.contains(model.substr(3)))
        return Answer(421, "", "X-Attempt-Id: " + id + "\r\n");
    }
    RECORD("%s runs %s", id_.c_str(), id.c_str());
    return Answer(200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                  "X-Attempt-Id: " + id +
                      "\r\nX-Server-Seal: s1\r\n"
                      "Content-Type: text/event-stream\r\n");
  }

  std::string Order(const std::string& body) {
    int status = 202;
    {
      const std::lock_guard lock(mutex_);
      const std::string adapter = JsonValue(body, "Adapter");
      const bool load = JsonValue(body, "Op") == "load";
      if (JsonValue(body, "Expect") != std::to_string(seq_)) {
        status = 409;
      } else if (adapter.empty()) {
        status = 400;
      } else if (load && !adapters_.contains(adapter) &&
                 adapters_.size() >= kAdapterSlots) {
        status = 400;
      } else if (load) {
        status = adapters_.insert(adapter).second ? 202 : 200;
        seq_ += status == 202 ? 1 : 0;
      } else {
        status = 200;
        seq_ += adapters_.erase(adapter);
      }
    }
    RECORD("%s: order %s -> %d", id_.c_str(), body.c_str(), status);
    return Answer(status, "");
  }

  Store& store_;
  std::string id_;
  std::uint64_t born_;
  std::mutex mutex_;
  std::set<std::string> adapters_;
  std::uint64_t seq_ = 0;
  Listener listener_;
};

std::atomic<int> g_answered{0};
std::atomic<int> g_refused{0};
std::atomic<int> g_lost{0};

/// Sends one request for `model` and waits for its answer.
bool Ask(Connection& connection,
         const std::string& id,
         const std::string& model,
         int limit_ms) {
  const std::int64_t until = NowMs() + limit_ms + 1000;
  RECORD("client sends %s for %s", id.c_str(), model.substr(0, 16).c_str());
  Message answer;
  const bool whole =
      connection.Send(
          "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
          "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) +
          "\r\nAuthorization: Bearer key1\r\nX-Model: " + model +
          "\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: abcd:100\r\n"
          "Content-Length: 2\r\n\r\nhi") &&
      connection.ReadHead(answer, until) &&
      connection.ReadBody(answer, /*keep=*/true, until);
  ++(!whole ? g_lost : answer.status() == 200 ? g_answered : g_refused);
  RECORD("client %s for %s: %s", id.c_str(), model.substr(0, 16).c_str(),
         whole ? (answer.start + " " + answer.body).c_str() : "not answered");
  return whole;
}

}  // namespace

int main(int argc, char** argv) {
  Begin();
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 3)
    return 2;
  Record::Get().Open(argv[2]);
  const bool trouble = WithTrouble();
  Folder folder;
  Store store;
  store.Put("keyed.op", "config", kConfig);
  Engine engine(store, "i-engine1");
  PlainServer ledger(store, "i-ledger", "ledger", 800, kPayMs);
  Store::Way& way = store.AddWay("127.0.0.1");
  Host host({.name = "edge-1",
             .ip = "127.0.0.1",
             .store = way.address(),
             .memory_mb = kMemoryMb},
            argv[1], folder.path());
  host.Start(/*max_fds=*/2940);
  if (!host.AwaitReady(15000)) {
    RECORD("the host is not ready");
    return 2;
  }
  // The platform ends a process that exceeds its machine's memory.
  std::atomic<bool> stop{false};
  std::atomic<bool> exceeded{false};
  std::atomic<long> peak_kb{0};
  std::thread platform([&] {
    while (!stop && !exceeded) {
      const long kb = host.StatusKb("VmRSS");
      peak_kb = std::max(peak_kb.load(), kb);
      if (kb > kMemoryMb * 1024L) {
        RECORD("the process has %ld KB, its machine %ld KB: it is killed", kb,
               kMemoryMb * 1024L);
        exceeded = true;
        host.Signal(SIGKILL);
      }
      SleepMs(5);
    }
  });
  std::vector<std::thread> callers;
  Payers payers(host.settings(), ledger, kPayers);
  SleepMs(1000);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      auto connection =
          Connection::To(host.settings().ip, host.settings().front);
      for (int n = 0; n < kRequestsOfEach && !exceeded; ++n) {
        const std::string number =
            std::to_string(trouble ? i * kRequestsOfEach + n : 0);
        const std::string name =
            "m0/x" + number + "-" + std::string(kNameBytes, 'x');
        if (!connection ||
            !Ask(*connection,
                 "odd-" + std::to_string(i) + "-" + std::to_string(n), name,
                 300))
          connection =
              Connection::To(host.settings().ip, host.settings().front);
        SleepMs(5);
      }
    });
  }
  for (std::thread& it : callers)
    it.join();
  stop = true;
  platform.join();
  payers.Stop();
  const bool ended = host.Ended() || exceeded;
  char line[240];
  std::snprintf(
      line, sizeof(line),
      "peak %ld KB of %ld, the process %s; odd requests: %d answered, "
      "%d refused, %d not answered; payments: %d answered, %d refused, "
      "%d run and not answered",
      peak_kb.load(), kMemoryMb * 1024L, ended ? "ended" : "lives",
      g_answered.load(), g_refused.load(), g_lost.load(), payers.answered(),
      payers.refused(), payers.lost());
  RECORD("%s", line);
  std::puts(line);
  std::fflush(stdout);
  host.Signal(SIGKILL);
  host.Wait();
  folder.~Folder();
  // The threads of stand-ins still wait on their sockets.
  ::_exit(ended && payers.lost() > kAllowedLosses ? 1 : 0);
}
