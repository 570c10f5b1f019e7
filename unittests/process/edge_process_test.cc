// The entry host of the users' platform as a process, between callers of this
// test and stand-ins of the store and of backend servers.
#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/platform_standin.h"
#include "unittests/support/process.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint16_t FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert_eq(
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  socklen_t length = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  ::close(fd);
  return ntohs(address.sin_port);
}

/// One account "t1" with the given keys; a resumable stream, a route that runs
/// once and an idempotent one, all on service "s".
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

/// The same with a model that no server holds, and callers of the stream who
/// wait for it.
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

/// A host with a store and two backend servers.
class EdgeFixture {
 public:
  /// `bounds` are lines for the settings' table of that name.
  explicit EdgeFixture(const std::string& bounds = "") : a_("i-a"), b_("i-b") {
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
        std::vector<std::string>{MANGOPORT_EDGE_BINARY, "--settings",
                                 settings_},
        settings_ + ".log");
    cr_assert(Within(seconds(10), [this] { return Ready(); }),
              "the host is not ready");
  }

  ~EdgeFixture() {
    process_.reset();
    ::unlink(settings_.c_str());
    ::unlink((settings_ + ".log").c_str());
  }

  static bool Within(Duration limit, const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
      if (holds())
        return true;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  bool Ready() const {
    httplib::Client client("127.0.0.1", readiness_);
    const auto reply = client.Get("/mangoport/readyz");
    return reply && reply->status == 200;
  }

  void List(const BackendStandin& server, const std::string& state) {
    store_.Put("keyed.servers", server.id(), server.Entry("s", state));
  }

  httplib::Result Ask(const std::string& path,
                      const httplib::Headers& more = {},
                      const std::string& key = "k1") const {
    httplib::Client client("127.0.0.1", callers_);
    client.set_read_timeout(8);
    httplib::Headers headers = {{"Host", "h"},
                                {"X-Attempt-Id", "id1"},
                                {"X-Deadline-Ms", "4900"},
                                {"Authorization", "Bearer " + key}};
    headers.insert(more.begin(), more.end());
    return client.Post(path, headers, "body", "text/plain");
  }

  /// Sends raw bytes and returns what comes back until the host closes.
  std::string Raw(const std::string& bytes) const {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(callers_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(
        ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    ::send(fd, bytes.data(), bytes.size(), 0);
    std::string out;
    char buf[4096];
    for (ssize_t n = 0; (n = ::recv(fd, buf, sizeof(buf), 0)) > 0;)
      out.append(buf, static_cast<std::size_t>(n));
    ::close(fd);
    return out;
  }

  std::size_t SeenInAll() const { return a_.seen().size() + b_.seen().size(); }

  StoreStandin store_;
  BackendStandin a_;
  BackendStandin b_;
  std::uint16_t callers_ = 0;
  std::uint16_t readiness_ = 0;
  std::string settings_;
  std::unique_ptr<Process> process_;
};

std::string Events(int first, int last) {
  std::string out;
  for (int id = first; id <= last; ++id)
    out += "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) +
           "\n\n";
  return out;
}

// NOLINTBEGIN: Criterion's macros
Test(edge, passes_a_stream_on_and_no_key, .timeout = 60) {
  EdgeFixture it;
  const auto reply = it.Ask("/stream/x?q=1", {{"X-Tenant", "other"},
                                              {"X-Hold", "h"},
                                              {"X-Own", "kept"},
                                              {"Connection", "close, x-hop"},
                                              {"x-hop", "dropped"}});
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6));
  cr_assert_eq(it.SeenInAll(), 1);
  const SeenRequest seen =
      it.a_.seen().empty() ? it.b_.seen()[0] : it.a_.seen()[0];
  cr_assert_eq(seen.target, "/stream/x?q=1");
  cr_assert_eq(seen.body, "body");
  cr_assert_eq(seen.Field("X-Tenant"), "t1");
  cr_assert_eq(seen.Field("X-Own"), "kept");
  cr_assert_eq(seen.Field("Authorization"), "");
  cr_assert_eq(seen.Field("X-Hold"), "");
  cr_assert_eq(seen.Field("x-hop"), "");
  cr_assert_eq(seen.Field("X-Attempt-Id"), "id1");
}

Test(edge, a_stream_that_breaks_goes_on_elsewhere, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.break_after = 3, .event_interval_ms = 80});
  it.b_.set_plan({.break_after = 3, .event_interval_ms = 80});
  // Whichever is asked first breaks; both go on from where it broke.
  std::thread mend([&it] {
    EdgeFixture::Within(seconds(5), [&it] { return it.SeenInAll() >= 1; });
    BackendStandin& other = it.a_.seen().empty() ? it.a_ : it.b_;
    other.set_plan({});
  });
  const auto reply = it.Ask("/stream/x");
  mend.join();
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6));
  cr_assert_eq(it.SeenInAll(), 2);
}

// Streams whose server was slow were broken off although the retry budget was
// spent, so that nothing took their place.
Test(edge, without_budget_a_silent_server_is_waited_for, .timeout = 60) {
  EdgeFixture it("repeat_ratio = 0\nrepeat_extra = 0\n");
  it.a_.set_plan({.events = 2, .event_interval_ms = 1900});
  it.b_.set_plan({.events = 2, .event_interval_ms = 1900});
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&it, &whole] {
      const auto reply = it.Ask("/stream/x");
      whole += reply && reply->body == Events(1, 2) ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  // One repeat is always saved up; it may take its request past its deadline.
  cr_assert_geq(whole.load(), 3, "%d of 4", whole.load());
}

