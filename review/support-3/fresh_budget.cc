// Case: engines fail a part of their requests, and the hosts are killed once
// and start again.
#include "standin.h"

namespace {

using namespace standin;

constexpr const char* kConfig =
    R"({"Version":1,"Routes":[{"Name":"read","Host":"h.example","PathPrefix":"/read/","RouteKind":"safe","TimeoutMs":1000,"GoalMs":150,"Priority":2,"Service":"s","Attempts":2}],)"
    R"("Services":[{"Name":"s","HealthPath":"/h","MaxConns":214}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":0,"Burst":0}]})";

constexpr int kEngines = 3;
constexpr int kHosts = 2;
constexpr int kPerSecond = 80;
// Engines fail this part of their requests for so long, so many times in turn.
constexpr double kFailingPart = 0.45;
constexpr int kFailingMs = 4000;
constexpr int kFailingTimes = 3;
constexpr double kRatio = 0.2;
constexpr double kExtra = 116;
constexpr double kWindowS = 10;

struct Log {
  std::mutex mutex;
  // When clients sent each request.
  std::vector<double> sent;
  // Arrivals of each request at engines.
  std::map<std::string, int> arrivals;
  // When engines got a request that had arrived before.
  std::vector<double> repeats;
};

int CountIn(const std::vector<double>& times, double from, double to) {
  int n = 0;
  for (const double it : times)
    n += it >= from && it < to ? 1 : 0;
  return n;
}

void ServeEngine(int fd,
                 const std::string& id,
                 const std::atomic<bool>& grey,
                 Log& log) {
  std::string buf;
  Message request;
  while (ReadHead(fd, buf, request) && ReadBody(fd, buf, request)) {
    if (AnswerQuery(fd, request, id))
      continue;
    bool fails = false;
    {
      const std::lock_guard lock(log.mutex);
      const std::string attempt = request.Field("X-Attempt-Id");
      const int before = log.arrivals[attempt]++;
      if (before > 0)
        log.repeats.push_back(Seconds());
      static unsigned seed = 1;
      fails = grey && rand_r(&seed) < kFailingPart * RAND_MAX;
    }
    if (!SendAll(fd, EngineAnswer(request, fails ? 500 : 200, "seal-" + id,
                                  "answer")))
      break;
  }
  ::close(fd);
}

bool Run(const std::string& folder) {
  const bool trouble = TroubleIsOn();
  const char* kill = std::getenv("KILL");
  const bool kills = trouble && !(kill && std::string(kill) == "0");
  Log& log = Make<Log>();
  std::atomic<bool>& grey = Make<std::atomic<bool>>(false);
  Store& store = Make<Store>();
  store.Put("keyed.op", "config", kConfig);
  for (int i = 0; i < kEngines; ++i) {
    const std::string id = "i-" + std::to_string(i);
    Server& engine = Make<Server>(
        [id, &grey, &log](int fd) { ServeEngine(fd, id, grey, log); });
    store.Put("keyed.servers", id,
              EngineEntry("s", engine.address(), "ready", 1700000000000 + i));
  }
  std::vector<std::unique_ptr<Edge>> hosts;
  for (int i = 0; i < kHosts; ++i)
    hosts.push_back(std::make_unique<Edge>(folder, "edge-" + std::to_string(i),
                                           store.address()));
  for (const auto& it : hosts)
    it->AwaitReady();
  Sleep(3000);
  const double begin = Seconds();
  const double end = begin + 22;
  std::vector<std::thread> clients;
  constexpr int kClients = 16;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0;; ++n) {
        const double due = begin + (n + static_cast<double>(i) / kClients) *
                                       kClients / kPerSecond;
        if (due >= end)
          return;
        while (Seconds() < due)
          Sleep(1);
        const std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(n);
        {
          const std::lock_guard lock(log.mutex);
          log.sent.push_back(Seconds());
        }
        Ask(hosts[(i + n) % kHosts]->callers(),
            Request("GET", "/read/x", id, "", "X-Deadline-Ms: 1000\r\n"), 1200);
      }
    });
  Sleep(6000);
  std::thread failing([&] {
    for (int i = 0; trouble && i < kFailingTimes; ++i) {
      RECORD("engines: fail %.2f of their requests with 500 for %d ms",
             kFailingPart, kFailingMs);
      grey = true;
      Sleep(kFailingMs);
      grey = false;
    }
  });
  Sleep(5000);
  if (kills) {
    RECORD("hosts: all %d processes are killed, and start again", kHosts);
    for (const auto& it : hosts)
      it->process().Kill();
    Sleep(100);
    for (const auto& it : hosts)
      it->Start();
  }
  failing.join();
  for (std::thread& it : clients)
    it.join();
  double worst = -1e9;
  double worst_at = begin;
  const std::lock_guard lock(log.mutex);
  const auto allowed = [&](double at) {
    int requests = 0;
    for (const double from : {at, at - kWindowS / 2, at - kWindowS})
      requests = std::max(requests, CountIn(log.sent, from, from + kWindowS));
    return kRatio * requests + kExtra;
  };
  for (double at = begin; at + kWindowS <= end; at += 0.1) {
    const double over = CountIn(log.repeats, at, at + kWindowS) - allowed(at);
    if (over > worst) {
      worst = over;
      worst_at = at;
    }
  }
  for (double at = begin; at < end; at += 1)
    RECORD("second %2.0f: %d requests sent, %d repeats arrive", at - begin,
           CountIn(log.sent, at, at + 1), CountIn(log.repeats, at, at + 1));
  RECORD(
      "worst window of 10 s, from second %.1f: %d requests sent, %d repeats "
      "arrive, %.1f are allowed",
      worst_at - begin, CountIn(log.sent, worst_at, worst_at + kWindowS),
      CountIn(log.repeats, worst_at, worst_at + kWindowS), allowed(worst_at));
  return worst <= 0;
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv, Run);
}
