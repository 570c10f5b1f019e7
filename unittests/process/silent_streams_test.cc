// Backend servers whose streams fall silent for a second or so and go on, while
// another server is asked to go on in their place.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using End = ScriptedAnswer::End;

constexpr char kBounds[] = "repeat_ratio = 1\nrepeat_extra = 100\n";
constexpr char kEvents[] =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

std::string Head(const std::string& status, const std::string& more) {
  return "HTTP/1.1 " + status +
         " Answer\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\n" + more + "\r\n";
}

std::string NotRun() {
  return Head("503", "X-Not-Executed: 1\r\nContent-Length: 0\r\n");
}

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

/// A stream of two events that is silent for `pause` between them.
ScriptedAnswer SilentStream(milliseconds pause) {
  return {.pieces = {Head("200", kEvents) + Chunk(Events(1, 1)),
                     Chunk(Events(2, 2)) + "0\r\n\r\n"},
          .pause = pause};
}

/// A stream of an event each 110 ms for four seconds.
ScriptedAnswer BusyStream() {
  ScriptedAnswer out{.pieces = {Head("200", kEvents)},
                     .pause = milliseconds(110)};
  for (int id = 1; id <= 36; ++id)
    out.pieces.push_back(Chunk(Events(id, id)));
  out.pieces.emplace_back("0\r\n\r\n");
  return out;
}

/// A stream whose one event comes after 150 ms and which then is silent.
ScriptedAnswer LateStream() {
  ScriptedAnswer out{.pieces = {"", Head("200", kEvents) + Chunk(Events(1, 1))},
                     .pause = milliseconds(150)};
  out.pieces.resize(30);
  return out;
}

/// Expects a whole stream from a server that is silent for `pause`, beside one
/// that answers `successor`.
void ExpectWhole(milliseconds pause, const ScriptedAnswer& successor) {
  ScriptedFleet fleet(
      [&](const SeenRequest& request, int) {
        return request.Field("Last-Event-Id").empty() ? SilentStream(pause)
                                                      : successor;
      },
      kBounds);
  const auto reply = fleet.Ask("/stream/x");
  const auto ms = static_cast<int>(pause.count());
  cr_expect(reply, "silent for %d ms: cut", ms);
  if (reply)
    cr_expect_eq(reply->body, Events(1, 2), "silent for %d ms: %d '%s'", ms,
                 reply->status, reply->body.c_str());
  cr_expect_geq(fleet.Sends("/stream/x").size(), 2,
                "silent for %d ms: no other server was asked", ms);
}

httplib::Request StreamRequest(const std::string& path) {
  httplib::Request out;
  out.method = "POST";
  out.path = path;
  out.headers = {{"Host", "h"},
                 {"X-Attempt-Id", "id1"},
                 {"X-Deadline-Ms", "4900"},
                 {"Authorization", "Bearer k1"}};
  return out;
}

/// The longest wait between two pieces of the answer to a caller.
Duration LongestGap(const ScriptedFleet& fleet, const std::string& path) {
  httplib::Client client("127.0.0.1", fleet.callers());
  client.set_read_timeout(8);
  Duration longest{};
  auto last = MonoTime::max();
  httplib::Request request = StreamRequest(path);
  request.content_receiver = [&](const char*, std::size_t, std::uint64_t,
                                 std::uint64_t) {
    const MonoTime now = std::chrono::steady_clock::now();
    longest = std::max<Duration>(longest, now - std::min(last, now));
    last = now;
    return true;
  };
  const auto reply = client.send(request);
  Require(reply && reply->status == 200, "the stream was cut");
  return longest;
}

