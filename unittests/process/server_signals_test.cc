// What backend servers say of themselves in their answers, and where the entry
// host sends requests from then on.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAsks = 20;
constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
constexpr char kNotRun[] = "X-Not-Executed: 1\r\n";

/// An answer with a short body and `more` lines in its head.
std::string Whole(const ScriptedBackend& server,
                  const SeenRequest& request,
                  int status,
                  const std::string& more) {
  return server.Head(request, status, more + "Content-Length: 2\r\n") + "ok";
}

/// Answers callers' requests by `script`, numbered from 0, and the requests for
/// reports, which a host may send before, with nothing.
ScriptedBackend::Script ForCallers(ScriptedBackend::Script script) {
  auto callers = std::make_shared<std::atomic<int>>(0);
  return
      [callers, script = std::move(script)](const SeenRequest& request, int) {
        if (request.Field("X-Attempt-Id").empty())
          return ScriptedAnswer{
              .pieces = {"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n"}};
        return script(request, (*callers)++);
      };
}

/// The callers' requests that have reached `server`.
std::size_t Arrivals(const ScriptedBackend& server) {
  std::size_t n = 0;
  for (const SeenRequest& it : server.seen())
    n += it.Field("X-Attempt-Id").empty() ? 0 : 1;
  return n;
}

/// Lists `server` in place of one of the fixture's and asks until it has been
/// sent a request.
void AskUntilSeen(EdgeFixture& it,
                  const ScriptedBackend& server,
                  const std::string& path) {
  it.List(server, "ready");
  it.Unlist("i-a");
  Require(EdgeFixture::Within(seconds(5),
                              [&] {
                                it.Ask(path);
                                return Arrivals(server) > 0;
                              }),
          "the server is sent nothing");
}

/// Asks often, and requires that others serve all of it.
void RequireSparedOf(EdgeFixture& it,
                     const ScriptedBackend& server,
                     const std::string& path) {
  const std::size_t before = Arrivals(server);
  int served = 0;
  for (int i = 0; i < kAsks; ++i) {
    const auto reply = it.Ask(path);
    served += reply && reply->status == 200 ? 1 : 0;
  }
  cr_assert_eq(Arrivals(server), before, "%zu more requests",
               Arrivals(server) - before);
  cr_assert_eq(served, kAsks);
}

/// The entry of `server` with `from` replaced.
std::string EntryWith(const ScriptedBackend& server,
                      const std::string& from,
                      const std::string& to) {
  std::string out = server.Entry("s", "ready");
  out.replace(out.find(from), from.size(), to);
  return out;
}

/// A refusal that asks for `seconds` of rest.
std::string Refusal(const ScriptedBackend& server,
                    const SeenRequest& request,
                    const std::string& seconds) {
  return Whole(server, request, 503,
               std::string(kNotRun) + "Retry-After: " + seconds + "\r\n");
}

// NOLINTBEGIN: Criterion's macros
// A server's own word that it leaves went unheard while the list said "ready".
Test(server_signals,
     a_server_that_says_it_leaves_gets_no_more_requests,
     .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int) {
        return ScriptedAnswer{.pieces = {Whole(c, request, 200, kLeaving)}};
      }));
  AskUntilSeen(it, c, "/read/x");
  RequireSparedOf(it, c, "/read/x");
}

// It counts in a failure too.
Test(server_signals, a_failure_tells_that_a_server_leaves, .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int) {
        return ScriptedAnswer{.pieces = {Whole(c, request, 404, kLeaving)}};
      }));
  AskUntilSeen(it, c, "/once/x");
  RequireSparedOf(it, c, "/once/x");
}

// And in the head of a stream that still runs.
Test(server_signals,
     a_stream_under_way_tells_that_a_server_leaves,
     .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend d("i-d", ForCallers([&d](const SeenRequest& request, int) {
                      return ScriptedAnswer{
                          .pieces = {d.Head(request, 200,
                                            std::string(kLeaving) +
                                                "Content-Length: 40\r\n") +
                                         Events(1, 1),
                                     Events(2, 2)},
                          .pause = seconds(2)};
                    }));
  it.List(d, "ready");
  it.Unlist("i-a");
  std::thread caller([&] {
    EdgeFixture::Within(seconds(5), [&] {
      it.Ask("/stream/x");
      return Arrivals(d) > 0;
    });
  });
  EdgeFixture::Within(seconds(5), [&d] { return Arrivals(d) > 0; });
  std::this_thread::sleep_for(milliseconds(100));
  RequireSparedOf(it, d, "/stream/x");
  caller.join();
}

// So does a refusal, after which the request itself goes to another server.
Test(server_signals, a_refusal_tells_that_a_server_leaves, .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c("i-c", ForCallers([&c](const SeenRequest& request, int) {
                      return ScriptedAnswer{
                          .pieces = {Whole(c, request, 503,
                                           std::string(kLeaving) + kNotRun)}};
                    }));
  AskUntilSeen(it, c, "/read/x");
  RequireSparedOf(it, c, "/read/x");
}

// And an answer that belongs to an earlier request on the connection.
Test(server_signals, a_late_answer_tells_that_a_server_leaves, .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int) {
        SeenRequest earlier = request;
        earlier.fields.clear();
        earlier.fields.emplace("X-Attempt-Id", "earlier");
        return ScriptedAnswer{.pieces = {Whole(c, earlier, 200, kLeaving) +
                                         Whole(c, request, 200, "")}};
      }));
  AskUntilSeen(it, c, "/read/x");
  RequireSparedOf(it, c, "/read/x");
}

