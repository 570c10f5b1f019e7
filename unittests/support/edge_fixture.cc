#include "unittests/support/edge_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>
#include <vector>

namespace mangoport {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// True if a socket of `type` can be bound to `port` of loopback now.
bool IsFree(int type, std::uint16_t port) {
  const int fd = ::socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return bound;
}

}  // namespace

void Require(bool holds, const std::string& what) {
  if (!holds)
    throw std::runtime_error(what);
}

std::uint16_t FreePort() {
  // Below the range from which the system takes ports for outgoing connections.
  constexpr std::uint16_t kFirst = 12000;
  constexpr std::uint16_t kLast = 31999;
  constexpr int kAttempts = 100;
  std::random_device random;
  std::uniform_int_distribution<std::uint16_t> any(kFirst, kLast);
  for (int i = 0; i < kAttempts; ++i) {
    const std::uint16_t port = any(random);
    // Peers are heard on a datagram socket.
    if (IsFree(SOCK_STREAM, port) && IsFree(SOCK_DGRAM, port))
      return port;
  }
  throw std::runtime_error("no free port");
}

std::string Config(int version, const std::string& keys) {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& more) {
    return R"({"Name":")" + name + R"(","Host":"h","PathPrefix":"/)" + name +
           R"(/","RouteKind":")" + kind +
           R"(","TimeoutMs":5000,"GoalMs":250,"Priority":0,"Service":"s",)" +
           R"("Attempts":2,"Public":false,"Sticky":false,"GapGoalMs":250)" +
           more + "}";
  };
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         route("stream", "stream", R"(,"Resumable":true)") + "," +
         route("once", "unsafe", "") + "," + route("read", "safe", "") +
         R"(],"Services":[{"Name":"s","HealthPath":"/h","MaxConns":100}],)" +
         R"("Tenants":[{"Name":"t1","ApiKeys":[)" + keys +
         R"(],"Unit":"requests","RatePerS":0,"Burst":0}]})";
}

std::string ConfigWithModel(int version, int load_s) {
  std::string out = Config(version, R"("k1")");
  const std::string service = R"("MaxConns":100)";
  out.replace(out.find(service), service.size(),
              service +
                  R"(,"Engine":{"WeightsMb":100,"Models":[{"Name":"m1",)"
                  R"("WeightsMb":50,"LoadS":)" +
                  std::to_string(load_s) + "}]}");
  const std::string gap = R"("GapGoalMs":250)";
  out.replace(out.find(gap), gap.size(), R"("GapGoalMs":1000)");
  return out;
}

std::string Events(int first, int last) {
  std::string out;
  for (int id = first; id <= last; ++id)
    out += "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) +
           "\n\n";
  return out;
}

EdgeFixture::EdgeFixture(const std::string& bounds, int max_descriptors)
    : a_("i-a"), b_("i-b") {
  store_.Put("keyed.op", "config", Config(1, R"("k1")"));
  List(a_, "ready");
  List(b_, "ready");
  callers_ = FreePort();
  readiness_ = FreePort();
  char path[] = "/tmp/mangoport-edge-XXXXXX";
  ::close(::mkstemp(path));
  settings_ = path;
  std::ofstream out(settings_);
  out << "host = \"edge-1\"\navailability_zone = \"z1\"\n[listen]\n"
      << "callers = \"127.0.0.1:" << callers_ << "\"\n"
      << "readiness = \"127.0.0.1:" << readiness_ << "\"\n"
      << "peers = \"127.0.0.1:" << FreePort() << "\"\n[platform]\n"
      << "store = \"" << store_.address() << "\"\n[bounds]\n"
      << "key_withdrawal_ms = 3000\nstop_grace_s = 4\n"
      << bounds;
  out.close();
  process_ = std::make_unique<Process>(
      std::vector<std::string>{MANGOPORT_EDGE_BINARY, "--settings", settings_},
      settings_ + ".log", max_descriptors);
  Require(Within(seconds(10), [this] { return Ready(); }),
          "the host is not ready");
}

EdgeFixture::~EdgeFixture() {
  process_.reset();
  ::unlink(settings_.c_str());
  ::unlink((settings_ + ".log").c_str());
}

bool EdgeFixture::Within(Duration limit, const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < until) {
    if (holds())
      return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

bool EdgeFixture::Ready() const {
  httplib::Client client("127.0.0.1", readiness_);
  const auto reply = client.Get("/mangoport/readyz");
  return reply && reply->status == 200;
}

void EdgeFixture::List(const BackendStandin& server, const std::string& state) {
  store_.Put("keyed.servers", server.id(), server.Entry("s", state));
}

void EdgeFixture::List(const ScriptedBackend& server,
                       const std::string& state) {
  store_.Put("keyed.servers", server.id(), server.Entry("s", state));
}

void EdgeFixture::Unlist(const std::string& id) {
  store_.Put("keyed.servers", id, "");
}

httplib::Result EdgeFixture::Ask(const std::string& path,
                                 const httplib::Headers& more,
                                 const std::string& key) const {
  httplib::Client client("127.0.0.1", callers_);
  client.set_read_timeout(8);
  httplib::Headers headers = {{"Host", "h"},
                              {"X-Attempt-Id", "id1"},
                              {"X-Deadline-Ms", "4900"},
                              {"Authorization", "Bearer " + key}};
  headers.insert(more.begin(), more.end());
  return client.Post(path, headers, "body", "text/plain");
}

std::string EdgeFixture::Raw(const std::string& bytes) const {
  return RawSlowly(
      bytes, [] { return true; }, [] {});
}

std::string EdgeFixture::RawSlowly(const std::string& bytes,
                                   const std::function<bool()>& begun,
                                   const std::function<void()>& pause) const {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(callers_);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Require(::connect(fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0,
          "the host takes no connection");
  ::send(fd, bytes.data(), bytes.size(), 0);
  if (Within(milliseconds(100), begun))
    pause();
  std::string out;
  char buf[4096];
  for (ssize_t n = 0; (n = ::recv(fd, buf, sizeof(buf), 0)) > 0;)
    out.append(buf, static_cast<std::size_t>(n));
  ::close(fd);
  return out;
}

std::string EdgeFixture::Log() const {
  return FileText(settings_ + ".log");
}

}  // namespace mangoport
