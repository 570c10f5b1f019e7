// A host that is asked to stop, beside connections of several kinds.
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"
#include "unittests/support/raw_connection.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kRequest =
    "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
    "Authorization: Bearer k1\r\n\r\n";

/// The fixture's configuration with another time for idle connections.
std::string ConfigWithIdle(int version, milliseconds idle) {
  std::string out = Config(version, R"("k1")");
  out.insert(out.rfind('}'),
             R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
             R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":)" +
                 std::to_string(idle.count()) + "}");
  return out;
}

/// The fixture's configuration with another latency objective of all routes.
std::string ConfigWithObjective(int version, milliseconds objective) {
  std::string out = Config(version, R"("k1")");
  const std::string old = R"("GoalMs":250)";
  const std::string replaced =
      R"("GoalMs":)" + std::to_string(objective.count());
  for (std::size_t at = 0; (at = out.find(old, at)) != std::string::npos;)
    out.replace(at, old.size(), replaced);
  return out;
}

void RequireLogged(const EdgeFixture& it, const std::string& text) {
  Require(
      EdgeFixture::Within(
          seconds(5), [&] { return it.Log().find(text) != std::string::npos; }),
      "not logged: " + text);
}

/// `answer` promises that its request has not run, and tells the caller when to
/// come back, on another connection.
void RequireRefused(const std::string& answer) {
  const auto has = [&answer](const char* text) {
    return answer.find(text) != std::string::npos;
  };
  Require(answer.starts_with("HTTP/1.1 503") && has("Connection: close") &&
              has("Retry-After: ") && has("\"not_run\":true"),
          "no refusal: " + answer);
}

// NOLINTBEGIN: Criterion's macros
Test(stop,
     ends_early_beside_connections_that_their_callers_keep,
     .timeout = 60) {
  EdgeFixture it("");
  const RawConnection untouched(it.callers_);
  const RawConnection answered(it.callers_);
  answered.Send(kRequest);
  cr_assert(answered.Receive().starts_with("HTTP/1.1 200"));
  const RawConnection half(it.callers_);
  half.Send(kRequest.substr(0, 30));
  std::this_thread::sleep_for(milliseconds(100));
  it.process_->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(100));
  const RawConnection told(it.callers_);
  told.Send(kRequest);
  const std::string text = told.Receive();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
  cr_assert_neq(text.find("Connection: close"), std::string::npos);
  cr_assert_eq(it.process_->Wait(seconds(4)), 0);
}

// Callers keep connections for as long as the newest configuration allows,
// those too that were accepted under an older one.
Test(config_change,
     a_longer_idle_time_holds_for_open_connections,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithIdle(2, milliseconds(900)));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    return it.Log().find("config_applied version=2") != std::string::npos;
  }));
  const RawConnection kept(it.callers_);
  it.store_.Put("keyed.op", "config", ConfigWithIdle(3, milliseconds(9000)));
  std::this_thread::sleep_for(milliseconds(2500));
  kept.Send(kRequest);
  const std::string text = kept.Receive();
  cr_assert(text.starts_with("HTTP/1.1 200"), "the connection was closed");
}

// Callers go on with their kept connections until they are told to leave them.
Test(stop, each_request_on_a_kept_connection_gets_an_answer, .timeout = 60) {
  EdgeFixture it;
  std::thread stop([&it] {
    std::this_thread::sleep_for(milliseconds(300));
    it.process_->Signal(SIGTERM);
  });
  std::string last;
  int answered = 0;
  const RawConnection kept(it.callers_);
  while (last.find("Connection: close") == std::string::npos) {
    kept.Send(kRequest);
    last = kept.Receive();
    if (!last.starts_with("HTTP/1.1 200"))
      break;
    ++answered;
    std::this_thread::sleep_for(milliseconds(5));
  }
  stop.join();
  cr_assert(last.starts_with("HTTP/1.1 200"), "after %d answers: %s", answered,
            last.c_str());
  cr_assert_eq(it.process_->Wait(seconds(5)), 0);
}

