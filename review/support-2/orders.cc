// Three hosts before a model engine. The host that gives it orders is cut off
// from the platform's store, and the engine is silent for a second meanwhile.
#include "lab.h"

namespace {

using namespace lab;

constexpr int kLeaseMs = 3000;
constexpr int kEngines = 2;
constexpr int kAdapterSlots = 8;
constexpr int kAdapterLoadMs = 10;
/// The adapters that are asked for at first, and after the demand has moved.
const std::vector<std::string> kAskedFirst = {"a1", "a2"};
const std::vector<std::string> kAskedLater = {"a3", "a4", "a5", "a6",
                                              "a7", "a8", "a9", "a24"};
constexpr int kDemandMovesMs = 1000;
/// The cut begins so long after a renewal of the lease, and lasts.
constexpr int kCutAfterRenewalMs = 30;
constexpr int kCutMs = 5500;
/// The first order that comes so long after that renewal or later finds the
/// engine silent for a second.
constexpr int kSilenceAfterRenewalMs = 1150;
constexpr int kNoSilenceAfterMs = 1600;
constexpr int kSilenceMs = 1000;
constexpr int kCalmMs = 9000;
constexpr int kAfterMs = 14000;

const char kConfig[] =
    R"({"Version":7,"Routes":[{"Name":"draft","Host":"h.example",)"
    R"("PathPrefix":"/draft/","RouteKind":"stream","TimeoutMs":15000,)"
    R"("GoalMs":250,"Priority":0,"Service":"scribe","Attempts":2,)"
    R"("Public":false,"Sticky":true,"Resumable":true,"GapGoalMs":250}],)"
    R"("Services":[{"Name":"scribe","HealthPath":"/healthz","MaxConns":643,)"
    R"("Engine":{"Slots":48,"KvCapacity":150587,"WeightsMb":200000,)"
    R"("AdapterSlots":8,"LoadsPerS":2.2,"Models":[{"Name":"m0",)"
    R"("WeightsMb":72700,"LoadS":4.2,"WarmS":0.4,"DiskS":0.84,)"
    R"("Adapters":24,"AdapterMb":66}]}}],"Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["key1"],"RatePerS":0,"Burst":0}]})";

/// An order as the engine has seen it.
struct SeenOrder {
  std::int64_t at_ms = 0;
  std::string holder;
  std::string fence;
};

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

  /// The next order that comes finds the engine silent.
  void SetArmed(bool armed) { armed_ = armed; }
  const std::string& id() const { return id_; }
  std::vector<SeenOrder> orders() {
    const std::lock_guard lock(mutex_);
    return orders_;
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
      if (request.target() == "/mangoport/order" && armed_.exchange(false)) {
        silent_until_ = NowMs() + kSilenceMs;
        RECORD("%s is silent for %d ms", id_.c_str(), kSilenceMs);
      }
      SleepMs(silent_until_ - NowMs());
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
      orders_.push_back(
          {NowMs(), JsonValue(body, "Holder"), JsonValue(body, "Fence")});
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
    SleepMs(kAdapterLoadMs);
    return Answer(status, "");
  }

  Store& store_;
  std::string id_;
  std::uint64_t born_;
  std::mutex mutex_;
  std::set<std::string> adapters_;
  std::uint64_t seq_ = 0;
  std::vector<SeenOrder> orders_;
  std::atomic<bool> armed_{false};
  std::atomic<std::int64_t> silent_until_{0};
  Listener listener_;
};

std::atomic<int> g_answers{0};
std::atomic<bool> g_demand_moved{false};

