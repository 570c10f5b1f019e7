// A crowd of callers whose bodies stop just short of their end, beside ordinary
// callers and the platform's question whether the host is ready.
#include "lab.h"

namespace {

using namespace lab;

constexpr int kMemoryMb = 182;
/// The descriptors of the machine.
constexpr int kMaxFds = 2940;
/// A few more than the host has descriptors for.
constexpr int kCrowd = 2950;
constexpr int kCrowdWithoutTrouble = 300;
constexpr int kContactMs = 3000;
constexpr int kOrdinaryCallers = 10;
constexpr int kSlots = 48;

std::string ConfigText() {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service, int timeout_ms, int goal) {
    return "{\"Name\":\"" + name +
           "\",\"Host\":\"h.example\",\"PathPrefix\":\"/" + name +
           "/\",\"RouteKind\":\"" + kind +
           "\",\"TimeoutMs\":" + std::to_string(timeout_ms) +
           ",\"GoalMs\":" + std::to_string(goal) +
           ",\"Priority\":1,\"Service\":\"" + service +
           "\",\"Attempts\":1,\"Public\":false,\"Sticky\":false,"
           "\"Resumable\":false,\"GapGoalMs\":0}";
  };
  return "{\"Version\":7,\"Routes\":[" +
         route("report", "unsafe", "scribe", 15000, 3000) + "," +
         route("pay", "unsafe", "ledger", 3000, 150) +
         "],\"Services\":[{\"Name\":\"scribe\",\"HealthPath\":\"/healthz\","
         "\"MaxConns\":643},{\"Name\":\"ledger\",\"HealthPath\":\"/healthz\","
         "\"MaxConns\":214}],\"Limits\":{\"MaxHeaderBytes\":16384,"
         "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":"
         "15000},"
         "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key1\"],\"RatePerS\":0,"
         "\"Burst\":0}]}";
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
        RECORD("server %s runs %s", id_.c_str(), id.c_str());
      SleepMs(20);
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

/// Sends one request on a new connection; true if it is answered in time.
bool Ask(const HostSettings& host, const std::string& id, int limit_ms) {
  RECORD("client sends %s", id.c_str());
  const std::int64_t until = NowMs() + limit_ms;
  const auto connection = Connection::To(host.ip, host.front);
  Message answer;
  const bool answered =
      connection &&
      connection->Send(
          "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
          "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) +
          "\r\nAuthorization: Bearer key1\r\nContent-Length: 4\r\n\r\nbody") &&
      connection->ReadHead(answer, until) &&
      connection->ReadBody(answer, /*keep=*/false, until);
  RECORD("client %s: %s", id.c_str(),
         answered ? answer.start.c_str() : "not answered");
  return answered;
}

}  // namespace

int main(int argc, char** argv) {
  Begin();
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 3)
    return 2;
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  Record::Get().Open(argv[2]);
  if (limit.rlim_max < kCrowd + 200) {
    RECORD("the script has too few descriptors");
    return 2;
  }
  const int size = WithTrouble() ? kCrowd : kCrowdWithoutTrouble;
  Folder folder;
  Store store;
  store.Put("keyed.op", "config", ConfigText());
  Server ledger(store, "i-ledger", "ledger", 800);
  Store::Way& way = store.AddWay("127.0.0.1");
  Host host({.name = "edge-1",
             .ip = "127.0.0.1",
             .store = way.address(),
             .memory_mb = kMemoryMb},
            argv[1], folder.path());
  host.Start(kMaxFds);
  if (!host.AwaitReady(15000)) {
    RECORD("the host is not ready");
    return 2;
  }
  // The platform asks each second, on a connection that it keeps.
  std::atomic<bool> stop{false};
  std::atomic<int> ready{0};
  std::atomic<int> not_ready{0};
  std::thread platform([&] {
    const auto connection =
        Connection::To(host.settings().ip, host.settings().ready);
    while (!stop) {
      Message answer;
      const bool says =
          connection->Send(
              "GET /mangoport/readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
          connection->ReadHead(answer, NowMs() + 1000) &&
          connection->ReadBody(answer, /*keep=*/false, NowMs() + 1000) &&
          answer.status() == 200;
      ++(says ? ready : not_ready);
      RECORD("the host says that it is %s", says ? "ready" : "not ready");
      SleepMs(1000);
    }
  });
  const bool before = Ask(host.settings(), "before", 3000);
  std::vector<std::unique_ptr<Connection>> crowd;
  for (int i = 0; i < size; ++i) {
    crowd.push_back(Connection::To(host.settings().ip, host.settings().front));
    // The body lacks its last byte.
    if (crowd.back())
      crowd.back()->Send(
          "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd-" +
          std::to_string(i) +
          "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key1\r\n"
          "Content-Length: 600\r\n\r\n" +
          std::string(599, 'b'));
  }
  RECORD("a crowd of %d has sent all but the last byte", size);
  SleepMs(1000);
  ready = 0;
  not_ready = 0;
  std::atomic<int> answered{0};
  std::atomic<int> tries{0};
  std::vector<std::thread> callers;
  const std::int64_t from = NowMs();
  for (int i = 0; i < kOrdinaryCallers; ++i) {
    callers.emplace_back([&, i] {
      // A caller gives a connection a second and then opens another.
      for (int n = 0; NowMs() < from + kContactMs + 1000; ++n) {
        ++tries;
        answered +=
            Ask(host.settings(),
                "pay-" + std::to_string(i) + "-" + std::to_string(n), 1000)
                ? 1
                : 0;
        SleepMs(100);
      }
    });
  }
  for (std::thread& it : callers)
    it.join();
  const bool said_ready = ready >= 3 && not_ready == 0;
  const bool broken = before && said_ready && answered == 0;
  crowd.clear();
  SleepMs(500);
  const bool after = Ask(host.settings(), "after", 3000);
  stop = true;
  platform.join();
  char line[200];
  std::snprintf(line, sizeof(line),
                "%d callers, %d tries over %d ms, %d answered; ready %d times, "
                "not ready %d times; answered after the crowd: %s",
                kOrdinaryCallers, tries.load(), kContactMs + 1000,
                answered.load(), ready.load(), not_ready.load(),
                after ? "yes" : "no");
  RECORD("%s", line);
  std::puts(line);
  std::fflush(stdout);
  host.Signal(SIGKILL);
  host.Wait();
  folder.~Folder();
  // The threads of stand-ins still wait on their sockets.
  ::_exit(!before ? 2 : broken ? 1 : 0);
}