// The second server could not finish before the host ends, and the caller could
// not ask elsewhere.
Test(stop,
     a_request_refused_late_in_the_grace_goes_to_no_other_server,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithObjective(2, seconds(3)));
  ScriptedBackend* self = nullptr;
  ScriptedBackend late("i-late", [&self](const SeenRequest& request, int) {
    return ScriptedAnswer{.pieces = {"", self->Head(request, 503,
                                                    "X-Not-Executed: 1\r\n"
                                                    "Content-Length: 0\r\n")},
                          .pause = milliseconds(2500)};
  });
  self = &late;
  const ScriptedBackend slow("i-slow", [](const SeenRequest&, int) {
    return ScriptedAnswer{.pieces = {"", ""}, .pause = seconds(6)};
  });
  it.Unlist(it.a_.id());
  it.Unlist(it.b_.id());
  it.List(late, "ready");
  RequireLogged(it, "server=i-b change=removed");
  RequireLogged(it, "server=i-late change=added");
  RequireLogged(it, "config_applied version=2");
  httplib::Result reply(nullptr, httplib::Error::Unknown);
  std::thread caller([&] { reply = it.Ask("/once/x"); });
  cr_assert(
      EdgeFixture::Within(seconds(1), [&] { return !late.seen().empty(); }));
  it.process_->Signal(SIGTERM);
  it.List(slow, "ready");
  caller.join();
  cr_assert(reply, "no answer");
  cr_assert_eq(reply->status, 503, "%d %s", reply->status, reply->body.c_str());
  cr_assert_neq(reply->body.find("\"not_run\":true"), std::string::npos);
  cr_assert_neq(reply->get_header_value("Retry-After"), "");
  cr_assert(slow.seen().empty());
  cr_assert_eq(it.process_->Wait(seconds(5)), 0);
}

// Whenever and however they come, requests late in the grace time are refused.
Test(stop, requests_late_in_the_grace_are_refused_with_not_run, .timeout = 60) {
  constexpr std::string_view kPost =
      "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
      "Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\n";
  EdgeFixture it;
  const ScriptedBackend slow("i-slow", [](const SeenRequest&, int) {
    return ScriptedAnswer{.pieces = {"", ""}, .pause = seconds(6)};
  });
  it.Unlist(it.a_.id());
  it.Unlist(it.b_.id());
  it.List(slow, "ready");
  RequireLogged(it, "server=i-b change=removed");
  RequireLogged(it, "server=i-slow change=added");
  const RawConnection half(it.callers_);
  half.Send(kRequest.substr(0, 30));
  const RawConnection slow_body(it.callers_);
  slow_body.Send(std::string(kPost) + "bo");
  const RawConnection pipelined(it.callers_);
  pipelined.Send(std::string(kPost) + "body" + std::string(kRequest));
  cr_assert(
      EdgeFixture::Within(seconds(1), [&] { return !slow.seen().empty(); }));
  it.process_->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2000));
  half.Send(kRequest.substr(30));
  slow_body.Send("dy");
  RequireRefused(half.Receive());
  RequireRefused(slow_body.Receive());
  // The end of the answers is after 3.67 s.
  for (int i = 0; i < 14; ++i) {
    const RawConnection late(it.callers_);
    late.Send(kRequest);
    RequireRefused(late.Receive());
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::string text = pipelined.Receive();
  cr_assert(text.starts_with("HTTP/1.1 504"), "%s", text.c_str());
  for (std::string more; !(more = pipelined.Receive()).empty();)
    text += more;
  const std::size_t second = text.find("HTTP/1.1 503");
  cr_assert_neq(second, std::string::npos, "%s", text.c_str());
  RequireRefused(text.substr(second));
  cr_assert_eq(slow.seen().size(), 1);
  cr_assert_eq(it.process_->Wait(seconds(5)), 0);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
