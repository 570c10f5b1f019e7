// A part of a prompt that crashes each server which begins to answer to it.
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kDeadlyPart = "dead";

/// How a server ends while it has a deadly request: the bytes that it writes
/// before, and the time between them and its end.
struct Crash {
  bool head = true;
  int events = 0;
  milliseconds pause{0};
  ScriptedAnswer::End end = ScriptedAnswer::End::kReset;
};

/// A host with servers that close their connection, as a process that ends
/// does, instead of answering to a prompt with the deadly part.
class DeadlyEdge {
 public:
  explicit DeadlyEdge(const Crash& crash = {.head = false}) {
    for (const char* id : {"i-c", "i-d", "i-e", "i-f"}) {
      ScriptedBackend*& self = selves_.emplace_back();
      edge_.List(
          servers_.emplace_back(id,
                                [&self, crash](const SeenRequest& it, int) {
                                  return Answer(crash, *self, it);
                                }),
          "ready");
      self = &servers_.back();
    }
    edge_.Unlist("i-a");
    edge_.Unlist("i-b");
    Require(EdgeFixture::Within(seconds(10), [this] { return OnlyScripted(); }),
            "the fixture's servers are still used");
  }

  /// A request like no other, on the prompt "aaaa", `part` and a part of its
  /// own.
  httplib::Result Ask(const std::string& part,
                      const std::string& route = "/once/") {
    const std::string n = std::to_string(asked_++);
    return edge_.Ask(route + n, {{"X-Prompt-Prefix",
                                  "aaaa:90," + part + ":50,f" + n + ":10"}});
  }

  /// A request on one path, with one body for all.
  httplib::Result AskSamePath(const std::string& part) {
    return edge_.Ask("/read/same",
                     {{"X-Prompt-Prefix", "aaaa:90," + part + ":50,f:10"}});
  }

  void AllowFourAttempts() {
    std::string config = Config(2, R"("k1")");
    const std::string attempts = R"("Attempts":2)";
    for (std::size_t at = config.find(attempts); at != std::string::npos;
         at = config.find(attempts, at))
      config.replace(at, attempts.size(), R"("Attempts":4)");
    edge_.store_.Put("keyed.op", "config", config);
    Require(EdgeFixture::Within(seconds(10),
                                [this] {
                                  Ask("bbbb");
                                  return edge_.Log().find("config_version=2") !=
                                         std::string::npos;
                                }),
            "the new configuration is not in force");
  }

  int DeadlySeen() const {
    int n = 0;
    for (const ScriptedBackend& server : servers_) {
      for (const SeenRequest& it : server.seen())
        n += IsDeadly(it) ? 1 : 0;
    }
    return n;
  }

  EdgeFixture edge_;

 private:
  static bool IsDeadly(const SeenRequest& request) {
    return request.Field("X-Prompt-Prefix").find(kDeadlyPart) !=
           std::string::npos;
  }

  static ScriptedAnswer Answer(const Crash& crash,
                               const ScriptedBackend& server,
                               const SeenRequest& request) {
    if (!IsDeadly(request)) {
      return {.pieces = {server.Head(request, 200, "Content-Length: 2\r\n") +
                         "ok"}};
    }
    ScriptedAnswer out{.pieces = {}, .pause = crash.pause, .end = crash.end};
    if (crash.head)
      out.pieces = {
          server.Head(request, 200, "Content-Type: text/event-stream\r\n")};
    const std::string after = request.Field("Last-Event-Id");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    for (int id = first; id < first + crash.events; ++id)
      out.pieces.push_back(Events(id, id));
    // The last pause lies before the end.
    if (crash.events > 0)
      out.pieces.emplace_back();
    return out;
  }

  bool OnlyScripted() {
    const std::size_t before = edge_.SeenInAll();
    for (int i = 0; i < 8; ++i)
      Ask("bbbb");
    return edge_.SeenInAll() == before;
  }

  int asked_ = 0;
  std::list<ScriptedBackend*> selves_;
  std::list<ScriptedBackend> servers_;
};