/// Expects a whole stream from a silent server beside a full one, though
/// `change` is called while the server is silent.
void ExpectWholeBeside(const std::function<void(ScriptedFleet&)>& change) {
  ScriptedFleet fleet(
      [](const SeenRequest& request, int) {
        return request.Field("Last-Event-Id").empty()
                   ? SilentStream(milliseconds(1900))
                   : ScriptedAnswer{.pieces = {NotRun()}};
      },
      kBounds);
  std::thread operation([&] {
    EdgeFixture::Within(milliseconds(3000),
                        [&] { return !fleet.Sends("/stream/x").empty(); });
    std::this_thread::sleep_for(milliseconds(300));
    change(fleet);
  });
  const auto reply = fleet.Ask("/stream/x");
  operation.join();
  cr_assert(reply, "cut");
  cr_assert_eq(reply->body, Events(1, 2));
}

// NOLINTBEGIN: Criterion's macros
Test(silent_streams, are_not_cut_beside_a_full_server, .timeout = 60) {
  for (const int pause : {1400, 1900})
    ExpectWhole(milliseconds(pause), {.pieces = {NotRun()}});
}

Test(silent_streams, are_not_cut_beside_a_server_that_resets, .timeout = 60) {
  for (const int pause : {1400, 1900})
    ExpectWhole(milliseconds(pause), {.pieces = {""}, .end = End::kReset});
}

Test(silent_streams,
     are_not_cut_by_a_successor_lost_behind_its_head,
     .timeout = 60) {
  ExpectWhole(milliseconds(1900),
              {.pieces = {Head("200", kEvents)}, .end = End::kClose});
}

Test(silent_streams,
     are_not_cut_by_a_successor_that_fails_behind_its_head,
     .timeout = 60) {
  ExpectWhole(milliseconds(1900),
              {.pieces = {Head("200", kEvents) + Chunk("data: failed\n\n") +
                          "0\r\n\r\n"}});
}

Test(silent_streams,
     are_not_cut_by_a_successor_that_leaves_events_out,
     .timeout = 60) {
  ExpectWhole(
      milliseconds(1900),
      {.pieces = {Head("200", kEvents) + Chunk(Events(1, 2)) + "0\r\n\r\n"}});
}

Test(silent_streams,
     are_not_cut_by_a_successor_that_refuses_late,
     .timeout = 60) {
  ExpectWhole(milliseconds(1900),
              {.pieces = {"", NotRun()}, .pause = milliseconds(500)});
}

// The other server is heard on its own stream, but is too busy for this one.
Test(silent_streams, are_not_cut_by_a_busy_successor, .timeout = 60) {
  ScriptedFleet fleet(
      [](const SeenRequest& request, int) {
        if (request.target == "/stream/busy")
          return BusyStream();
        return request.Field("Last-Event-Id").empty()
                   ? SilentStream(milliseconds(1900))
                   : ScriptedAnswer{.pieces = {"", NotRun()},
                                    .pause = milliseconds(500)};
      },
      kBounds);
  std::thread caller([&] { fleet.Ask("/stream/busy"); });
  cr_assert(EdgeFixture::Within(milliseconds(3000), [&] {
    return !fleet.Sends("/stream/busy").empty();
  }));
  const auto reply = fleet.Ask("/stream/x");
  caller.join();
  cr_assert(reply, "cut");
  cr_assert_eq(reply->body, Events(1, 2));
}

// It may only be busy; a failure would keep other requests from it.
Test(silent_streams,
     whose_successor_has_not_begun_blame_no_server,
     .timeout = 60) {
  ScriptedFleet fleet(
      [](const SeenRequest& request, int) {
        return request.Field("Last-Event-Id").empty()
                   ? SilentStream(milliseconds(1900))
                   : ScriptedAnswer{.pieces = {"", NotRun()},
                                    .pause = milliseconds(500)};
      },
      kBounds);
  const auto reply = fleet.Ask("/stream/x");
  cr_assert(reply);
  httplib::Client client("127.0.0.1", fleet.host().readiness_);
  const auto metrics = client.Get("/metrics");
  cr_assert(metrics);
  cr_assert_neq(metrics->body.find(R"(attempts_total{outcome="cancelled"} 1)"),
                std::string::npos, "%s", metrics->body.c_str());
}

