// Backend servers that go silent, are killed, crash on one request or leave,
// as real processes.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "unittests/support/deployment.h"
#include "unittests/support/fleet.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kMarker[] = "BOOM";

/// Three entry hosts, one a zone, before six engines.
class FailureFleet {
 public:
  explicit FailureFleet(const std::vector<std::string>& engine_flags)
      : deployment_(StartDeployment(fleet_, SmallFleetFile(), engine_flags)) {
    for (const char* it : {"1", "2", "3"})
      fleet_.StartHost(std::string("entry-") + it, std::string("zone-") + it);
    fleet_.Publish(deployment_.fleet_file);
    fleet_.AwaitReady();
    headers_ = {{"Authorization", "Bearer " + fleet_.IssueKey("small")}};
    AwaitEngines();
  }

  TestReply Ask(const std::string& host, const std::string& prompt) {
    const nlohmann::json body = {{"model", "m1"},
                                 {"prompt", prompt},
                                 {"max_tokens", 60},
                                 {"stream", true}};
    return HttpPost(fleet_.host(host).callers, "/v1/completions", body.dump(),
                    headers_);
  }

  StreamedText AskForStream(const std::string& host,
                            const std::string& prompt) {
    return ParseStream(Ask(host, prompt).body);
  }

  std::int64_t Crashed() {
    return std::count_if(deployment_.engines.begin(), deployment_.engines.end(),
                         [this](const std::string& it) {
                           return !fleet_.standin(it).process->running();
                         });
  }

  std::uint64_t TokensOf(const std::string& engine) {
    return nlohmann::json::parse(fleet_.Stats(engine))
        .value("tokens_produced", std::uint64_t{0});
  }

  Fleet& fleet() { return fleet_; }
  const Deployment& deployment() const { return deployment_; }

 private:
  /// Until every host has been answered by an engine.
  void AwaitEngines() {
    for (const char* it : {"entry-1", "entry-2", "entry-3"})
      Eventually([&] { return AskForStream(it, "warm up").whole; });
  }

  Fleet fleet_;
  Deployment deployment_;
  std::vector<TestHeader> headers_;
};

// NOLINTNEXTLINE
Test(failure, silent_stream_is_resumed_with_the_right_tokens, .timeout = 120) {
  FailureFleet fleet({});
  const StreamedText expected = fleet.AskForStream("entry-1", "provenance");
  cr_assert(expected.whole);
  for (const std::string& it : fleet.deployment().engines)
    fleet.fleet().Fault(it, R"({"kind":"freeze_after","value":11,"count":1})");
  const StreamedText actual = fleet.AskForStream("entry-1", "provenance");
  cr_assert(actual.whole);
  cr_assert_str_eq(actual.text.c_str(), expected.text.c_str());
}

// NOLINTNEXTLINE
Test(failure, stream_outlives_its_engines_death, .timeout = 120) {
  FailureFleet fleet({"--token-ms", "20"});
  const StreamedText expected = fleet.AskForStream("entry-1", "provenance");
  StreamedText actual;
  std::thread caller(
      [&] { actual = fleet.AskForStream("entry-1", "provenance"); });
  std::this_thread::sleep_for(milliseconds(400));
  // The engines of the caller's own availability zone.
  for (const char* it : {"engine-1", "engine-4"})
    fleet.fleet().standin(it).process->Signal(SIGKILL);
  caller.join();
  cr_assert(actual.whole);
  cr_assert_str_eq(actual.text.c_str(), expected.text.c_str());
}

// NOLINTNEXTLINE
Test(failure, poisonous_request_crashes_two_engines_at_most, .timeout = 180) {
  FailureFleet fleet({"--crash-on", kMarker});
  const std::string prompt =
      std::string("Condition report for loan 4711, ") + kMarker;
  const std::vector<std::string> disguises = {
      prompt, "  " + prompt, prompt + " .",
      "CONDITION report for loan 4711, " + std::string(kMarker)};
  for (int i = 0; i < 9; ++i) {
    const std::string host = "entry-" + std::to_string(i % 3 + 1);
    const TestReply reply =
        fleet.Ask(host, disguises[static_cast<std::size_t>(i) % 4]);
    cr_assert_not(ParseStream(reply.body).whole);
  }
  cr_expect_leq(fleet.Crashed(), 2);
  TestReply last;
  const bool quarantined = Eventually(
      [&] {
        last = fleet.Ask("entry-2", prompt);
        return last.body.find("quarantined") != std::string::npos;
      },
      seconds(10));
  cr_expect(quarantined, "%s", last.body.c_str());
  cr_expect_neq(last.body.find("\"not_run\":true"), std::string::npos);
  cr_expect_leq(fleet.Crashed(), 2);
  // Another loan's report differs in a digit and lacks the marker.
  const StreamedText look_alike =
      fleet.AskForStream("entry-3", "Condition report for loan 4712, BOON");
  cr_expect(look_alike.whole);
}

// NOLINTNEXTLINE
Test(failure, leaving_server_gets_no_new_work, .timeout = 120) {
  FailureFleet fleet({});
  fleet.fleet().ListServer("engine-1", "zone-1", "leaving");
  // The list's lag of a second, and reading it.
  std::this_thread::sleep_for(seconds(4));
  const std::uint64_t before = fleet.TokensOf("engine-1");
  for (int i = 0; i < 30; ++i)
    cr_assert(fleet.AskForStream("entry-1", "note " + std::to_string(i)).whole);
  cr_assert_eq(fleet.TokensOf("engine-1"), before);
}

}  // namespace
}  // namespace mangoport
