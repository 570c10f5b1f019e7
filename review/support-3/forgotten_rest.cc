// Case: an engine starts again under its id and asks for a rest before its new
// start is listed.
#include "standin.h"

namespace {

using namespace standin;

constexpr const char* kConfig =
    R"({"Version":1,"Routes":[{"Name":"read","Host":"h.example","PathPrefix":"/read/","RouteKind":"safe","TimeoutMs":1000,"GoalMs":150,"Priority":2,"Service":"s","Attempts":2}],)"
    R"("Services":[{"Name":"s","HealthPath":"/h","MaxConns":214}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":0,"Burst":0}]})";

constexpr int kEngines = 6;
constexpr int kClients = 12;
constexpr int kRestS = 8;
constexpr int kDownMs = 200;
// From the start of the engine to its first entry in the store; it writes there
// each 1,200 ms (HeartbeatMs).
constexpr int kRegisterMs = 1200;

class Engine {
 public:
  Engine(Store& store, std::string id) : store_(store), id_(std::move(id)) {
    listener_ = Listen(port_);
    std::thread([this] { Accept(); }).detach();
    Register();
  }

  void Register() {
    store_.Put("keyed.servers", id_,
               EngineEntry("s", "127.0.0.1:" + std::to_string(port_), "ready",
                           born_, 1));
  }

  // Ends the process and starts it again, with the same id and address.
  void Restart() {
    RECORD("engine i-0: its process ends");
    {
      const std::lock_guard lock(mutex_);
      up_ = false;
      ::shutdown(listener_, SHUT_RDWR);
      ::close(listener_);
      for (const int fd : open_)
        ::shutdown(fd, SHUT_RDWR);
    }
    Sleep(kDownMs);
    {
      const std::lock_guard lock(mutex_);
      born_ += 60000;
      up_ = true;
      listener_ = Listen(port_);
    }
    std::thread([this] { Accept(); }).detach();
    RECORD("engine i-0: has started again under its id");
  }

  // From now on the first request is turned away for a rest.
  void WantRest() { wants_rest_ = true; }
  bool has_asked() const { return asked_at_ > 0; }
  int in_rest() const { return in_rest_; }

 private:
  void Accept() {
    const int listener = listener_;
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const std::lock_guard lock(mutex_);
      if (!up_) {
        ::close(fd);
        return;
      }
      open_.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::string buf;
    Message request;
    while (ReadHead(fd, buf, request) && ReadBody(fd, buf, request)) {
      if (AnswerQuery(fd, request, id_))
        continue;
      if (!SendAll(fd, Answer(request)))
        break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }

  std::string Answer(const Message& request) {
    const std::string id = request.Field("X-Attempt-Id");
    const double now = Seconds();
    if (wants_rest_.exchange(false)) {
      asked_at_ = now;
      RECORD("engine i-0: answers %s 503, X-Not-Executed, Retry-After: %d",
             id.c_str(), kRestS);
      return EngineAnswer(request, 503, "seal-a", "",
                          "X-Not-Executed: 1\r\nRetry-After: " +
                              std::to_string(kRestS) + "\r\n");
    }
    const double since = now - asked_at_;
    if (asked_at_ > 0 && since > 0.5 && since < kRestS) {
      ++in_rest_;
      RECORD("engine i-0: %s reaches it, %.3f s after it has asked for %d s",
             id.c_str(), since, kRestS);
    }
    return EngineAnswer(request, 200, "seal-a", "answer");
  }

  Store& store_;
  std::string id_;
  std::mutex mutex_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  bool up_ = true;
  std::atomic<long long> born_{1700000000000};
  std::set<int> open_;
  std::atomic<bool> wants_rest_{false};
  std::atomic<double> asked_at_{0};
  std::atomic<int> in_rest_{0};
};

bool Run(const std::string& folder) {
  const bool trouble = TroubleIsOn();
  Store& store = Make<Store>();
  store.Put("keyed.op", "config", kConfig);
  Engine& engine = Make<Engine>(store, "i-0");
  for (int i = 1; i < kEngines; ++i)
    Make<Engine>(store, "i-" + std::to_string(i));
  Edge edge(folder, "edge-1", store.address());
  edge.AwaitReady();
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(n);
        const Reply reply = Ask(
            edge.callers(),
            Request("GET", "/read/x", id, "", "X-Deadline-Ms: 1000\r\n"), 1500);
        served += reply.status == 200 ? 1 : 0;
        Sleep(50);
      }
    });
  Sleep(2500);
  if (served == 0)
    throw std::runtime_error("nothing is served");
  if (trouble)
    engine.Restart();
  engine.WantRest();
  Sleep(kRegisterMs);
  if (trouble) {
    RECORD("engine i-0: registers its new start");
    engine.Register();
  }
  Sleep(kRestS * 1000);
  stop = true;
  for (std::thread& it : clients)
    it.join();
  if (!engine.has_asked())
    throw std::runtime_error("no request came before the rest");
  RECORD(
      "%d requests reached the engine in its rest; more than two break the "
      "rule",
      engine.in_rest());
  return engine.in_rest() <= 2;
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv, Run);
}
