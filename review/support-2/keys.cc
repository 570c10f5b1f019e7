// A key is taken away while the store turns the host away and the
// configuration, a large one, changes in quick succession. The key's holder
// goes on asking.
#include "lab.h"

namespace {

using namespace lab;

constexpr int kMemoryMb = 182;
constexpr int kSlots = 48;
/// The operator adds so many routes, and then changes the configuration so
/// often.
constexpr int kRoutes = 350;
constexpr int kChanges = 12;
constexpr int kChangeEachMs = 330;
/// The store turns the host away for so long.
constexpr int kAwayMs = 9000;
constexpr int kRevokeMs = 5000;
constexpr int kCallers = 16;
constexpr int kHosts = 3;
constexpr int kCalmMs = 5000;
constexpr int kAfterMs = 4000;

/// Version `version` of the configuration, with `routes` routes beside the one
/// that clients use.
std::string ConfigText(int version, int routes, bool has_key) {
  const auto route = [](const std::string& name, const std::string& prefix) {
    return "{\"Name\":\"" + name +
           "\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/" + prefix +
           "/\",\"RouteKind\":\"unsafe\",\"TimeoutMs\":3000,\"GoalMs\":150,"
           "\"Priority\":2,\"Service\":\"ledger\",\"Attempts\":1,"
           "\"Public\":false,\"Sticky\":false,\"Resumable\":false,"
           "\"GapGoalMs\":0}";
  };
  std::string out = "{\"Version\":" + std::to_string(version) +
                    ",\"Routes\":[" + route("r-pay", "pay");
  for (int i = 0; i < routes; ++i) {
    const std::string number = std::to_string(100000 + i);
    out += "," + route("r-added-" + number, "added" + number + "/lohu930/2f");
  }
  return out +
         "],\"Services\":[{\"Name\":\"ledger\",\"HealthPath\":\"/healthz\","
         "\"MaxConns\":214}],\"Limits\":{\"MaxHeaderBytes\":16384,"
         "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
         "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t1\","
         "\"ApiKeys\":[\"key-other\"" +
         (has_key ? ",\"key-taken\"" : "") + "],\"RatePerS\":0,\"Burst\":0}]}";
}

std::mutex g_mutex;
/// When each request was sent.
std::map<std::string, std::int64_t> g_sent;
std::vector<std::pair<std::string, std::int64_t>> g_runs;

void NoteRun(const std::string& id) {
  const std::lock_guard lock(g_mutex);
  g_runs.emplace_back(id, g_sent.at(id));
  RECORD("server runs %s", id.c_str());
}

/// A sound server: reads each request whole and answers it.
class Server {
 public:
  Server(Store& store, std::string id, std::string service, std::size_t bytes)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        body_(bytes, 'r'),
        born_(WallMs()),
        listener_("127.0.0.1", [this](Connection& it) { Serve(it); }) {
    std::thread([this] {
      for (int beat = 1;; ++beat) {
        store_.Put("keyed.servers", id_,
                   "{\"Service\":\"" + service_ + "\",\"Addr\":\"" +
                       listener_.address() +
                       "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":" +
                       std::to_string(kSlots) +
                       ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":" +
                       std::to_string(beat) +
                       ",\"born\":" + std::to_string(born_) + "}");
        SleepMs(1200);
      }
    }).detach();
  }

 private:
  void Serve(Connection& connection) {
    while (true) {
      Message request;
      if (!connection.ReadHead(request) ||
          !connection.ReadBody(request, /*keep=*/false))
        return;
      const std::string id = request.Field("X-Attempt-Id");
      if (!id.empty())
        NoteRun(id);
      SleepMs(5);
      if (!connection.Send(Answer(
              200, body_,
              "X-Attempt-Id: " + id + "\r\nX-Server-Seal: " + id_ + "\r\n")))
        return;
    }
  }