// And the answer to a question of the host's own.
Test(server_signals, a_report_tells_that_a_server_leaves, .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c("i-c", [&c](const SeenRequest& request, int) {
    const bool own = request.Field("X-Attempt-Id").empty();
    return ScriptedAnswer{
        .pieces = {Whole(c, request, 200, own ? kLeaving : "")}};
  });
  it.List(c, "ready");
  it.Unlist("i-a");
  cr_assert(EdgeFixture::Within(seconds(10),
                                [&c] { return c.report_queries() > 0; }));
  std::this_thread::sleep_for(milliseconds(300));
  RequireSparedOf(it, c, "/read/x");
}

// A newer list entry of the same start does not bring the server back, nor
// does an entry that lapses and returns; a new start under its id does.
Test(server_signals,
     only_a_new_start_brings_a_leaving_server_back,
     .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int number) {
        return ScriptedAnswer{
            .pieces = {Whole(c, request, 200, number == 0 ? kLeaving : "")}};
      }));
  AskUntilSeen(it, c, "/read/x");
  it.store_.Put("keyed.servers", c.id(),
                EntryWith(c, "\"Slots\":8", "\"Slots\":9"));
  std::this_thread::sleep_for(milliseconds(1500));
  RequireSparedOf(it, c, "/read/x");
  it.Unlist(c.id());
  std::this_thread::sleep_for(milliseconds(1500));
  it.List(c, "ready");
  std::this_thread::sleep_for(milliseconds(1500));
  RequireSparedOf(it, c, "/read/x");
  it.store_.Put("keyed.servers", c.id(),
                EntryWith(c, "\"born\":1", "\"born\":2"));
  cr_assert(EdgeFixture::Within(seconds(5), [&] {
    it.Ask("/read/x");
    return Arrivals(c) > 1;
  }));
}

// With no other server left the caller is refused at once.
Test(server_signals,
     when_all_servers_leave_callers_are_refused_at_once,
     .timeout = 60) {
  EdgeFixture it;
  it.Unlist("i-b");
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int) {
        return ScriptedAnswer{.pieces = {Whole(c, request, 200, kLeaving)}};
      }));
  AskUntilSeen(it, c, "/read/x");
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t before = Arrivals(c);
  const auto from = std::chrono::steady_clock::now();
  const auto reply = it.Ask("/read/x");
  cr_assert(std::chrono::steady_clock::now() - from < seconds(1));
  cr_assert(reply && reply->status == 503);
  cr_assert(reply->has_header("Retry-After"));
  cr_assert_eq(Arrivals(c), before);
}

// A request that waited for a copy waited on when no server was left for one.
Test(server_signals,
     a_wait_for_a_copy_ends_when_all_servers_leave,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithModel(2, /*load_s=*/4));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    const auto reply = it.Ask("/stream/x", {{"X-Model", "unknown"}});
    return reply && reply->body.find("unknown_model") != std::string::npos;
  }));
  std::thread leave([&it] {
    std::this_thread::sleep_for(milliseconds(500));
    it.List(it.a_, "draining");
    it.List(it.b_, "draining");
  });
  const auto from = std::chrono::steady_clock::now();
  const auto reply = it.Ask("/stream/x", {{"X-Model", "m1"}});
  const auto waited = std::chrono::steady_clock::now() - from;
  leave.join();
  cr_assert(reply && reply->status == 503);
  cr_assert(reply->has_header("Retry-After"));
  cr_assert(waited > milliseconds(400) && waited < seconds(3), "%f s",
            std::chrono::duration<double>(waited).count());
}

// A server that asked to be spared for some seconds was sent requests at once.
Test(server_signals, a_server_that_asks_for_rest_gets_it, .timeout = 60) {
  EdgeFixture it;
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int number) {
        return ScriptedAnswer{.pieces = {number == 0
                                             ? Refusal(c, request, "4")
                                             : Whole(c, request, 200, "")}};
      }));
  AskUntilSeen(it, c, "/read/x");
  const auto until = std::chrono::steady_clock::now() + milliseconds(3500);
  RequireSparedOf(it, c, "/read/x");
  // A newer entry of the same start changes nothing.
  it.store_.Put("keyed.servers", c.id(),
                EntryWith(c, "\"Slots\":8", "\"Slots\":9"));
  while (std::chrono::steady_clock::now() < until)
    RequireSparedOf(it, c, "/read/x");
  cr_assert(EdgeFixture::Within(seconds(3), [&] {
    it.Ask("/read/x");
    return Arrivals(c) > 1;
  }));
}

// With every server at rest, a caller learns at once when the first is back.
Test(server_signals,
     when_all_servers_rest_callers_learn_how_long,
     .timeout = 60) {
  EdgeFixture it;
  it.Unlist("i-b");
  ScriptedBackend c(
      "i-c", ForCallers([&c](const SeenRequest& request, int) {
        return ScriptedAnswer{.pieces = {Refusal(c, request, "20")}};
      }));
  AskUntilSeen(it, c, "/read/x");
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t before = Arrivals(c);
  const auto from = std::chrono::steady_clock::now();
  const auto reply = it.Ask("/read/x");
  cr_assert(std::chrono::steady_clock::now() - from < seconds(1));
  cr_assert(reply && reply->status == 503);
  const double told = std::stod(reply->get_header_value("Retry-After"));
  cr_assert(told > 15 && told < 31, "%f s", told);
  cr_assert_eq(Arrivals(c), before);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
