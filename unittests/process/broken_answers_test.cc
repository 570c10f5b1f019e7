// Backend servers whose answers are no HTTP/1.1: callers must not get them, nor
// wait for them until their deadline.
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

constexpr char kIds[] = "X-Attempt-Id: id1\r\nX-Server-Seal: s\r\n";
constexpr char kBody[] = "Content-Length: 3\r\n\r\nbad";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";
constexpr char kManyRepeats[] = "repeat_ratio = 1\nrepeat_extra = 100\n";

/// One form of a broken answer.
struct Form {
  /// The end of the request's path.
  std::string name;
  std::string bytes;
};

/// An answer whose head begins with `line`.
std::string WithStatusLine(const std::string& line) {
  return line + "\r\n" + kIds + kBody;
}

/// An answer in whose head `line` stands behind the signature.
std::string WithLine(const std::string& line) {
  return std::string("HTTP/1.1 200 OK\r\n") + kIds + line + "\r\n" + kBody;
}

std::string WithChunks(const std::string& body) {
  return std::string("HTTP/1.1 200 OK\r\n") + kIds + kChunked + body;
}

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

/// The chunk without the end of its line.
std::string WithoutEnd(std::string chunk) {
  chunk.resize(chunk.size() - 2);
  return chunk;
}

/// Both servers answer with the form that the path names, but well to a second
/// request for a path below "/read/" or "/stream/".
class BrokenFleet {
 public:
  explicit BrokenFleet(const std::vector<Form>& forms)
      : forms_(forms),
        fleet_([this](const SeenRequest& it, int) { return Next(it); },
               kManyRepeats) {}

  /// Asks for the form on each kind of route. What may be repeated is served
  /// by the second answer.
  void Expect(const Form& form) {
    ExpectFailed(form);
    ExpectServed("/read/" + form.name, "ok");
    ExpectServed("/stream/" + form.name, Events(1, 2));
    fleet_.Warm();
  }

 private:
  ScriptedAnswer Next(const SeenRequest& request) {
    const std::lock_guard lock(mutex_);
    const bool first = answers_[request.target]++ == 0;
    const std::size_t last = request.target.rfind('/');
    const std::string route = request.target.substr(0, last);
    if (!first && route == "/read")
      return {.pieces = {ScriptedFleet::GoodAnswer()}};
    if (!first && route == "/stream")
      return {.pieces = {std::string("HTTP/1.1 200 OK\r\n") + kIds +
                         "Content-Type: text/event-stream\r\nContent-Length: " +
                         std::to_string(Events(1, 2).size()) + "\r\n\r\n" +
                         Events(1, 2)}};
    for (const Form& it : forms_) {
      if (it.name == request.target.substr(last + 1))
        return {.pieces = {it.bytes}};
    }
    return {.pieces = {ScriptedFleet::GoodAnswer()}};
  }

  /// What runs once is sent once, and fails before its deadline.
  void ExpectFailed(const Form& form) {
    const std::string path = "/once/" + form.name;
    const auto reply = fleet_.Ask(path);
    cr_assert(reply, "%s: no answer", path.c_str());
    cr_expect_eq(reply->status, 502, "%s: the caller got %d %s", path.c_str(),
                 reply->status, reply->body.c_str());
    cr_expect_neq(reply->body.find("\"not_run\":false"), std::string::npos,
                  "%s: %s", path.c_str(), reply->body.c_str());
    cr_expect_not(reply->has_header("X-Server-Seal"), "%s", path.c_str());
    cr_expect_eq(fleet_.Sends(path).size(), 1, "%s", path.c_str());
  }

  void ExpectServed(const std::string& path, const std::string& body) {
    const auto reply = fleet_.Ask(path);
    cr_assert(reply, "%s: no answer", path.c_str());
    cr_expect_eq(reply->status, 200, "%s: the caller got %d %s", path.c_str(),
                 reply->status, reply->body.c_str());
    cr_expect_eq(reply->body, body, "%s: the caller got %s", path.c_str(),
                 reply->body.c_str());
    cr_expect_geq(fleet_.Sends(path).size(), 2, "%s: the form was not sent",
                  path.c_str());
  }

  std::vector<Form> forms_;
  std::mutex mutex_;
  std::map<std::string, int> answers_;
  ScriptedFleet fleet_;
};

