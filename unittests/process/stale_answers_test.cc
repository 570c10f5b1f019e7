// Backend servers that write answers which belong to no request, or to an
// earlier one, on kept connections.
#include <string>

#include <criterion/criterion.h>

#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

constexpr char kNotRun[] = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

ScriptedAnswer Bytes(std::string bytes) {
  return {.pieces = {std::move(bytes)}};
}

/// The number at the end of a target such as "/once/503".
std::string LastPart(const SeenRequest& request) {
  return request.target.substr(request.target.rfind('/') + 1);
}

// NOLINTBEGIN: Criterion's macros
// A server ran the request and wrote a refusal that names no request: callers
// were told that it had not run, or it ran at a second server.
Test(stale_answers, a_refusal_without_an_id_proves_nothing, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest& request, int) {
    return Bytes("HTTP/1.1 " + LastPart(request) + " Refused\r\n" + kNotRun);
  });
  for (const char* status : {"503", "429", "421", "408", "500"}) {
    fleet.Warm();
    const std::string path = std::string("/once/") + status;
    const auto reply = fleet.Ask(path);
    cr_assert(reply, "%s: no answer", status);
    cr_expect_eq(reply->status, 502, "%s: the caller got %d", status,
                 reply->status);
    cr_expect_eq(fleet.Sends(path).size(), 1, "%s: sent %zu times", status,
                 fleet.Sends(path).size());
  }
}

// A status that promises "not run" came without the proof of it, and was passed
// on for a request that may have run.
Test(stale_answers, a_promise_without_proof_is_not_passed_on, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest& request, int) {
    return Bytes("HTTP/1.1 " + LastPart(request) +
                 " Failed\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\n"
                 "Content-Length: 2\r\n\r\nno");
  });
  for (const char* status : {"503", "429", "408"}) {
    fleet.Warm();
    const std::string path = std::string("/once/") + status;
    const auto reply = fleet.Ask(path);
    cr_assert(reply, "%s: no answer", status);
    cr_expect_eq(reply->status, 502, "%s: the caller got %d", status,
                 reply->status);
    cr_expect_not(reply->has_header("X-Server-Seal"));
    cr_expect_eq(fleet.Sends(path).size(), 1);
  }
}

// Two heads ran into one: a refusal's fields follow the id of this request.
Test(stale_answers, a_head_with_two_ids_proves_nothing, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest& request, int) {
    const bool own_first = LastPart(request) == "own-first";
    const std::string first = own_first ? "id1" : "earlier";
    const std::string second = own_first ? "earlier" : "id1";
    return Bytes("HTTP/1.1 503 Refused\r\nX-Attempt-Id: " + first +
                 "\r\nX-Attempt-Id: " + second + "\r\n" + kNotRun);
  });
  for (const char* path : {"/once/own-first", "/once/own-last"}) {
    fleet.Warm();
    const auto reply = fleet.Ask(path);
    cr_assert(reply, "%s: no answer", path);
    cr_expect_eq(reply->status, 502, "%s: the caller got %d", path,
                 reply->status);
    cr_expect_eq(fleet.Sends(path).size(), 1);
  }
}

// An answer to an earlier request is skipped, whatever it says, and the true
// one behind it is passed on.
Test(stale_answers, an_answer_behind_a_stale_one_is_found, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest& request, int) {
    return Bytes("HTTP/1.1 " + LastPart(request) +
                 " Stale\r\nX-Attempt-Id: earlier\r\nX-Not-Executed: 1\r\n"
                 "X-Server-Seal: s\r\nContent-Length: 5\r\n\r\nstale" +
                 ScriptedFleet::GoodAnswer());
  });
  for (const char* status : {"503", "429", "421", "500", "200"}) {
    const std::string path = std::string("/once/") + status;
    const auto reply = fleet.Ask(path);
    cr_assert(reply, "%s: no answer", status);
    cr_expect_eq(reply->status, 200, "%s: the caller got %d", status,
                 reply->status);
    cr_expect_eq(reply->body, "ok");
    cr_expect_eq(fleet.Sends(path).size(), 1);
  }
}

// After a stale answer the connection closed: the request may have run.
Test(stale_answers,
     a_close_behind_a_stale_answer_proves_nothing,
     .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest&, int) {
    return ScriptedAnswer{
        .pieces = {"HTTP/1.1 503 Stale\r\nX-Attempt-Id: earlier\r\n" +
                   std::string(kNotRun)},
        .end = ScriptedAnswer::End::kClose};
  });
  const auto reply = fleet.Ask("/once/x");
  cr_assert(reply && reply->status == 502);
  cr_assert_eq(fleet.Sends("/once/x").size(), 1);
}

// A refusal that names the request is believed: it goes to the other server.
Test(stale_answers, a_refusal_with_the_own_id_is_believed, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest&, int) {
    return Bytes("HTTP/1.1 503 Full\r\nX-Attempt-Id: id1\r\n" +
                 std::string(kNotRun));
  });
  const auto reply = fleet.Ask("/once/x");
  cr_assert(reply && reply->status == 503);
  cr_assert(reply->has_header("Retry-After"));
  cr_assert_eq(fleet.Sends("/once/x").size(), 2);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
