// Case: a request that crashes each engine that runs it is kept from the
// engines; then all hosts are killed at the same moment and start again.
#include "standin.h"

namespace {

using namespace standin;

constexpr const char* kConfig =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"post","Host":"h.example","PathPrefix":"/post/","RouteKind":"unsafe","TimeoutMs":1000,"GoalMs":150,"Priority":2,"Service":"s","Attempts":1},)"
    R"({"Name":"read","Host":"h.example","PathPrefix":"/read/","RouteKind":"safe","TimeoutMs":1000,"GoalMs":150,"Priority":2,"Service":"s","Attempts":2}],)"
    R"("Services":[{"Name":"s","HealthPath":"/h","MaxConns":214}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":0,"Burst":0}]})";

constexpr int kHosts = 2;
constexpr int kEngines = 2;
constexpr double kContactS = 3.0;
// The request comes again after this time.
constexpr int kAgainMs = 4000;
constexpr int kTriesBefore = 8;
constexpr int kTriesAfter = 7;
// A crashed engine is back after this time.
constexpr int kDownMs = 2000;
// How long a sound payment runs at an engine.
constexpr int kWorkMs = 30;
constexpr int kPayers = 6;
const std::string kDeadly = "the body of the request that crashes engines";

struct Crashes {
  std::mutex mutex;
  // When engines got the request.
  std::vector<double> at;
};

// A plain engine. It keeps its id and address over a crash.
class Engine {
 public:
  Engine(Store& store, std::string id, Crashes& crashes)
      : store_(store), id_(std::move(id)), crashes_(crashes) {
    Open();
    std::thread([this] {
      for (int beat = 1;; ++beat) {
        if (up_)
          Register(beat);
        Sleep(1200);
      }
    }).detach();
  }

 private:
  void Open() {
    const std::lock_guard lock(mutex_);
    listener_ = Listen(port_);
    up_ = true;
    std::thread([this, fd = listener_] { Accept(fd); }).detach();
  }

  void Register(int beat) {
    store_.Put("keyed.servers", id_,
               EngineEntry("s", "127.0.0.1:" + std::to_string(port_), "ready",
                           born_, beat));
  }

  void Accept(int listener) {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Crash() {
    {
      const std::lock_guard lock(mutex_);
      if (!up_)
        return;
      up_ = false;
      ::shutdown(listener_, SHUT_RDWR);
      ::close(listener_);
      for (const int fd : open_)
        ::shutdown(fd, SHUT_RDWR);
    }
    std::thread([this] {
      Sleep(kDownMs);
      born_ += kDownMs;
      Open();
      RECORD("engine %s: is back", id_.c_str());
      Register(1);
    }).detach();
  }

  void Serve(int fd) {
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::string buf;
    Message request;
    while (up_ && ReadHead(fd, buf, request) && ReadBody(fd, buf, request)) {
      if (AnswerQuery(fd, request, id_))
        continue;
      if (request.body == kDeadly) {
        {
          const std::lock_guard lock(crashes_.mutex);
          crashes_.at.push_back(Seconds());
          RECORD("engine %s: begins to run %s and crashes, the %zuth time",
                 id_.c_str(), request.Field("X-Attempt-Id").c_str(),
                 crashes_.at.size());
        }
        Crash();
        break;
      }
      Sleep(kWorkMs);
      if (!up_ ||
          !SendAll(fd, EngineAnswer(request, 200, "seal-" + id_, "answer")))
        break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }

  Store& store_;
  std::string id_;
  Crashes& crashes_;
  std::mutex mutex_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> up_{false};
  std::atomic<long long> born_{1700000000000};
  std::set<int> open_;
};

bool Run(const std::string& folder) {
  const bool trouble = TroubleIsOn();
  Store& store = Make<Store>();
  Crashes& crashes = Make<Crashes>();
  store.Put("keyed.op", "config", kConfig);
  for (int i = 0; i < kEngines; ++i)
    Make<Engine>(store, "i-" + std::to_string(i), crashes);
  std::vector<std::unique_ptr<Edge>> hosts;
  for (int i = 0; i < kHosts; ++i)
    hosts.push_back(std::make_unique<Edge>(folder, "edge-" + std::to_string(i),
                                           store.address()));
  for (const auto& it : hosts)
    it->AwaitReady();
  Sleep(3500);
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  // Payments that an engine had when it crashed: their callers get 502.
  std::atomic<int> lost{0};
  std::vector<std::thread> payers;
  for (int i = 0; i < kPayers; ++i)
    payers.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const std::string id =
            "pay" + std::to_string(i) + "-" + std::to_string(n);
        const Reply reply =
            Ask(hosts[n % kHosts]->callers(),
                Request("POST", "/post/x", id, id, "X-Deadline-Ms: 1000\r\n"),
                1500);
        served += reply.status == 200 ? 1 : 0;
        lost += reply.status == 502 ? 1 : 0;
        Sleep(50);
      }
    });
  int tries = 0;
  const auto send = [&] {
    const std::string id = "deadly" + std::to_string(++tries);
    const Reply reply =
        Ask(hosts[tries % kHosts]->callers(),
            Request("POST", "/post/x", id, kDeadly, "X-Deadline-Ms: 1000\r\n"),
            1500);
    RECORD("client: %s at host %d gets %d %s", id.c_str(), tries % kHosts,
           reply.status, reply.body.c_str());
  };
  for (int i = 0; i < kTriesBefore; ++i) {
    send();
    Sleep(kAgainMs);
  }
  const int lost_before = lost;
  double back_at = 0;
  if (trouble) {
    RECORD("hosts: all %d processes are killed, and start again", kHosts);
    for (const auto& it : hosts)
      it->process().Kill();
    Sleep(500);
    for (const auto& it : hosts)
      it->Start();
    back_at = Seconds();
    Sleep(kAgainMs);
  }
  for (int i = 0; i < kTriesAfter; ++i) {
    send();
    Sleep(kAgainMs);
  }
  stop = true;
  for (std::thread& it : payers)
    it.join();
  const std::lock_guard lock(crashes.mutex);
  if (served == 0 || crashes.at.size() < 3)
    throw std::runtime_error("nothing is served, or no engine crashed");
  int late = 0;
  for (const double it : crashes.at) {
    const bool in_touch =
        back_at == 0 || it < back_at - 0.5 || it > back_at + kContactS;
    late += it > crashes.at[2] + kContactS && in_touch ? 1 : 0;
  }
  RECORD(
      "%d sound payments were served; %d were lost with engines, %d of them "
      "after the hosts' start",
      served.load(), lost.load(), lost - lost_before);
  RECORD(
      "%d times it reached an engine, sent by hosts in touch later than %.0f "
      "s after it had crashed the third; more than three break the rule",
      late, kContactS);
  return late <= 3;
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv, Run);
}
