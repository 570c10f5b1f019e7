// Callers that read large answers slowly and keep their connections. The
// platform ends a process that exceeds its machine's memory.
#include "lab.h"

namespace {

using namespace lab;

constexpr int kMemoryMb = 182;
/// An answer of a report, and an ordinary one.
constexpr std::size_t kReportBytes = 6000000;
constexpr int kServers = 4;
constexpr int kPayers = 8;
constexpr int kPayMs = 250;
/// Callers that fetch a report at the same time, and how many times others
/// follow them on connections of their own.
constexpr int kTogether = 130;
constexpr int kWaves = 7;
/// How long a slow reader waits before it reads its answer.
constexpr int kPauseMs = 2000;

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

std::atomic<int> g_answered{0};
std::atomic<int> g_lost{0};
std::atomic<int> g_refused{0};

std::string Request(const std::string& path, const std::string& id) {
  return "POST /" + path +
         "/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key1\r\n"
         "Content-Length: 4\r\n\r\nbody";
}

/// Reads the answer to `id` and notes how it came.
void Take(Connection* connection, const std::string& id) {
  const std::int64_t until = NowMs() + 12000;
  Message answer;
  if (connection == nullptr || !connection->ReadHead(answer, until) ||
      !connection->ReadBody(answer, /*keep=*/false, until)) {
    ++g_lost;
    RECORD("client %s: no whole answer, %zu bytes", id.c_str(),
           answer.body_bytes);
    return;
  }
  ++(answer.status() == 200 ? g_answered : g_refused);
  RECORD("client %s: %d, %zu bytes", id.c_str(), answer.status(),
         answer.body_bytes);
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
  store.Put("keyed.op", "config", ConfigText());
  std::vector<std::unique_ptr<PlainServer>> servers;
  for (int i = 0; i < kServers; ++i)
    servers.push_back(std::make_unique<PlainServer>(
        store, "i-scribe" + std::to_string(i), "scribe", kReportBytes,
        /*work_ms=*/20));
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
  Payers payers(host.settings(), ledger, kPayers);
  std::vector<std::unique_ptr<Connection>> kept;
  for (int wave = 0; wave < kWaves && !exceeded; ++wave) {
    std::vector<std::thread> readers;
    for (int i = 0; i < kTogether; ++i) {
      kept.push_back(Connection::To(host.settings().ip, host.settings().front));
      readers.emplace_back(
          [connection = kept.back().get(), trouble,
           id = "report-" + std::to_string(wave) + "-" + std::to_string(i)] {
            RECORD("client sends %s", id.c_str());
            if (connection != nullptr)
              connection->Send(Request("report", id));
            if (trouble)
              SleepMs(kPauseMs);
            Take(connection, id);
          });
    }
    for (std::thread& it : readers)
      it.join();
    RECORD("wave %d is answered, %zu connections are kept, %ld KB", wave,
           kept.size(), host.StatusKb("VmRSS"));
  }
  SleepMs(300);
  stop = true;
  platform.join();
  payers.Stop();
  const bool ended = host.Ended() || exceeded;
  char line[240];
  std::snprintf(line, sizeof(line),
                "peak %ld KB of %ld, the process %s; reports: %d answered, %d "
                "refused, %d not answered; payments: %d answered, %d refused, "
                "%d run and not answered",
                peak_kb.load(), kMemoryMb * 1024L, ended ? "ended" : "lives",
                g_answered.load(), g_refused.load(), g_lost.load(),
                payers.answered(), payers.refused(), payers.lost());
  RECORD("%s", line);
  std::puts(line);
  std::fflush(stdout);
  host.Signal(SIGKILL);
  host.Wait();
  folder.~Folder();
  // The threads of stand-ins still wait on their sockets.
  ::_exit(ended && payers.lost() > kAllowedLosses ? 1 : 0);
}
