// Answers of backend servers that end with their connection, and streams that
// end inside an event.
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <utility>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr const char* kCutEvent = "id: 4\ndata: tok";
constexpr const char* kLastChunk = "\r\n0\r\n\r\n";
constexpr const char* kStreamRequest =
    "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
    "Authorization: Bearer k1\r\nConnection: close\r\n"
    "Content-Length: 4\r\n\r\nbody";

/// What marks the end of an answer's body.
enum class Framing { kChunks, kLength, kConnection };

ScriptedAnswer Framed(const ScriptedBackend& server,
                      const SeenRequest& request,
                      Framing framing,
                      const std::string& body) {
  const std::string size = std::to_string(body.size());
  switch (framing) {
    case Framing::kChunks: {
      char hex[16];
      std::snprintf(hex, sizeof(hex), "%zx\r\n", body.size());
      return {.pieces = {
                  server.Head(request, 200, "Transfer-Encoding: chunked\r\n"),
                  hex + body + kLastChunk}};
    }
    case Framing::kLength:
      return {.pieces = {
                  server.Head(request, 200, "Content-Length: " + size + "\r\n"),
                  body}};
    case Framing::kConnection:
      return {.pieces = {server.Head(request, 200, ""), body},
              .end = ScriptedAnswer::End::kClose};
  }
  return {};
}

/// A host with two scripted servers, over which the first answer is `first` and
/// all others are `later`.
class ScriptedEdge {
 public:
  ScriptedEdge(Framing framing, std::string first, std::string later)
      : framing_(framing),
        first_(std::move(first)),
        later_(std::move(later)),
        c_("i-c", [this](const SeenRequest& it, int) { return Next(c_, it); }),
        d_("i-d", [this](const SeenRequest& it, int) { return Next(d_, it); }) {
    edge_.List(c_, "ready");
    edge_.List(d_, "ready");
    edge_.Unlist("i-a");
    edge_.Unlist("i-b");
    Require(EdgeFixture::Within(seconds(10),
                                [this] {
                                  edge_.Ask("/read/x");
                                  return !c_.seen().empty() &&
                                         !d_.seen().empty();
                                }),
            "the scripted servers are not used");
    Require(EdgeFixture::Within(seconds(10), [this] { return OnlyScripted(); }),
            "the fixture's servers are still used");
    testing_ = true;
  }

  EdgeFixture edge_;

 private:
  bool OnlyScripted() const {
    const std::size_t before = edge_.SeenInAll();
    for (int i = 0; i < 8; ++i)
      edge_.Ask("/read/x");
    return edge_.SeenInAll() == before;
  }

  ScriptedAnswer Next(const ScriptedBackend& server, const SeenRequest& it) {
    if (!testing_)
      return Framed(server, it, Framing::kLength, "setting up");
    return Framed(server, it, framing_, answers_++ == 0 ? first_ : later_);
  }

  Framing framing_;
  std::string first_;
  std::string later_;
  std::atomic<int> answers_{0};
  std::atomic<bool> testing_{false};
  ScriptedBackend c_;
  ScriptedBackend d_;
};

void ExpectResumed(Framing framing) {
  const ScriptedEdge it(framing, Events(1, 3) + kCutEvent, Events(4, 6));
  const auto reply = it.edge_.Ask("/stream/x");
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6), "%s", reply->body.c_str());
}

void ExpectBroken(Framing framing) {
  const std::string cut = Events(1, 3) + kCutEvent;
  const ScriptedEdge it(framing, cut, kCutEvent);
  const std::string answer = it.edge_.Raw(kStreamRequest);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert_eq(answer.find(kLastChunk), std::string::npos, "%s",
               answer.c_str());
  cr_assert_eq(answer.find(kCutEvent), std::string::npos, "%s", answer.c_str());
}

// NOLINTBEGIN: Criterion's macros
Test(unframed_answer,
     answer_that_ends_with_its_connection_is_whole,
     .timeout = 60) {
  const ScriptedEdge it(Framing::kConnection, "whole answer", "another");
  const auto reply = it.edge_.Ask("/read/x");
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, "whole answer");
}

Test(unframed_answer,
     stream_that_ends_with_its_connection_is_whole,
     .timeout = 60) {
  const ScriptedEdge it(Framing::kConnection, Events(1, 6), "another");
  const auto reply = it.edge_.Ask("/stream/x");
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6));
}

// A stream cut inside an event was passed on as a complete one.
Test(unframed_answer,
     stream_cut_inside_an_event_at_a_close_goes_on_elsewhere,
     .timeout = 60) {
  ExpectResumed(Framing::kConnection);
}

Test(unframed_answer,
     stream_cut_inside_an_event_in_chunks_goes_on_elsewhere,
     .timeout = 60) {
  ExpectResumed(Framing::kChunks);
}

Test(unframed_answer,
     stream_cut_inside_an_event_by_length_goes_on_elsewhere,
     .timeout = 60) {
  ExpectResumed(Framing::kLength);
}

// A server that ended after the head of a stream without a length, or of its
// resumption, left an answer that looked complete.
Test(unframed_answer,
     stream_without_events_that_ends_with_its_connection_broke,
     .timeout = 60) {
  const ScriptedEdge none(Framing::kConnection, "", Events(1, 6));
  const auto reply = none.edge_.Ask("/stream/x");
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6), "%s", reply->body.c_str());
  const ScriptedEdge some(Framing::kConnection, Events(1, 3) + kCutEvent, "");
  const std::string answer = some.edge_.Raw(kStreamRequest);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert_eq(answer.find(kLastChunk), std::string::npos, "%s",
               answer.c_str());
}

// A comment keeps a connection; it is no event that a stream could end behind.
Test(unframed_answer,
     a_close_behind_a_comment_is_no_whole_stream,
     .timeout = 60) {
  constexpr const char* kPing = ": ping\n\n";
  const ScriptedEdge resumed(Framing::kConnection, kPing, Events(1, 6));
  const auto reply = resumed.edge_.Ask("/stream/x");
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, kPing + Events(1, 6), "%s", reply->body.c_str());
  const ScriptedEdge never(Framing::kConnection, kPing, kPing);
  const std::string answer = never.edge_.Raw(kStreamRequest);
  cr_assert_eq(answer.find(kLastChunk), std::string::npos, "%s",
               answer.c_str());
}

Test(unframed_answer,
     stream_cut_inside_an_event_never_looks_complete,
     .timeout = 60) {
  ExpectBroken(Framing::kConnection);
  ExpectBroken(Framing::kChunks);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