/// A client that asks for one adapter after another.
void Ask(const HostSettings& host, const std::atomic<bool>& stop, int first) {
  for (int n = first; !stop; ++n) {
    const std::vector<std::string>& asked =
        g_demand_moved ? kAskedLater : kAskedFirst;
    const std::string id =
        host.name + "-" + std::to_string(first) + "-" + std::to_string(n);
    RECORD("client sends %s", id.c_str());
    const auto connection = Connection::To(host.ip, host.front);
    Message answer;
    const bool answered =
        connection &&
        connection->Send(
            "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
            "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n"
            "X-Model: m0/" +
            asked.at(static_cast<std::size_t>(n) % asked.size()) +
            "\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: " +
            std::to_string(10000000 + n) +
            ":100\r\nContent-Length: 2\r\n\r\nhi") &&
        connection->ReadHead(answer, NowMs() + 3000);
    RECORD("client %s: %s", id.c_str(),
           answered ? answer.start.c_str() : "not answered");
    g_answers += answered && answer.status() == 200 ? 1 : 0;
    SleepMs(60);
  }
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
  std::mutex mutex;
  std::string holder;
  std::int64_t renewed_at = 0;
  int renewals = 0;
  store.set_on_append([&](const std::string& topic, const std::string& /*key*/,
                          const std::string& value) {
    if (topic != "keyed.orders")
      return;
    const std::lock_guard lock(mutex);
    holder = JsonValue(value, "holder");
    renewed_at = NowMs();
    ++renewals;
    RECORD("store: lease record %s", value.c_str());
  });
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= kEngines; ++i)
    engines.push_back(
        std::make_unique<Engine>(store, "i-engine" + std::to_string(i)));
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<std::string, Store::Way*> ways;
  for (int i = 1; i <= 3; ++i) {
    const std::string name = "edge-z" + std::to_string(i) + "-1";
    const std::string ip = "127.0.0." + std::to_string(i + 1);
    ways[name] = &store.AddWay(ip);
    hosts.push_back(
        std::make_unique<Host>(HostSettings{.name = name,
                                            .zone = "z" + std::to_string(i),
                                            .ip = ip,
                                            .store = ways[name]->address(),
                                            .lease_ms = kLeaseMs},
                               argv[1], folder.path()));
    hosts.back()->Start();
  }
  for (const auto& it : hosts) {
    if (!it->AwaitReady(15000)) {
      RECORD("a host is not ready");
      return 2;
    }
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (const auto& it : hosts) {
    for (const int first : {0, 8, 16})
      clients.emplace_back([&, first] { Ask(it->settings(), stop, first); });
  }
  SleepMs(kCalmMs);
  std::string cut;
  int before = 0;
  {
    const std::lock_guard lock(mutex);
    before = renewals;
  }
  std::int64_t renewal = 0;
  while (renewal == 0) {
    SleepMs(1);
    const std::lock_guard lock(mutex);
    if (renewals > before) {
      renewal = renewed_at;
      cut = holder;
    }
  }
  SleepMs(renewal + kCutAfterRenewalMs - NowMs());
  if (trouble) {
    ways.at(cut)->cut = true;
    RECORD("%s is cut off from the store", cut.c_str());
  }
  SleepMs(renewal + kDemandMovesMs - NowMs());
  g_demand_moved = true;
  SleepMs(renewal + kSilenceAfterRenewalMs - NowMs());
  for (const auto& it : engines)
    it->SetArmed(true);
  SleepMs(renewal + kNoSilenceAfterMs - NowMs());
  for (const auto& it : engines)
    it->SetArmed(false);
  SleepMs(renewal + kCutAfterRenewalMs + kCutMs - NowMs());
  ways.at(cut)->cut = false;
  RECORD("%s reaches the store again", cut.c_str());
  SleepMs(renewal + kAfterMs - NowMs());
  stop = true;
  for (std::thread& it : clients)
    it.join();
  std::size_t count = 0;
  std::int64_t closest = -1;
  for (const auto& it : engines) {
    const std::vector<SeenOrder> orders = it->orders();
    count += orders.size();
    for (std::size_t i = 1; i < orders.size(); ++i) {
      const std::int64_t gap = orders[i].at_ms - orders[i - 1].at_ms;
      if (orders[i].holder == orders[i - 1].holder)
        continue;
      RECORD("%s: orders of %s and then of %s, %ld ms apart", it->id().c_str(),
             orders[i - 1].holder.c_str(), orders[i].holder.c_str(),
             static_cast<long>(gap));
      closest = closest < 0 ? gap : std::min(closest, gap);
    }
  }
  const bool broken = closest >= 0 && closest < kLeaseMs;
  char line[160];
  std::snprintf(line, sizeof(line),
                "%zu orders, %d answers; closest orders of two holders: %ld ms",
                count, g_answers.load(), static_cast<long>(closest));
  RECORD("%s", line);
  std::puts(line);
  std::fflush(stdout);
  hosts.clear();
  folder.~Folder();
  ::_exit(broken ? 1 : count == 0 ? 2 : 0);
}