  Store& store_;
  std::string id_;
  std::string service_;
  std::string body_;
  std::uint64_t born_;
  Listener listener_;
};

/// A client that holds a key and asks without a pause.
void Ask(const HostSettings& host,
         const std::string& key,
         int number,
         int pause_ms,
         const std::atomic<bool>& stop) {
  std::unique_ptr<Connection> connection;
  for (int n = 0; !stop; ++n) {
    const std::string id =
        key + "-" + std::to_string(number) + "-" + std::to_string(n);
    if (!connection)
      connection = Connection::To(host.ip, host.front);
    {
      const std::lock_guard lock(g_mutex);
      g_sent[id] = NowMs();
    }
    RECORD("client sends %s", id.c_str());
    Message answer;
    const bool whole =
        connection &&
        connection->Send(
            "POST /pay/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " +
            id + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key +
            "\r\nContent-Length: 2\r\n\r\nhi") &&
        connection->ReadHead(answer, NowMs() + 3000) &&
        connection->ReadBody(answer, /*keep=*/true, NowMs() + 3000);
    RECORD("client %s: %s %s", id.c_str(),
           whole ? answer.start.c_str() : "not answered",
           answer.status() == 200 ? "" : answer.body.c_str());
    if (!whole || Lower(answer.Field("connection")) == "close")
      connection.reset();
    SleepMs(pause_ms);
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
  int version = 7;
  const auto put = [&](int routes, bool has_key) {
    const std::string text = ConfigText(version, routes, has_key);
    store.Put("keyed.op", "config", text);
    RECORD("operator: version %d is acknowledged, %zu bytes, %s the key",
           version, text.size(), has_key ? "with" : "without");
    ++version;
  };
  put(0, /*has_key=*/true);
  Server ledger(store, "i-ledger", "ledger", 800);
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Store::Way*> ways;
  for (int i = 1; i <= kHosts; ++i) {
    const std::string ip = "127.0.0." + std::to_string(i + 1);
    ways.push_back(&store.AddWay(ip));
    hosts.push_back(std::make_unique<Host>(
        HostSettings{.name = "edge-z1-" + std::to_string(i),
                     .zone = "z1",
                     .ip = ip,
                     .store = ways.back()->address(),
                     .memory_mb = kMemoryMb},
        argv[1], folder.path()));
    hosts.back()->Start(/*max_fds=*/2940);
  }
  for (const auto& it : hosts) {
    if (!it->AwaitReady(15000)) {
      RECORD("a host is not ready");
      return 2;
    }
  }
  // Any number of machines may go down: one is left.
  Host& host = *hosts.front();
  Store::Way& way = *ways.front();
  for (std::size_t i = 1; i < hosts.size(); ++i) {
    hosts[i]->Signal(SIGKILL);
    hosts[i]->Wait();
    RECORD("machine of %s is gone", hosts[i]->settings().name.c_str());
  }
  SleepMs(kCalmMs);
  std::atomic<bool> stop{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back(
        [&, i] { Ask(host.settings(), "key-taken", i, 1, stop); });
  callers.emplace_back([&] { Ask(host.settings(), "key-other", 0, 50, stop); });
  SleepMs(1000);
  const std::int64_t away_at = NowMs();
  if (trouble) {
    way.cut = true;
    RECORD("the store turns the host away");
  }
  put(kRoutes, /*has_key=*/true);
  SleepMs(100);
  for (int i = 0; i < kChanges; ++i) {
    put(kRoutes, /*has_key=*/true);
    SleepMs(i + 1 < kChanges ? kChangeEachMs : 70);
  }
  put(kRoutes, /*has_key=*/false);
  const std::int64_t taken_at = NowMs();
  SleepMs(away_at + kAwayMs - NowMs());
  way.cut = false;
  RECORD("the store serves the host");
  SleepMs(kAfterMs);
  stop = true;
  for (std::thread& it : callers)
    it.join();
  int late = 0;
  std::int64_t latest = 0;
  for (const auto& [id, sent] : g_runs) {
    if (!id.starts_with("key-taken") || sent <= taken_at + kRevokeMs)
      continue;
    ++late;
    latest = std::max(latest, sent - taken_at);
    RECORD("server has run %s, sent %ld ms after the key was taken away",
           id.c_str(), static_cast<long>(sent - taken_at));
  }
  char line[160];
  std::snprintf(line, sizeof(line),
                "%zu requests run; %d with the key that were sent more than %d "
                "ms after it was taken away, the last %ld ms after",
                g_runs.size(), late, kRevokeMs, static_cast<long>(latest));
  RECORD("%s", line);
  std::puts(line);
  std::fflush(stdout);
  hosts.clear();
  folder.~Folder();
  // The threads of stand-ins still wait on their sockets.
  ::_exit(late > 0 ? 1 : 0);
}
