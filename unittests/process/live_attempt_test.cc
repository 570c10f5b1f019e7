// Backend servers that fall silent and then go on, beside others that don't
// take the request over.
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than any server may be silent before another one is tried.
constexpr milliseconds kLongPause{2300};

constexpr char kStreamHead[] =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
constexpr char kNotRunHead[] = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";

std::string Chunk(const std::string& text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + text + "\r\n";
}

std::string LastChunk() {
  return "0\r\n\r\n";
}

/// How many requests for `target` a server has had.
std::ptrdiff_t Count(const ScriptedBackend& server, const std::string& target) {
  const std::vector<SeenRequest> seen = server.seen();
  return std::count_if(
      seen.begin(), seen.end(),
      [&target](const SeenRequest& it) { return it.target == target; });
}

/// What a server has been sent, for messages.
std::string Targets(const BackendStandin& server) {
  std::string out;
  for (const SeenRequest& it : server.seen())
    out += " " + it.method + " " + it.target;
  return out;
}

/// A host whose servers are the scripted ones that are listed later.
class Host {
 public:
  Host() {
    it_.Unlist(it_.a_.id());
    it_.Unlist(it_.b_.id());
    Require(EdgeFixture::Within(seconds(5),
                                [this] {
                                  const auto reply = it_.Ask("/read/x");
                                  return reply && reply->status == 503;
                                }),
            "the stand-ins are still listed");
  }

  /// Sends a request when `first` is the only server, and lists another with
  /// `list_other` once it is there.
  httplib::Result AskBeside(const ScriptedBackend& first,
                            const std::string& path,
                            const std::function<void()>& list_other) {
    it_.List(first, "ready");
    std::thread later([&] {
      EdgeFixture::Within(seconds(5), [&] { return !first.seen().empty(); });
      list_other();
    });
    httplib::Result reply(nullptr, httplib::Error::Unknown);
    // Refused until the host knows the server.
    EdgeFixture::Within(seconds(5), [&] {
      reply = it_.Ask(path);
      return !first.seen().empty();
    });
    later.join();
    return reply;
  }

  /// Callers of streams wait for 8 s for an event from now on.
  void LetCallersWaitLonger() {
    std::string config = Config(2, R"("k1")");
    const std::string gap = R"("GapGoalMs":250)";
    config.replace(config.find(gap), gap.size(), R"("GapGoalMs":1000)");
    it_.store_.Put("keyed.op", "config", config);
    Require(EdgeFixture::Within(seconds(5),
                                [this] {
                                  return it_.Log().find(
                                             "config_applied version=2") !=
                                         std::string::npos;
                                }),
            "the host has the old configuration");
  }

  EdgeFixture it_;
};

/// Sends one event, falls silent and ends its stream; takes no second request.
ScriptedAnswer PauseInStream(const ScriptedBackend& self,
                             const SeenRequest& request,
                             int number) {
  if (number > 0)
    return {.pieces = {self.Head(request, 503, kNotRunHead)}};
  return {.pieces = {self.Head(request, 200, kStreamHead) + Chunk(Events(1, 1)),
                     Chunk(Events(2, 2)) + LastChunk()},
          .pause = kLongPause};
}

// NOLINTBEGIN: Criterion's macros
Test(live_attempt, a_silent_stream_alone_is_not_cut, .timeout = 60) {
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend quiet("i-q", [&self](const SeenRequest& request, int number) {
    return PauseInStream(*self, request, number);
  });
  self = &quiet;
  const auto reply = host.AskBeside(quiet, "/stream/x", [] {});
  cr_assert(reply, "the stream was cut");
  cr_assert_eq(reply->status, 200);
  cr_assert_eq(reply->body, Events(1, 2));
}

Test(live_attempt,
     a_silent_stream_is_not_cut_beside_a_full_server,
     .timeout = 60) {
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend* other = nullptr;
  ScriptedBackend quiet("i-q", [&self](const SeenRequest& request, int number) {
    return PauseInStream(*self, request, number);
  });
  ScriptedBackend full("i-f", [&other](const SeenRequest& request, int) {
    return ScriptedAnswer{.pieces = {other->Head(request, 503, kNotRunHead)}};
  });
  self = &quiet;
  other = &full;
  const auto reply =
      host.AskBeside(quiet, "/stream/x", [&] { host.it_.List(full, "ready"); });
  cr_assert(reply, "the stream was cut");
  cr_assert_eq(reply->status, 200);
  cr_assert_eq(reply->body, Events(1, 2));
  cr_assert_geq(Count(full, "/stream/x"), 1);
}