void ExpectNotPassedOn(const std::vector<Form>& forms) {
  BrokenFleet fleet(forms);
  for (const Form& it : forms)
    fleet.Expect(it);
}

// NOLINTBEGIN: Criterion's macros
// An interim head was taken from them: callers waited until their deadline.
Test(broken_answers, a_status_below_100_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn({{"000", WithStatusLine("HTTP/1.1 000 Odd")},
                     {"099", WithStatusLine("HTTP/1.1 099 Odd")},
                     {"20", WithStatusLine("HTTP/1.1 20 Odd")}});
}

// The answer that followed a status of 000 was passed on.
Test(broken_answers, nothing_is_read_behind_a_status_of_000, .timeout = 60) {
  const std::string good = ScriptedFleet::GoodAnswer();
  ExpectNotPassedOn({{"bare", "HTTP/1.1 000 Odd\r\n\r\n" + good},
                     {"body", WithStatusLine("HTTP/1.1 000 Odd") + good}});
}

// "0200" was passed on as 200.
Test(broken_answers, a_status_has_three_digits, .timeout = 60) {
  ExpectNotPassedOn({{"0200", WithStatusLine("HTTP/1.1 0200 OK")},
                     {"00404", WithStatusLine("HTTP/1.1 00404 None")}});
}

// Callers waited for the answer until their deadline.
Test(broken_answers, a_switch_of_protocols_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn({{"101", "HTTP/1.1 101 Switching\r\n\r\n"},
                     {"upgrade",
                      "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
                      "Upgrade: x\r\n\r\n"}});
}

// Passed on with their status, which callers cannot know.
Test(broken_answers, a_status_above_599_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn({{"600", WithStatusLine("HTTP/1.1 600 Odd")},
                     {"999", WithStatusLine("HTTP/1.1 999 Odd")}});
}

// Callers got the signature "s X-Bad: 1".
Test(broken_answers, a_continued_line_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn(
      {{"blank", WithLine(" X-Bad: 1")}, {"tab", WithLine("\tX-Bad: 1")}});
}

Test(broken_answers, another_version_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn({{"9.9", WithStatusLine("HTTP/9.9 200 OK")},
                     {"2.0", WithStatusLine("HTTP/2.0 200 OK")}});
}

// Passed on in the reason, or what followed was passed on as a field.
Test(broken_answers, a_control_byte_in_the_reason_ends_it, .timeout = 60) {
  ExpectNotPassedOn({{"lf", WithStatusLine("HTTP/1.1 200 O\nX-Bad: 1")},
                     {"cr", WithStatusLine("HTTP/1.1 200 O\rX-Bad: 1")},
                     {"esc", WithStatusLine("HTTP/1.1 200 O\x1bK")}});
}

Test(broken_answers, a_bad_name_or_value_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn({{"blank", WithLine("X Bad: 1")},
                     {"before-colon", WithLine("X-Bad : 1")},
                     {"control", WithLine("X-\x01: 1")},
                     {"value", WithLine("X-Bad: \x01")},
                     {"length", WithLine("Content-Length : 1")}});
}

// Callers got a whole answer with a body that was not sent.
Test(broken_answers, a_chunk_without_its_end_is_not_whole, .timeout = 60) {
  ExpectNotPassedOn({{"other", WithChunks("3\r\nbadXX0\r\n\r\n")},
                     {"long", WithChunks("3\r\nbadly\r\n0\r\n\r\n")},
                     {"size", WithChunks("3 3\r\nbad\r\n0\r\n\r\n")}});
}

Test(broken_answers, a_bad_trailer_ends_the_attempt, .timeout = 60) {
  ExpectNotPassedOn(
      {{"name", WithChunks("3\r\nbad\r\n0\r\nX Bad: 1\r\n\r\n")},
       {"blank", WithChunks("3\r\nbad\r\n0\r\n X-Bad: 1\r\n\r\n")}});
}

// A bad interim head is no sound one.
Test(broken_answers, a_bad_interim_head_ends_the_attempt, .timeout = 60) {
  const std::string good = ScriptedFleet::GoodAnswer();
  ExpectNotPassedOn(
      {{"name", "HTTP/1.1 103 Hints\r\nX Bad: 1\r\n\r\n" + good},
       {"blank", "HTTP/1.1 103 Hints\r\n X-Bad: 1\r\n\r\n" + good},
       {"version", "HTTP/3.1 100 Continue\r\n\r\n" + good}});
}