Test(edge, what_runs_once_is_not_sent_again, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.status = 500});
  it.b_.set_plan({.status = 500});
  const auto once = it.Ask("/once/x");
  cr_assert(once && once->status == 500);
  cr_assert_eq(it.SeenInAll(), 1);
  const auto read = it.Ask("/read/x");
  cr_assert(read && read->status == 500);
  cr_assert_eq(it.SeenInAll(), 3);
}

Test(edge, a_server_that_did_not_run_it_leaves_it_to_another, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.not_run = true});
  for (int i = 0; i < 6; ++i) {
    const auto reply = it.Ask("/once/x");
    cr_assert(reply && reply->status == 200);
    cr_assert_eq(reply->body, "from i-b");
  }
  it.b_.set_plan({.not_run = true});
  const auto refused = it.Ask("/once/x");
  cr_assert(refused && refused->status == 503);
  cr_assert(refused->has_header("Retry-After"));
}

Test(edge, keys_and_routes_follow_the_configuration, .timeout = 60) {
  EdgeFixture it;
  cr_assert_eq(it.Ask("/read/x", {}, "k2")->status, 401);
  cr_assert_eq(it.Ask("/none/x")->status, 404);
  it.store_.Put("keyed.op", "config", Config(5, R"("k2")"));
  cr_assert(EdgeFixture::Within(seconds(2), [&it] {
    return it.Ask("/read/x", {}, "k1")->status == 401;
  }));
  cr_assert_eq(it.Ask("/read/x", {}, "k2")->status, 200);
  // An older version never comes back.
  it.store_.Put("keyed.op", "config", Config(4, R"("k1")"));
  std::this_thread::sleep_for(milliseconds(300));
  cr_assert_eq(it.Ask("/read/x", {}, "k1")->status, 401);
  // Nor does a history that the store has forgotten stop the news.
  it.store_.Compact();
  it.store_.Put("keyed.op", "config", Config(6, R"("k1")"));
  cr_assert(EdgeFixture::Within(seconds(4), [&it] {
    return it.Ask("/read/x", {}, "k1")->status == 200;
  }));
}

Test(edge, without_the_store_keys_are_refused_in_time, .timeout = 60) {
  EdgeFixture it;
  it.store_.set_down(true);
  cr_assert(EdgeFixture::Within(
      seconds(5), [&it] { return it.Ask("/read/x")->status == 503; }));
  const std::size_t seen = it.SeenInAll();
  cr_assert_eq(it.Ask("/read/x")->status, 503);
  cr_assert_eq(it.SeenInAll(), seen);
  it.store_.set_down(false);
  cr_assert(EdgeFixture::Within(
      seconds(5), [&it] { return it.Ask("/read/x")->status == 200; }));
}

Test(edge, smuggled_requests_reach_no_server, .timeout = 60) {
  EdgeFixture it;
  const std::string inner = "GET /read/y HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::string& framing :
       {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 0\r\nContent-Length: 40\r\n"),
        std::string("Transfer-Encoding : chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: identity\r\n")}) {
    const std::string answer = it.Raw(
        "POST /read/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
        "k1\r\n" +
        framing + "\r\n" + inner);
    cr_assert(answer.starts_with("HTTP/1.1 400"), "%s", answer.c_str());
  }
  cr_assert_eq(it.SeenInAll(), 0);
}

Test(edge, a_stop_cuts_no_stream, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.events = 20, .event_interval_ms = 60});
  it.b_.set_plan({.events = 20, .event_interval_ms = 60});
  std::thread stop([&it] {
    EdgeFixture::Within(seconds(5), [&it] { return it.SeenInAll() >= 1; });
    it.process_->Signal(SIGTERM);
    EdgeFixture::Within(seconds(1), [&it] { return !it.Ready(); });
    cr_assert_not(it.Ready());
  });
  const auto reply = it.Ask("/stream/x");
  stop.join();
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 20));
  cr_assert_eq(it.process_->Wait(seconds(6)), 0);
}

// Callers state how long their prompts are. A host that takes any number for
// work would count without end.
Test(edge, absurd_prompt_sizes_are_served_like_others, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.events = 2});
  it.b_.set_plan({.events = 2});
  for (const char* usage :
       {"9223372036854775807,1", "-9223372036854775807,1", "1,2", "x,y"}) {
    const auto reply = it.Ask("/stream/x", {{"X-Token-Usage", usage}});
    cr_assert(reply && reply->status == 200, "%s", usage);
  }
}

// A copy that loads longer than the host may still run: the request is refused
// as not run before the host ends, and not dropped.
Test(edge, a_stop_answers_what_waits_for_a_copy, .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithModel(2, /*load_s=*/4));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    const auto reply = it.Ask("/stream/x", {{"X-Model", "unknown"}});
    return reply && reply->body.find("unknown_model") != std::string::npos;
  }));
  std::thread stop([&it] {
    std::this_thread::sleep_for(milliseconds(500));
    it.process_->Signal(SIGTERM);
  });
  const auto reply = it.Ask("/stream/x", {{"X-Model", "m1"}});
  stop.join();
  cr_assert(reply, "the request was dropped");
  cr_assert_eq(reply->status, 503);
  cr_assert_neq(reply->body.find("\"stopping\""), std::string::npos, "%s",
                reply->body.c_str());
  cr_assert(reply->has_header("Retry-After"));
  cr_assert_eq(it.process_->Wait(seconds(6)), 0);
}

Test(edge, a_server_that_leaves_gets_no_more, .timeout = 60) {
  EdgeFixture it;
  it.List(it.a_, "draining");
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t before = it.a_.seen().size();
  for (int i = 0; i < 8; ++i)
    cr_assert_eq(it.Ask("/read/x")->status, 200);
  cr_assert_eq(it.a_.seen().size(), before);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