Test(live_attempt,
     a_silent_stream_is_not_cut_beside_a_server_that_is_gone,
     .timeout = 60) {
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend quiet("i-q", [&self](const SeenRequest& request, int number) {
    return PauseInStream(*self, request, number);
  });
  self = &quiet;
  const auto reply = host.AskBeside(quiet, "/stream/x", [&] {
    host.it_.store_.Put("keyed.servers", "i-gone",
                        BackendEntry("s", "127.0.0.1:1", "ready"));
  });
  cr_assert(reply, "the stream was cut");
  cr_assert_eq(reply->status, 200);
  cr_assert_eq(reply->body, Events(1, 2));
}

Test(live_attempt,
     a_slow_answer_is_waited_for_beside_a_full_server,
     .timeout = 60) {
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend* other = nullptr;
  ScriptedBackend slow("i-q", [&self](const SeenRequest& request, int number) {
    if (number > 0)
      return ScriptedAnswer{.pieces = {self->Head(request, 503, kNotRunHead)}};
    return ScriptedAnswer{
        .pieces = {"",
                   self->Head(request, 200, "Content-Length: 4\r\n") + "late"},
        .pause = kLongPause};
  });
  ScriptedBackend full("i-f", [&other](const SeenRequest& request, int) {
    return ScriptedAnswer{.pieces = {other->Head(request, 503, kNotRunHead)}};
  });
  self = &slow;
  other = &full;
  const auto reply =
      host.AskBeside(slow, "/read/x", [&] { host.it_.List(full, "ready"); });
  cr_assert(reply);
  cr_assert_eq(reply->status, 200, "%d %s", reply->status, reply->body.c_str());
  cr_assert_eq(reply->body, "late");
}

Test(live_attempt, a_stream_of_a_dead_server_goes_on_elsewhere, .timeout = 60) {
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend dead("i-q", [&self](const SeenRequest& request, int) {
    return ScriptedAnswer{
        .pieces = {self->Head(request, 200, kStreamHead) + Chunk(Events(1, 1)),
                   LastChunk()},
        .pause = seconds(7)};
  });
  self = &dead;
  const std::size_t before = host.it_.b_.seen().size();
  const auto reply = host.AskBeside(
      dead, "/stream/x", [&] { host.it_.List(host.it_.b_, "ready"); });
  cr_assert(reply);
  cr_assert_eq(reply->body, Events(1, 6));
  cr_assert_eq(host.it_.b_.seen().size(), before + 1, "%zu before:%s", before,
               Targets(host.it_.b_).c_str());
}

