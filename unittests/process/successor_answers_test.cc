// A stream's server falls silent and goes on later; meanwhile another server is
// asked to go on in its place and answers something that is no stream.
#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

/// Longer than any server may be silent before another one is tried.
constexpr std::chrono::milliseconds kLongPause{2300};

constexpr char kIds[] = "X-Attempt-Id: id1\r\nX-Server-Seal: s\r\n";

std::string Head(const std::string& status, const std::string& more) {
  return "HTTP/1.1 " + status + " Answer\r\n" + more + "\r\n";
}

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

/// The bytes of a stream that is silent before its last event.
ScriptedAnswer SilentStream() {
  return {.pieces = {Head("200", std::string(kIds) +
                                     "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n") +
                         Chunk(Events(1, 1)),
                     Chunk(Events(2, 2)) + "0\r\n\r\n"},
          .pause = kLongPause};
}

/// True if the caller has the whole stream although the other server answers
/// `successor`.
bool StreamGoesOn(const std::string& successor) {
  ScriptedFleet fleet(
      [&successor](const SeenRequest& request, int) {
        if (request.Field("Last-Event-Id").empty())
          return SilentStream();
        return ScriptedAnswer{.pieces = {successor}};
      },
      "repeat_ratio = 1\nrepeat_extra = 100\n");
  const auto reply = fleet.Ask("/stream/x");
  cr_expect_geq(fleet.Sends("/stream/x").size(), 2,
                "no other server was asked");
  return reply && reply->status == 200 && reply->body == Events(1, 2);
}

// NOLINTBEGIN: Criterion's macros
// A live stream was given up for a success that could not go on with it.
Test(successor_answers, text_takes_no_stream_over, .timeout = 60) {
  cr_assert(StreamGoesOn(Head("200", std::string(kIds) +
                                         "Content-Type: text/plain\r\n"
                                         "Content-Length: 6\r\n") +
                         "failed"));
}

Test(successor_answers, an_empty_success_takes_no_stream_over, .timeout = 60) {
  cr_assert(StreamGoesOn(Head("204", kIds)));
}

Test(successor_answers,
     an_answer_without_an_id_takes_no_stream_over,
     .timeout = 60) {
  cr_assert(StreamGoesOn(Head("200",
                              "X-Server-Seal: s\r\n"
                              "Content-Type: text/event-stream\r\n"
                              "Content-Length: 0\r\n")));
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
