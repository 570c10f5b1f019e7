// Changes of the configuration and of the list of servers beside requests at
// each stage: each gets one whole answer or a refusal, and what is at work goes
// on.
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"
#include "unittests/support/raw_connection.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than a change takes to be applied: hosts read the list of servers
/// once a second.
constexpr milliseconds kRunTime{1700};

/// Requests of `Stages` that servers have before a change: those at work and
/// the one that is tried again.
constexpr std::size_t kSentBeforeChange = 4;

constexpr char kStreamHead[] =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
constexpr char kNotRunHead[] = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
constexpr char kOkHead[] = "Content-Length: 2\r\n";

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

/// `text` with `from` replaced by `to`, which must be there.
std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  std::size_t at = text.find(from);
  Require(at != std::string::npos, "no " + from);
  for (; at != std::string::npos; at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

/// A request under way: at which stage, and whether a server has it by then.
struct Stage {
  std::string name;
  std::string path;
  std::string more = {};
  bool at_work = false;
  /// Bytes that are sent only after the change.
  std::size_t held_back = 0;
};

std::vector<Stage> Stages() {
  return {
      {.name = "body arrives", .path = "/read/body", .held_back = 2},
      {.name = "waits for a copy",
       .path = "/stream/wait",
       .more = "X-Model: m1\r\n"},
      {.name = "runs", .path = "/read/run", .at_work = true},
      {.name = "runs once", .path = "/once/run", .at_work = true},
      {.name = "streams", .path = "/stream/run", .at_work = true},
      {.name = "is tried again", .path = "/read/again"},
  };
}

/// A host, two servers and a request at each stage.
class Day {
 public:
  Day() : x_("i-x", Script("i-x")), y_("i-y", Script("i-y")) {
    it_.Unlist(it_.a_.id());
    it_.Unlist(it_.b_.id());
    it_.store_.Put("keyed.op", "config", BaseConfig(2));
    ListServers(x_.Entry("s", "ready"), y_.Entry("s", "ready"));
    Require(EdgeFixture::Within(seconds(10),
                                [this] {
                                  it_.Ask("/read/warm");
                                  return !x_.seen().empty() &&
                                         !y_.seen().empty() &&
                                         Logged("config_applied version=2");
                                }),
            "the scripted servers are not used");
  }

  static std::string BaseConfig(int version) {
    return ConfigWithModel(version, /*load_s=*/1);
  }

  void ListServers(const std::string& x, const std::string& y) {
    it_.store_.Put("keyed.servers", "i-x", x);
    it_.store_.Put("keyed.servers", "i-y", y);
  }

  /// Makes `change` beside a request at each stage and checks their answers.
  void Run(const std::string& name, const std::function<void(Day&)>& change) {
    std::vector<std::future<std::string>> answers;
    for (const Stage& stage : Stages())
      answers.push_back(
          std::async(std::launch::async, [this, stage] { return Ask(stage); }));
    std::this_thread::sleep_for(milliseconds(250));
    Require(EdgeFixture::Within(kRunTime - milliseconds(300),
                                [this] { return AllAreAtWork(); }),
            "the requests do not reach the servers");
    const std::string before = it_.Log();
    change(*this);
    cr_expect(EdgeFixture::Within(kRunTime - milliseconds(250),
                                  [&] { return HasApplied(before.size()); }),
              "%s: not applied", name.c_str());
    for (std::size_t i = 0; i < answers.size(); ++i)
      Check(name, Stages()[i], answers[i].get());
  }

  std::string Ask(const Stage& stage) {
    std::string request = "POST " + stage.path +
                          " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
                          "X-Deadline-Ms: 4900\r\nConnection: close\r\n"
                          "Authorization: Bearer k1\r\n" +
                          stage.more + "Content-Length: 4\r\n\r\nbody";
    const RawConnection connection(it_.callers_);
    const std::size_t first = request.size() - stage.held_back;
    connection.Send(request.substr(0, first));
    if (stage.held_back > 0) {
      std::this_thread::sleep_for(kRunTime);
      connection.Send(request.substr(first));
    }
    return connection.ReceiveAll();
  }

  /// True if the servers have the requests that must be there before a change.
  bool AllAreAtWork() const {
    std::size_t n = 0;
    for (const ScriptedBackend* server : {&x_, &y_}) {
      for (const SeenRequest& it : server->seen())
        n += it.target.ends_with("/run") || it.target == "/read/again" ? 1 : 0;
    }
    return n >= kSentBeforeChange;
  }

  /// True if a change has been applied since the log had `from` bytes.
  bool HasApplied(std::size_t from) const {
    const std::string log = it_.Log();
    return log.find("config_applied", from) != std::string::npos ||
           log.find("server_list", from) != std::string::npos;
  }

  bool Logged(const std::string& text) const {
    return it_.Log().find(text) != std::string::npos;
  }

  EdgeFixture it_;
  ScriptedBackend x_;
  ScriptedBackend y_;

 private:
  static void Check(const std::string& change,
                    const Stage& stage,
                    const std::string& answer) {
    const std::string what = change + ", " + stage.name + ": " + answer;
    cr_expect(IsWhole(answer), "%s", what.c_str());
    if (stage.at_work)
      cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", what.c_str());
  }

  static bool IsWhole(const std::string& answer) {
    const std::size_t body = answer.find("\r\n\r\n");
    if (!answer.starts_with("HTTP/1.1 ") || body == std::string::npos)
      return false;
    constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t at = answer.find(kLength);
    if (at == std::string::npos || at > body)
      return answer.ends_with("0\r\n\r\n");
    return answer.size() - body - 4 ==
           std::stoul(answer.substr(at + kLength.size()));
  }

  ScriptedBackend::Script Script(const std::string& id) {
    return [this, id](const SeenRequest& request, int) {
      return Answer(id, request);
    };
  }

  ScriptedAnswer Answer(const std::string& id, const SeenRequest& request) {
    const std::string& target = request.target;
    const auto head = [&](const char* status, const std::string& more) {
      return "HTTP/1.1 " + std::string(status) +
             " Answer\r\nX-Attempt-Id: id1\r\nX-Server-Seal: " + id + "\r\n" +
             more + "\r\n";
    };
    const std::string ok = head("200", kOkHead) + "ok";
    // The host may go on with a silent stream elsewhere.
    if (target == "/stream/run" && !request.Field("Last-Event-Id").empty())
      return {.pieces = {head("200", kStreamHead) + Chunk(Events(2, 2)) +
                         "0\r\n\r\n"}};
    if (target == "/stream/run")
      return {.pieces = {head("200", kStreamHead) + Chunk(Events(1, 1)),
                         Chunk(Events(2, 2)) + "0\r\n\r\n"},
              .pause = kRunTime};
    if (target.ends_with("/run"))
      return {.pieces = {"", ok}, .pause = kRunTime};
    if (target == "/stream/wait")
      return {.pieces = {head("200", kStreamHead) + Chunk(Events(1, 1)) +
                         "0\r\n\r\n"}};
    if (target == "/read/again" && tries_++ == 0)
      return {.pieces = {"", head("503", kNotRunHead)}, .pause = kRunTime};
    return {.pieces = {ok}};
  }

  std::atomic<int> tries_ = 0;
};

/// One change of the configuration: its name and text.
struct ConfigChange {
  std::string name;
  std::string config;
};

std::vector<ConfigChange> ConfigChanges() {
  const std::string base = Day::BaseConfig(3);
  const std::string limits =
      R"(,"Limits":{"MaxHeaderBytes":64,"MaxBodyBytes":1,)"
      R"("HeaderTimeoutMs":100,"IdleTimeoutMs":100}})";
  const std::string idle =
      R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":100}})";
  const std::size_t engine = base.find(R"(,"Engine")");
  const std::size_t engine_end = base.find("]}}]", engine);
  std::string plain = base;
  plain.erase(engine, engine_end + 2 - engine);
  return {
      {"route moved", Replaced(base, R"("Service":"s")", R"("Service":"t")")},
      {"route removed", Replaced(base, R"("Host":"h")", R"("Host":"other")")},
      {"timeout shorter",
       Replaced(base, R"("TimeoutMs":5000)", R"("TimeoutMs":100)")},
      {"limits smaller", base.substr(0, base.rfind('}')) + limits},
      {"idle time shorter", base.substr(0, base.rfind('}')) + idle},
      {"key withdrawn", Replaced(base, R"("k1")", R"("k2")")},
      {"account renamed", Replaced(base, R"("t1")", R"("t2")")},
      {"quota tiny", Replaced(base, R"("RatePerS":0,"Burst":0)",
                              R"("RatePerS":1,"Burst":1)")},
      {"model dropped", Replaced(base, R"("Name":"m1")", R"("Name":"m2")")},
      {"no engine", plain},
  };
}

/// A server's entry with the model that no server holds at first.
std::string WithModel(const std::string& entry) {
  return Replaced(entry, R"("Seq":1)",
                  R"("Seq":2,"Models":[{"Name":"m1","Version":1}])");
}

// NOLINTBEGIN: Criterion's macros
Test(changes_beside_requests, of_the_configuration, .timeout = 120) {
  for (const ConfigChange& it : ConfigChanges()) {
    Day day;
    day.Run(it.name, [&it](Day& on) {
      on.it_.store_.Put("keyed.op", "config", it.config);
    });
  }
}

// The request was sent once its copy was there, with the key that was gone.
Test(changes_beside_requests,
     a_key_that_is_withdrawn_while_its_request_waits,
     .timeout = 60) {
  Day day;
  const Stage waits{
      .name = "", .path = "/stream/wait", .more = "X-Model: m1\r\n"};
  std::future<std::string> answer =
      std::async(std::launch::async, [&] { return day.Ask(waits); });
  std::this_thread::sleep_for(milliseconds(250));
  day.it_.store_.Put("keyed.op", "config",
                     Replaced(Day::BaseConfig(3), R"("k1")", R"("k2")"));
  cr_assert(EdgeFixture::Within(
      seconds(2), [&] { return day.Logged("config_applied version=3"); }));
  day.ListServers(WithModel(day.x_.Entry("s", "ready")),
                  WithModel(day.y_.Entry("s", "ready")));
  const std::string text = answer.get();
  cr_assert(text.starts_with("HTTP/1.1 401"), "%s", text.c_str());
}

Test(changes_beside_requests, in_quick_succession, .timeout = 60) {
  Day day;
  day.Run("all", [](Day& on) {
    int version = 3;
    for (const ConfigChange& it : ConfigChanges()) {
      const std::string number = R"("Version":)" + std::to_string(version++);
      on.it_.store_.Put("keyed.op", "config",
                        Replaced(it.config, R"("Version":3)", number));
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  cr_expect(day.Logged("config_applied version=12 "));
}

Test(changes_beside_requests, of_the_servers, .timeout = 120) {
  const auto born = [](const std::string& entry) {
    return Replaced(entry, R"("born":1)", R"("born":2)");
  };
  using Change = std::function<void(Day&)>;
  const std::vector<std::pair<std::string, Change>> changes = {
      {"service",
       [](Day& on) {
         on.ListServers(on.x_.Entry("t", "ready"), on.y_.Entry("t", "ready"));
       }},
      {"address",
       [](Day& on) {
         on.ListServers(on.y_.Entry("s", "ready"), on.x_.Entry("s", "ready"));
       }},
      {"start",
       [&born](Day& on) {
         on.ListServers(born(on.x_.Entry("s", "ready")),
                        born(on.y_.Entry("s", "ready")));
       }},
      {"models",
       [](Day& on) {
         on.ListServers(WithModel(on.x_.Entry("s", "ready")),
                        WithModel(on.y_.Entry("s", "ready")));
       }},
      {"drain",
       [](Day& on) {
         on.ListServers(on.x_.Entry("s", "draining"),
                        on.y_.Entry("s", "draining"));
       }},
      {"removal", [](Day& on) { on.ListServers("", ""); }},
      {"removal and return",
       [&born](Day& on) {
         on.ListServers("", "");
         std::this_thread::sleep_for(milliseconds(250));
         on.ListServers(born(on.y_.Entry("s", "ready")),
                        born(on.x_.Entry("s", "ready")));
       }},
  };
  for (const auto& [name, change] : changes) {
    Day day;
    day.Run(name, change);
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