// Both servers may speak at the same time; the caller gets one run's events.
Test(live_attempt,
     a_server_that_speaks_again_beside_its_successor,
     .timeout = 60) {
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend* other = nullptr;
  ScriptedBackend quiet("i-q", [&self](const SeenRequest& request, int) {
    return ScriptedAnswer{
        .pieces = {self->Head(request, 200, kStreamHead) + Chunk(Events(1, 1)),
                   Chunk(Events(2, 3)) + LastChunk()},
        .pause = milliseconds(1650)};
  });
  ScriptedBackend slow("i-f", [&other](const SeenRequest& request, int) {
    return ScriptedAnswer{
        .pieces = {"", other->Head(request, 200, kStreamHead) +
                           Chunk(Events(2, 3)) + LastChunk()},
        .pause = milliseconds(250)};
  });
  self = &quiet;
  other = &slow;
  const auto reply =
      host.AskBeside(quiet, "/stream/x", [&] { host.it_.List(slow, "ready"); });
  cr_assert(reply);
  cr_assert_eq(reply->body, Events(1, 3));
}
// The server is not silent: this host has stopped reading, since the caller
// takes its events slowly.
Test(live_attempt,
     a_stream_that_its_caller_takes_slowly_stays_at_its_server,
     .timeout = 60) {
  constexpr int kEvents = 600;
  constexpr std::size_t kEventBytes = 40000;
  Host host;
  ScriptedBackend* self = nullptr;
  ScriptedBackend* other = nullptr;
  ScriptedBackend fast("i-q", [&self](const SeenRequest& request, int) {
    std::string events;
    for (int id = 1; id <= kEvents; ++id)
      events += Chunk("id: " + std::to_string(id) +
                      "\ndata: " + std::string(kEventBytes, 'x') + "\n\n");
    return ScriptedAnswer{
        .pieces = {self->Head(request, 200, kStreamHead), events, LastChunk()}};
  });
  ScriptedBackend idle("i-f", [&other](const SeenRequest& request, int) {
    return ScriptedAnswer{.pieces = {other->Head(request, 503, kNotRunHead)}};
  });
  self = &fast;
  other = &idle;
  host.it_.List(fast, "ready");
  std::string text;
  EdgeFixture::Within(seconds(5), [&] {
    text = host.it_.RawSlowly(
        "GET /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
        "Authorization: Bearer k1\r\nConnection: close\r\n\r\n",
        [&] { return !fast.seen().empty(); },
        [&] {
          host.it_.List(idle, "ready");
          std::this_thread::sleep_for(milliseconds(2600));
        });
    return !fast.seen().empty();
  });
  cr_assert_eq(Count(idle, "/stream/x"), 0);
  cr_assert_eq(Count(fast, "/stream/x"), 1);
  cr_assert(text.ends_with("0\r\n\r\n"), "%zu bytes", text.size());
}

// The server is frozen: its kernel takes connections and nobody answers there.
Test(live_attempt,
     a_frozen_servers_request_goes_to_a_server_that_is_free_later,
     .timeout = 60) {
  Host host;
  const ScriptedBackend frozen(
      "i-q", [](const SeenRequest&, int) { return ScriptedAnswer{}; });
  const auto reply = host.AskBeside(frozen, "/read/x", [&] {
    std::this_thread::sleep_for(seconds(1));
    host.it_.List(host.it_.b_, "ready");
  });
  cr_assert(reply);
  cr_assert_eq(reply->status, 200, "%d %s", reply->status, reply->body.c_str());
  cr_assert_eq(Count(frozen, "/read/x"), 1);
}

// Offers that were refused leave a send for when the live attempt ends.
Test(live_attempt,
     a_stream_cut_after_refused_offers_goes_on_elsewhere,
     .timeout = 60) {
  Host host;
  host.LetCallersWaitLonger();
  ScriptedBackend* self = nullptr;
  ScriptedBackend* other = nullptr;
  ScriptedBackend quiet("i-q", [&self](const SeenRequest& request, int) {
    return ScriptedAnswer{
        .pieces = {self->Head(request, 200, kStreamHead) + Chunk(Events(1, 1)),
                   ""},
        .pause = milliseconds(3500),
        .end = ScriptedAnswer::End::kReset};
  });
  ScriptedBackend full("i-f", [&other](const SeenRequest& request, int) {
    return ScriptedAnswer{.pieces = {other->Head(request, 503, kNotRunHead)}};
  });
  self = &quiet;
  other = &full;
  const auto reply = host.AskBeside(quiet, "/stream/x", [&] {
    host.it_.List(full, "ready");
    std::this_thread::sleep_for(seconds(2));
    host.it_.List(host.it_.b_, "ready");
  });
  cr_assert(reply, "the stream was cut");
  cr_assert_eq(reply->body, Events(1, 6), "%s", reply->body.c_str());
  cr_assert_geq(Count(full, "/stream/x"), 1);
  cr_assert_leq(Count(full, "/stream/x"), 2);
}

