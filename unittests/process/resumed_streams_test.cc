// A stream breaks off after three events; what the next backend server answers
// must never be found in it, nor end it as if it were whole.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

using End = ScriptedAnswer::End;

constexpr char kIds[] = "X-Attempt-Id: id1\r\nX-Server-Seal: s\r\n";
constexpr char kEvents[] = "Content-Type: text/event-stream\r\n";
constexpr char kManyRepeats[] = "repeat_ratio = 1\nrepeat_extra = 100\n";

struct Case {
  /// The end of the request's path.
  std::string name;
  /// The next server's answer.
  std::string bytes;
  End end = End::kKeep;
};

std::string Head(int status, const std::string& more) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + kIds + more +
         "\r\n";
}

std::string WithLength(int status,
                       const std::string& more,
                       const std::string& body) {
  return Head(status, more + "Content-Length: " + std::to_string(body.size()) +
                          "\r\n") +
         body;
}

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

std::string Chunked(const std::string& more, const std::string& body) {
  return Head(200, more + "Transfer-Encoding: chunked\r\n") + Chunk(body) +
         "0\r\n\r\n";
}

/// What a caller finds in the bytes of a chunked answer.
struct Stream {
  std::string body;
  bool whole = false;
};

Stream ReadChunks(const std::string& bytes) {
  Stream out;
  std::size_t at = bytes.find("\r\n\r\n");
  Require(at != std::string::npos, "no head: " + bytes);
  at += 4;
  if (bytes.substr(0, at).find("chunked") == std::string::npos)
    return {.body = bytes.substr(at), .whole = true};
  while (at < bytes.size()) {
    const std::size_t size = std::stoul(bytes.substr(at), nullptr, 16);
    at = bytes.find("\r\n", at) + 2;
    if (size == 0) {
      out.whole = bytes.substr(at) == "\r\n";
      return out;
    }
    out.body += bytes.substr(at, size);
    at += size + 2;
  }
  return out;
}

/// The first server's answer stops after three events; then comes the case that
/// the path names.
ScriptedBackend::Script BreaksThen(const std::vector<Case>& cases) {
  return [cases](const SeenRequest& request, int) {
    if (request.Field("Last-Event-Id").empty())
      return ScriptedAnswer{
          .pieces = {Head(200, std::string(kEvents) +
                                   "Transfer-Encoding: chunked\r\n") +
                     Chunk(Events(1, 3))},
          .end = End::kClose};
    for (const Case& it : cases) {
      if (request.target == "/stream/" + it.name)
        return ScriptedAnswer{.pieces = {it.bytes}, .end = it.end};
    }
    throw std::runtime_error("no case for " + request.target);
  };
}

/// Every case must leave the caller with the three events and a broken answer.
void ExpectBroken(const std::vector<Case>& cases) {
  ScriptedFleet fleet(BreaksThen(cases), kManyRepeats);
  for (const Case& it : cases) {
    fleet.Warm();
    const std::string path = "/stream/" + it.name;
    const Stream seen = ReadChunks(fleet.RawAnswer(path));
    cr_expect_eq(seen.body, Events(1, 3), "%s: the caller got '%s'",
                 it.name.c_str(), seen.body.c_str());
    cr_expect_not(seen.whole, "%s: the stream looks whole", it.name.c_str());
    cr_expect_geq(fleet.Sends(path).size(), 2, "%s: not resumed",
                  it.name.c_str());
  }
}

// NOLINTBEGIN: Criterion's macros
Test(resumed_streams,
     an_error_of_the_next_server_is_not_passed_on,
     .timeout = 60) {
  ExpectBroken({
      {"500", WithLength(500, "", "failed")},
      {"500-events", WithLength(500, kEvents, Events(4, 6))},
      {"502-close", Head(502, "") + "failed", End::kClose},
      {"400", WithLength(400, "", "bad")},
      {"404", WithLength(404, "", "none")},
      {"302", WithLength(302, "Location: /else\r\n", "")},
      {"304", Head(304, "")},
      {"100-500",
       "HTTP/1.1 100 Continue\r\n\r\n" + WithLength(500, "", "failed")},
      {"no-seal",
       "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nContent-Length: "
       "6\r\n\r\nfailed"},
      {"503", WithLength(503, "X-Not-Executed: 1\r\n", "full")},
  });
}

// The rest is broken in its head, its end or its framing.
Test(resumed_streams, a_rest_that_is_no_http_is_not_passed_on, .timeout = 60) {
  const std::string good =
      "Content-Length: " + std::to_string(Events(4, 6).size()) + "\r\n\r\n" +
      Events(4, 6);
  const std::string head = std::string(kIds) + kEvents;
  ExpectBroken({
      {"000", "HTTP/1.1 000 Odd\r\n" + head + good},
      {"000-good",
       "HTTP/1.1 000 Odd\r\n\r\n" + WithLength(200, kEvents, Events(4, 6))},
      {"blank", "HTTP/1.1 200 OK\r\n" + head + "X Bad: 1\r\n" + good},
      {"before-colon", "HTTP/1.1 200 OK\r\n" + head + "X-Bad : 1\r\n" + good},
      {"control", "HTTP/1.1 200 OK\r\n" + head + "X-\x01: 1\r\n" + good},
      {"length",
       "HTTP/1.1 200 OK\r\n" + head + "Content-Length : 1\r\n" + good},
  });
}

