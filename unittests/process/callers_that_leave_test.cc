// Callers that leave at each stage of their request: its servers are told, and
// no server gets it afterwards.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "unittests/support/full_listener.h"
#include "unittests/support/raw_connection.h"
#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server must be rid of a request this long after its caller has left.
constexpr milliseconds kNoticeTime{500};

std::string Request(const std::string& path, const std::string& more = "") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nX-Deadline-Ms: 4900\r\n"
         "Authorization: Bearer k1\r\nContent-Length: 4\r\n" +
         more + "\r\nbody";
}

/// Never answers "/read/run", and begins a stream on "/stream/run".
ScriptedAnswer RunWithoutEnd(const SeenRequest& request, int) {
  if (request.target != "/stream/run")
    return {};
  return {.pieces = {"HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\n"
                     "X-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n16\r\n"
                     "id: 1\ndata: token1\n\n\r\n"}};
}

/// Sends `bytes`, leaves once `servers` have the request for `target`, and
/// fails unless each of them is told in time.
void ExpectEnded(const std::string& bytes,
                 const std::string& target,
                 std::size_t servers = 1) {
  ScriptedFleet fleet(RunWithoutEnd);
  RawConnection caller(fleet.host().callers_);
  caller.Send(bytes);
  cr_assert(EdgeFixture::Within(
      seconds(4), [&] { return fleet.Sends(target).size() == servers; }));
  std::this_thread::sleep_for(milliseconds(100));
  caller.Close();
  cr_assert(EdgeFixture::Within(
                kNoticeTime, [&] { return fleet.GivenUp(target) == servers; }),
            "%s: still at work", target.c_str());
  cr_assert_eq(fleet.Sends(target).size(), servers);
}

// NOLINTBEGIN: Criterion's macros
Test(caller_leaves, while_its_request_runs, .timeout = 60) {
  ExpectEnded(Request("/read/run"), "/read/run");
}

Test(caller_leaves, in_a_stream, .timeout = 60) {
  ExpectEnded(Request("/stream/run"), "/stream/run");
}

Test(caller_leaves, with_its_next_request_sent_ahead, .timeout = 60) {
  ExpectEnded(Request("/read/run") + Request("/read/next"), "/read/run");
}

// Its server is silent, and another one has been offered the request.
Test(caller_leaves, while_a_second_server_takes_over, .timeout = 60) {
  ExpectEnded(Request("/read/run"), "/read/run", /*servers=*/2);
}

Test(caller_leaves, while_its_request_waits_for_a_copy, .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithModel(2, /*load_s=*/1));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    return it.Log().find("config_applied version=2") != std::string::npos;
  }));
  RawConnection caller(it.callers_);
  caller.Send(Request("/stream/run", "X-Model: m1\r\n"));
  std::this_thread::sleep_for(milliseconds(300));
  caller.Close();
  std::string entry = it.a_.Entry("s", "ready");
  entry.insert(entry.rfind('}'), R"(,"Models":[{"Name":"m1","Version":1}])");
  it.store_.Put("keyed.servers", it.a_.id(), entry);
  cr_assert(EdgeFixture::Within(seconds(3), [&it] {
    return it.Log().find("models=m1") != std::string::npos;
  }));
  std::this_thread::sleep_for(kNoticeTime);
  for (const SeenRequest& seen : it.a_.seen())
    cr_assert_neq(seen.target, "/stream/run");
}

// So much was sent ahead that the host has stopped reading.
Test(caller_leaves, behind_more_than_is_read_ahead, .timeout = 60) {
  const std::string next =
      "POST /read/next HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
      std::string(100000, 'a');
  ExpectEnded(Request("/read/run") + next, "/read/run");
}

Test(caller_leaves, before_its_request_is_whole, .timeout = 60) {
  ScriptedFleet fleet(RunWithoutEnd);
  const std::string request = Request("/read/run");
  for (const std::size_t bytes : {request.size() - 40, request.size() - 2}) {
    RawConnection caller(fleet.host().callers_);
    caller.Send(request.substr(0, bytes));
    std::this_thread::sleep_for(milliseconds(50));
  }
  std::this_thread::sleep_for(kNoticeTime);
  cr_assert(fleet.Sends("/read/run").empty());
}