/// Streams with the deadly part end servers like `crash` does, until they are
/// kept from the servers, and sound requests are served beside them.
void ExpectHeld(const Crash& crash) {
  DeadlyEdge it(crash);
  for (int i = 0; i < 10; ++i) {
    it.Ask(kDeadlyPart, "/stream/");
    const auto sound = it.Ask("bbbb");
    Require(sound && sound->status == 200, "a sound request is not served");
    std::this_thread::sleep_for(milliseconds(400));
  }
  const int seen = it.DeadlySeen();
  const auto last = it.Ask(kDeadlyPart, "/stream/");
  Require(last && last->status == 503, "the deadly request is not refused");
  Require(last->body.find("quarantined_part") != std::string::npos,
          "it is refused for another reason: " + last->body);
  Require(it.DeadlySeen() == seen, "it has reached a server");
}

// NOLINTBEGIN: Criterion's macros
// Requests with one part crashed server after server, since no two were alike.
Test(deadly_part,
     it_is_kept_from_the_servers_after_a_few_crashes,
     .timeout = 60) {
  DeadlyEdge it;
  int refused = 0;
  for (int i = 0; i < 30; ++i) {
    const auto deadly = it.Ask(kDeadlyPart);
    refused += deadly && deadly->status == 503 ? 1 : 0;
    const auto sound = it.Ask("bbbb");
    cr_assert(sound && sound->status == 200);
    std::this_thread::sleep_for(milliseconds(100));
  }
  cr_assert_geq(refused, 10, "%d of 30 refused", refused);
  const int seen = it.DeadlySeen();
  const auto last = it.Ask(kDeadlyPart);
  cr_assert(last && last->status == 503);
  cr_assert_neq(last->body.find("quarantined_part"), std::string::npos);
  cr_assert_neq(last->body.find("\"not_run\":true"), std::string::npos);
  const double wait = std::stod(last->get_header_value("Retry-After"));
  cr_assert_geq(wait, 50.0, "%f", wait);
  cr_assert_eq(it.DeadlySeen(), seen);
  const std::string log = it.edge_.Log();
  cr_assert_neq(log.find("lost_with_server"), std::string::npos);
  cr_assert_neq(log.find("part_quarantined"), std::string::npos);
}

// A server that ended behind a head without a length left no evidence.
Test(deadly_part, a_crash_behind_an_unframed_head_counts, .timeout = 60) {
  ExpectHeld({.end = ScriptedAnswer::End::kClose});
}

// One event acquitted the part, and the crash right behind it blamed nothing.
Test(deadly_part, a_crash_behind_the_first_event_counts, .timeout = 60) {
  ExpectHeld({.events = 1, .pause = milliseconds(20)});
}

Test(deadly_part, a_crash_behind_five_events_counts, .timeout = 60) {
  ExpectHeld({.events = 5, .pause = milliseconds(20)});
}

Test(deadly_part, a_crash_behind_three_slow_events_counts, .timeout = 60) {
  ExpectHeld({.events = 3, .pause = milliseconds(300)});
}

// A stream that broke off behind its first events crashed one server more.
Test(deadly_part,
     a_stream_that_was_lost_with_two_servers_is_not_resumed_on_a_third,
     .timeout = 60) {
  DeadlyEdge it({.events = 1, .pause = milliseconds(20)});
  it.AllowFourAttempts();
  it.edge_.Ask("/stream/0", {{"X-Prompt-Prefix", "dead:10"}});
  cr_assert_eq(it.DeadlySeen(), 2, "%d servers", it.DeadlySeen());
}

// What is asked may stand in the fields alone. Then all requests of a caller on
// a path counted as one, and the sound ones were refused along with a deadly
// one.
Test(deadly_part,
     sound_requests_on_the_path_of_a_deadly_one_are_served,
     .timeout = 60) {
  DeadlyEdge it;
  for (int i = 0; i < 4; ++i)
    it.AskSamePath(kDeadlyPart);
  const auto deadly = it.AskSamePath(kDeadlyPart);
  cr_assert(deadly);
  cr_assert_neq(deadly->body.find("quarantined"), std::string::npos, "%s",
                deadly->body.c_str());
  const auto sound = it.AskSamePath("bbbb");
  cr_assert(sound);
  cr_assert_eq(sound->status, 200, "%s", sound->body.c_str());
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