Test(sound_answers, behind_interim_heads_are_passed_on, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest&, int) {
    return ScriptedAnswer{
        .pieces = {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                   "Link: </a>\r\n\r\n" +
                   ScriptedFleet::GoodAnswer()}};
  });
  for (const char* path : {"/once/x", "/read/x"}) {
    const auto reply = fleet.Ask(path);
    cr_assert(reply && reply->status == 200, "%s", path);
    cr_expect_eq(reply->body, "ok");
    cr_expect_not(reply->has_header("Link"));
  }
}

// The body whose length a 304 names was waited for until the deadline.
Test(sound_answers, a_304_ends_with_its_head, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest&, int) {
    return ScriptedAnswer{.pieces = {std::string("HTTP/1.1 304 Same\r\n") +
                                     kIds + "Content-Length: 9\r\n\r\n"}};
  });
  for (const char* path : {"/once/x", "/read/x"}) {
    const auto reply = fleet.Ask(path);
    cr_assert(reply);
    cr_expect_eq(reply->status, 304, "%s: the caller got %d", path,
                 reply->status);
  }
}

// A server that never gets beyond interim heads is left by the deadline, and
// what it sends is not gathered.
Test(broken_answers, interim_heads_without_end_are_left, .timeout = 60) {
  constexpr std::size_t kMemoryBytes = std::size_t{182} * 1024 * 1024;
  std::string heads;
  for (int i = 0; i < 100; ++i)
    heads += "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  ScriptedFleet fleet([&heads](const SeenRequest& request, int) {
    const bool bad = request.target.ends_with("/bad");
    return ScriptedAnswer{.pieces = {bad ? heads : ScriptedFleet::GoodAnswer()},
                          .endless = bad};
  });
  const auto reply = fleet.Ask("/once/bad");
  cr_assert(reply);
  cr_expect_geq(reply->status, 502, "the caller got %d", reply->status);
  cr_expect_neq(reply->body.find("\"not_run\":false"), std::string::npos);
  cr_expect_eq(fleet.Sends("/once/bad").size(), 1);
  const auto next = fleet.Ask("/once/good");
  cr_expect(next && next->status == 200);
  cr_expect_lt(fleet.host().process_->PeakMemory(), kMemoryBytes);
}

// What followed an answer on its connection reaches no other caller.
Test(broken_answers, bytes_behind_an_answer_reach_nobody, .timeout = 60) {
  ScriptedFleet fleet([](const SeenRequest& request, int) {
    const bool bad = request.target.ends_with("/bad");
    return ScriptedAnswer{.pieces = {ScriptedFleet::GoodAnswer() +
                                     (bad ? "HTTP/1.1 000 Odd\r\n\r\n" : "")}};
  });
  for (int i = 0; i < 5; ++i) {
    for (const char* path : {"/once/bad", "/once/good", "/read/good"}) {
      const auto reply = fleet.Ask(path);
      cr_assert(reply && reply->status == 200, "%s", path);
      cr_expect_eq(reply->body, "ok");
    }
  }
}

// Only the events before the break stand; the rest comes from elsewhere.
Test(broken_answers, a_stream_with_a_broken_chunk_goes_on, .timeout = 60) {
  std::atomic<int> answers{0};
  ScriptedFleet fleet(
      [&answers](const SeenRequest& request, int) {
        const std::string head = std::string("HTTP/1.1 200 OK\r\n") + kIds +
                                 "Content-Type: text/event-stream\r\n" +
                                 kChunked;
        if (answers++ == 0)
          return ScriptedAnswer{
              .pieces = {head + WithoutEnd(Chunk(Events(1, 3))),
                         "XX" + Chunk(Events(4, 5)) + "0\r\n\r\n"},
              .pause = std::chrono::milliseconds(100)};
        // A host that was slow to read has passed on none of the events.
        const int next = request.Field("Last-Event-Id") == "3" ? 4 : 1;
        return ScriptedAnswer{
            .pieces = {head + Chunk(Events(next, 6)) + "0\r\n\r\n"}};
      },
      kManyRepeats);
  const auto reply = fleet.Ask("/stream/x");
  cr_assert(reply);
  cr_expect_eq(reply->body, Events(1, 6), "the caller got %s",
               reply->body.c_str());
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