// A server that refuses offers at once is heard, whatever its other requests.
Test(live_attempt, a_server_that_refuses_offers_is_not_silent, .timeout = 90) {
  Host host;
  // The first to get /read/frozen never answers it, the other refuses it.
  std::atomic<int> frozen = 0;
  std::atomic<int> first_slow = 0;
  const auto answer = [&](const ScriptedBackend& self, int number,
                          const SeenRequest& request) {
    int none = 0;
    if (request.target.starts_with("/read/frozen"))
      return frozen.compare_exchange_strong(none, number) || none == number
                 ? ScriptedAnswer{}
                 : ScriptedAnswer{
                       .pieces = {self.Head(request, 503, kNotRunHead)}};
    const bool slow = request.target.starts_with("/read/slow");
    if (slow)
      first_slow.compare_exchange_strong(none, number);
    return ScriptedAnswer{
        .pieces = {"",
                   self.Head(request, 200, "Content-Length: 4\r\n") + "late"},
        .pause = milliseconds(slow ? 1100 : 0)};
  };
  ScriptedBackend* first = nullptr;
  ScriptedBackend* second = nullptr;
  ScriptedBackend one("i-q", [&](const SeenRequest& request, int) {
    return answer(*first, 1, request);
  });
  ScriptedBackend two("i-f", [&](const SeenRequest& request, int) {
    return answer(*second, 2, request);
  });
  first = &one;
  second = &two;
  host.it_.List(one, "ready");
  host.it_.List(two, "ready");
  cr_assert(EdgeFixture::Within(seconds(5), [&] {
    host.it_.Ask("/read/known");
    return !one.seen().empty() && !two.seen().empty();
  }));
  // Either server may be the first choice for /read/slow, one time in four the
  // frozen one, which is silent to it; then the next round is to show it.
  constexpr int kRounds = 8;
  for (int round = 0; round < kRounds; ++round) {
    const std::string frozen_target = "/read/frozen" + std::to_string(round);
    const std::string slow_target = "/read/slow" + std::to_string(round);
    frozen = 0;
    first_slow = 0;
    std::thread silent([&] { host.it_.Ask(frozen_target); });
    std::this_thread::sleep_for(milliseconds(350));
    const auto reply = host.it_.Ask(slow_target);
    silent.join();
    const ScriptedBackend& dead = frozen == 1 ? one : two;
    const ScriptedBackend& slow = frozen == 1 ? two : one;
    cr_assert(reply);
    cr_assert_eq(reply->body, "late", "%d", reply->status);
    if (first_slow == frozen)
      continue;
    cr_assert_eq(Count(slow, slow_target), 1);
    cr_assert_geq(Count(slow, frozen_target), 1);
    cr_assert_eq(Count(dead, slow_target), 0, "offered to another server");
    return;
  }
  cr_assert(false, "the frozen server was the first choice in each round");
}

// Its accept queue is full: connections to it are neither made nor refused.
Test(live_attempt,
     a_request_given_up_while_it_connects_has_not_run,
     .timeout = 60) {
  Host host;
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  cr_assert_eq(::bind(listener, raw, length), 0);
  cr_assert_eq(::listen(listener, 0), 0);
  ::getsockname(listener, raw, &length);
  for (int i = 0; i < 4; ++i)
    ::connect(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), raw, length);
  host.it_.store_.Put(
      "keyed.servers", "i-full",
      BackendEntry("s", "127.0.0.1:" + std::to_string(ntohs(address.sin_port)),
                   "ready"));
  cr_assert(EdgeFixture::Within(seconds(5), [&host] {
    return host.it_.Log().find("server=i-full") != std::string::npos;
  }));
  // Shorter than the time that a connection may take.
  httplib::Client client("127.0.0.1", host.it_.callers_);
  const auto reply = client.Post("/once/x",
                                 {{"Host", "h"},
                                  {"X-Attempt-Id", "id1"},
                                  {"X-Deadline-Ms", "200"},
                                  {"Authorization", "Bearer k1"}},
                                 "body", "text/plain");
  cr_assert(reply);
  cr_assert_eq(reply->status, 503, "%d %s", reply->status, reply->body.c_str());
  cr_assert_neq(reply->body.find("\"code\":\"deadline\""), std::string::npos,
                "%s", reply->body.c_str());
  cr_assert_neq(reply->body.find("\"not_run\":true"), std::string::npos);
  cr_assert_neq(host.it_.Log().find("sends=1 runs=0 events=0"),
                std::string::npos);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
