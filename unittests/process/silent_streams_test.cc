// Backend servers whose streams fall silent for a second or so and go on, while
// another server is asked to go on in their place.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
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
// NOLINTEND

}  // namespace
}  // namespace mangoport
