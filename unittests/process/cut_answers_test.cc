// Backend servers that stop in the middle of an answer and close or reset the
// connection: callers must never get it as a whole one.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/scripted_fleet.h"

namespace mangoport {
namespace {

using End = ScriptedAnswer::End;

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n";
constexpr char kManyRepeats[] = "repeat_ratio = 1\nrepeat_extra = 1000\n";

/// An answer and the places at which it is cut.
struct Case {
  std::string name;
  std::string bytes;
  std::vector<std::size_t> cuts;
};

/// Cuts in every part of `bytes` but its end.
Case CutEverywhere(const std::string& name, const std::string& bytes) {
  constexpr std::size_t kStep = 7;
  Case out{name, bytes, {}};
  for (std::size_t at = 0; at < bytes.size(); at += kStep)
    out.cuts.push_back(at);
  for (std::size_t left = 1; left <= 6; ++left)
    out.cuts.push_back(bytes.size() - left);
  return out;
}

/// The answers whose end is stated, cut everywhere, and one whose end is that
/// of its connection, cut in its head.
std::vector<Case> Cases() {
  const std::string events = Events(1, 2);
  const std::string length =
      "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", events.size());
  const std::string chunk =
      "Transfer-Encoding: chunked\r\n\r\n" + (size + events) + "\r\n";
  Case unframed{"unframed", std::string(kHead) + "\r\n", {}};
  for (std::size_t left = 1; left < unframed.bytes.size(); left += 5)
    unframed.cuts.push_back(unframed.bytes.size() - left);
  return {CutEverywhere("length", kHead + length + events),
          CutEverywhere("chunks", kHead + chunk + "0\r\n\r\n"),
          CutEverywhere("trailer", kHead + chunk + "0\r\nX-End: 1\r\n\r\n"),
          unframed};
}

/// Cuts case and place as the path "/route/case/place" names them.
ScriptedBackend::Script Cut(End end) {
  return [end, cases = Cases()](const SeenRequest& request, int) {
    const std::size_t slash = request.target.rfind('/');
    const std::size_t at = std::stoul(request.target.substr(slash + 1));
    for (const Case& it : cases) {
      if (request.target.substr(0, slash).ends_with("/" + it.name))
        return ScriptedAnswer{.pieces = {it.bytes.substr(0, at)}, .end = end};
    }
    throw std::runtime_error("no case for " + request.target);
  };
}

/// True if the bytes are a success that a caller takes for whole.
bool LooksWhole(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 2") &&
         (answer.find("Content-Length:") != std::string::npos ||
          answer.ends_with("0\r\n\r\n"));
}

void ExpectNoneWhole(const std::string& route, End end) {
  ScriptedFleet fleet(Cut(end), kManyRepeats);
  for (const Case& it : Cases()) {
    for (const std::size_t at : it.cuts) {
      const std::string path =
          "/" + route + "/" + it.name + "/" + std::to_string(at);
      fleet.Warm();
      const std::string answer = fleet.RawAnswer(path);
      cr_expect_not(LooksWhole(answer), "%s: %s", path.c_str(), answer.c_str());
      cr_expect_gt(fleet.Sends(path).size(), 0, "%s: not sent", path.c_str());
    }
  }
}

// NOLINTBEGIN: Criterion's macros
Test(cut_answers, a_close_makes_no_whole_answer_on_run_once, .timeout = 120) {
  ExpectNoneWhole("once", End::kClose);
}

Test(cut_answers, a_close_makes_no_whole_answer_on_idempotent, .timeout = 120) {
  ExpectNoneWhole("read", End::kClose);
}

Test(cut_answers, a_close_makes_no_whole_answer_on_streams, .timeout = 120) {
  ExpectNoneWhole("stream", End::kClose);
}

Test(cut_answers, a_reset_makes_no_whole_answer_on_run_once, .timeout = 120) {
  ExpectNoneWhole("once", End::kReset);
}

Test(cut_answers, a_reset_makes_no_whole_answer_on_streams, .timeout = 120) {
  ExpectNoneWhole("stream", End::kReset);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