// The host stands still while a server refuses the request and its caller
// leaves; another server must not get it.
Test(caller_leaves, before_the_second_attempt, .timeout = 60) {
  std::atomic<int> sends = 0;
  ScriptedFleet fleet([&sends](const SeenRequest&, int) {
    if (sends++ > 0)
      return ScriptedAnswer{.pieces = {ScriptedFleet::GoodAnswer()}};
    return ScriptedAnswer{
        .pieces = {"",
                   "HTTP/1.1 503 Full\r\nX-Attempt-Id: id1\r\n"
                   "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
        .pause = milliseconds(300)};
  });
  RawConnection caller(fleet.host().callers_);
  caller.Send(Request("/once/x"));
  cr_assert(EdgeFixture::Within(
      seconds(2), [&] { return fleet.Sends("/once/x").size() == 1; }));
  fleet.host().process_->Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(500));
  caller.Close();
  std::this_thread::sleep_for(milliseconds(50));
  fleet.host().process_->Signal(SIGCONT);
  std::this_thread::sleep_for(kNoticeTime);
  cr_assert_eq(fleet.Sends("/once/x").size(), 1, "sent again");
}

// The host stands still while a connection is made and the caller leaves.
Test(caller_leaves, while_a_connection_is_made, .timeout = 60) {
  EdgeFixture it;
  FullListener server;
  it.Unlist(it.a_.id());
  it.Unlist(it.b_.id());
  it.store_.Put("keyed.servers", "i-full",
                BackendEntry("s", server.address(), "ready"));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    return it.Log().find("server=i-full") != std::string::npos;
  }));
  RawConnection caller(it.callers_);
  caller.Send(Request("/read/x"));
  std::this_thread::sleep_for(milliseconds(100));
  it.process_->Signal(SIGSTOP);
  // The system tries to connect again after a second.
  server.TakeFor(milliseconds(1300));
  caller.Close();
  std::this_thread::sleep_for(milliseconds(50));
  it.process_->Signal(SIGCONT);
  const std::string got = server.TakeFor(kNoticeTime);
  cr_assert_eq(got.find("POST"), std::string::npos,
               "sent for a caller that has left: %s", got.c_str());
}

// No byte has left for a server: the request has not run, and its account gets
// back what it was charged.
Test(caller_leaves, what_has_not_run_is_not_charged, .timeout = 60) {
  EdgeFixture it;
  const FullListener server;
  it.Unlist(it.a_.id());
  it.Unlist(it.b_.id());
  std::string config = Config(2, R"("k1")");
  const std::string limit = R"("Unit":"requests","RatePerS":0,"Burst":0)";
  config.replace(config.find(limit), limit.size(),
                 R"("Unit":"tokens","RatePerS":1000,"Burst":1000)");
  it.store_.Put("keyed.op", "config", config);
  it.store_.Put("keyed.servers", "i-full",
                BackendEntry("s", server.address(), "ready"));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    return it.Log().find("server=i-full") != std::string::npos &&
           it.Log().find("config_applied version=2") != std::string::npos;
  }));
  std::this_thread::sleep_for(seconds(2));
  for (int i = 0; i < 8; ++i) {
    RawConnection caller(it.callers_);
    caller.Send(Request("/read/x", "X-Token-Usage: 300,300\r\n"));
    std::this_thread::sleep_for(milliseconds(60));
  }
  const auto reply = it.Ask("/read/x", {{"X-Token-Usage", "300,300"}});
  cr_assert(reply);
  cr_assert_neq(reply->status, 429, "%s", reply->body.c_str());
  cr_assert(EdgeFixture::Within(seconds(1), [&it] {
    return it.Log().find("outcome=caller_gone") != std::string::npos;
  }));
  const std::string log = it.Log();
  const std::size_t gone = log.find("outcome=caller_gone");
  cr_assert_neq(log.find("runs=0", gone), std::string::npos);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