Test(resumed_streams, a_misdirected_rest_is_not_passed_on, .timeout = 60) {
  ExpectBroken({{"421", WithLength(421, "", "elsewhere")}});
}

// The next server's success was no stream; its text was joined to the stream,
// which then ended as if it were whole.
Test(resumed_streams,
     a_success_that_is_no_stream_does_not_end_one,
     .timeout = 60) {
  ExpectBroken({
      {"text", WithLength(200, "Content-Type: text/plain\r\n", "failed")},
      {"json",
       WithLength(200, "Content-Type: application/json\r\n", "{\"x\":1}\n\n")},
      {"html-chunked", Chunked("Content-Type: text/html\r\n", "<p>failed\n\n")},
      {"201", WithLength(201, kEvents, Events(4, 6))},
      {"202", WithLength(202, "", "")},
      {"204", Head(204, "")},
      {"206", WithLength(206, kEvents, Events(4, 6))},
      {"head-only", Head(200, kEvents), End::kClose},
  });
}

// A server that is lost behind its head closes in order; that is no stream.
Test(resumed_streams,
     a_close_behind_the_head_is_no_empty_stream,
     .timeout = 60) {
  ScriptedFleet fleet(
      [](const SeenRequest&, int) {
        return ScriptedAnswer{.pieces = {Head(200, kEvents)},
                              .end = End::kClose};
      },
      kManyRepeats);
  const std::string answer = fleet.RawAnswer("/stream/x");
  cr_expect(answer.starts_with("HTTP/1.1 502"), "%s", answer.c_str());
}

// A success that is no stream is passed on as it came, if it comes first.
Test(resumed_streams,
     a_whole_answer_on_a_stream_route_stays_whole,
     .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest&, int) {
    return ScriptedAnswer{
        .pieces = {Chunked("Content-Type: application/json\r\n", "{\"x\":1}")}};
  });
  const std::string answer = fleet.RawAnswer("/stream/x");
  cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_expect(answer.ends_with("\r\n\r\n{\"x\":1}"), "%s", answer.c_str());
}

// The next server began at another place than the one it was asked for.
Test(resumed_streams,
     events_that_do_not_continue_are_not_joined,
     .timeout = 60) {
  ExpectBroken({
      {"no-type", WithLength(200, "", "failed\n\n")},
      {"head-in-body",
       Chunked(kEvents, "HTTP/1.1 500 Failed\r\nX: y\r\n\r\nfailed\n\n")},
      {"unnumbered", Chunked(kEvents, "data: failed\n\n")},
      {"from-start", Chunked(kEvents, Events(1, 6))},
      {"last-again", Chunked(kEvents, Events(3, 6))},
      {"gap", Chunked(kEvents, Events(5, 6))},
      {"unnumbered-first", Chunked(kEvents, "data: failed\n\n" + Events(4, 6))},
  });
}

// All events had arrived and only the end of the stream was lost.
Test(resumed_streams, an_empty_rest_ends_the_stream, .timeout = 60) {
  ScriptedFleet fleet(
      BreaksThen({{"empty", Head(200, std::string(kEvents) +
                                          "Transfer-Encoding: chunked\r\n") +
                                "0\r\n\r\n"},
                  {"rest", Chunked(kEvents, ": ping\n\n" + Events(4, 6))}}),
      kManyRepeats);
  const Stream empty = ReadChunks(fleet.RawAnswer("/stream/empty"));
  cr_expect(empty.whole);
  cr_expect_eq(empty.body, Events(1, 3));
  const Stream rest = ReadChunks(fleet.RawAnswer("/stream/rest"));
  cr_expect(rest.whole);
  cr_expect_eq(rest.body, Events(1, 3) + ": ping\n\n" + Events(4, 6));
}

// Events without ids can't be continued: a second run would repeat them.
Test(resumed_streams, a_stream_without_ids_is_not_resumed, .timeout = 60) {
  ScriptedFleet fleet(
      [](const SeenRequest&, int) {
        return ScriptedAnswer{
            .pieces = {Head(200, std::string(kEvents) +
                                     "Transfer-Encoding: chunked\r\n") +
                       Chunk("data: a\n\ndata: b\n\n")},
            .end = End::kClose};
      },
      kManyRepeats);
  const Stream seen = ReadChunks(fleet.RawAnswer("/stream/x"));
  cr_expect_not(seen.whole);
  cr_expect_eq(seen.body, "data: a\n\ndata: b\n\n", "the caller got '%s'",
               seen.body.c_str());
  cr_expect_eq(fleet.Sends("/stream/x").size(), 1);
}

// A run that repeats an event is given up there; what came before stands, and
// another server goes on.
Test(resumed_streams, a_repeated_event_is_not_passed_on, .timeout = 60) {
  ScriptedFleet fleet(
      [](const SeenRequest& request, int) {
        const std::string body = request.Field("Last-Event-Id") == "3"
                                     ? Events(4, 6)
                                     : Events(1, 3) + Events(2, 6);
        return ScriptedAnswer{.pieces = {Chunked(kEvents, body)}};
      },
      kManyRepeats);
  const Stream seen = ReadChunks(fleet.RawAnswer("/stream/x"));
  cr_expect_eq(seen.body, Events(1, 6), "the caller got '%s'",
               seen.body.c_str());
  cr_expect(seen.whole);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