// The server goes on with another stream; the successor needs 400 ms for its
// first event.
Test(silent_streams,
     go_on_elsewhere_before_their_callers_leave,
     .timeout = 60) {
  ScriptedFleet fleet(
      [&](const SeenRequest& request, int) {
        if (request.target == "/stream/busy")
          return BusyStream();
        if (request.Field("Last-Event-Id").empty())
          return LateStream();
        return ScriptedAnswer{
            .pieces = {Head("200", kEvents), Chunk(Events(2, 2)) + "0\r\n\r\n"},
            .pause = milliseconds(400)};
      },
      kBounds);
  std::vector<std::thread> others(2);
  for (std::thread& it : others)
    it = std::thread([&] { fleet.Ask("/stream/busy"); });
  cr_assert(EdgeFixture::Within(milliseconds(3000), [&] {
    return fleet.Sends("/stream/busy").size() == 2;
  }));
  const Duration gap = LongestGap(fleet, "/stream/x");
  for (std::thread& it : others)
    it.join();
  const auto ms = static_cast<int>(gap / milliseconds(1));
  cr_assert_lt(ms, 2000, "%d ms without an event", ms);
}

Test(silent_streams, are_not_cut_beside_a_withdrawn_key, .timeout = 60) {
  ExpectWholeBeside([](ScriptedFleet& fleet) {
    StoreStandin& store = fleet.host().store_;
    store.Put("keyed.op", "config", Config(2, R"("k1","k2")"));
    std::this_thread::sleep_for(milliseconds(200));
    store.Put("keyed.op", "config", Config(3, R"("k1")"));
  });
}

Test(silent_streams,
     are_not_cut_when_their_own_key_is_withdrawn,
     .timeout = 60) {
  ExpectWholeBeside([](ScriptedFleet& fleet) {
    fleet.host().store_.Put("keyed.op", "config", Config(2, R"("k2")"));
  });
}

Test(silent_streams,
     are_not_cut_when_their_server_leaves_the_list,
     .timeout = 60) {
  ExpectWholeBeside([](ScriptedFleet& fleet) {
    fleet.host().Unlist("i-x");
    fleet.host().Unlist("i-y");
  });
}

Test(silent_streams, are_not_cut_when_their_server_drains, .timeout = 60) {
  ExpectWholeBeside(
      [](ScriptedFleet& fleet) { fleet.ListBoth("s", "draining"); });
}

Test(silent_streams,
     are_not_cut_when_their_server_changes_its_service,
     .timeout = 60) {
  ExpectWholeBeside(
      [](ScriptedFleet& fleet) { fleet.ListBoth("other", "ready"); });
}

// Both servers work on the request: the silent one and the one it is offered
// to.
Test(silent_streams,
     are_taken_back_from_both_servers_when_the_caller_leaves,
     .timeout = 60) {
  ScriptedFleet fleet(
      [](const SeenRequest& request, int) {
        if (request.Field("Last-Event-Id").empty())
          return SilentStream(milliseconds(4000));
        return ScriptedAnswer{.pieces = {"", ""}, .pause = milliseconds(4000)};
      },
      kBounds);
  std::thread caller([&] {
    httplib::Client client("127.0.0.1", fleet.callers());
    httplib::Request request = StreamRequest("/stream/x");
    request.content_receiver = [&](const char*, std::size_t, std::uint64_t,
                                   std::uint64_t) { return true; };
    client.set_read_timeout(milliseconds(8000));
    std::thread leaves([&] {
      Require(EdgeFixture::Within(
                  milliseconds(3000),
                  [&] { return fleet.Sends("/stream/x").size() == 2; }),
              "no other server was asked");
      client.stop();
    });
    client.send(request);
    leaves.join();
  });
  caller.join();
  cr_assert(EdgeFixture::Within(milliseconds(500),
                                [&] { return fleet.Abandoned() == 2; }),
            "%zu of two servers were told", fleet.Abandoned());
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
