// Whole sessions of callers and operators against real processes, compared
// with golden files.
#include <csignal>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/deployment.h"
#include "unittests/support/fleet.h"
#include "unittests/support/transcript.h"

namespace mangoport {
namespace {

constexpr double kTimeoutSeconds = 120;

std::vector<TestHeader> Bearer(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

/// Starts the small deployment with one host in each availability zone.
std::string StartSmall(Fleet& fleet) {
  const Deployment deployment = StartDeployment(fleet, SmallFleetFile());
  for (int i = 1; i <= 3; ++i) {
    fleet.StartHost("entry-" + std::to_string(i), "zone-" + std::to_string(i));
    fleet.ListHost(*fleet.hosts().back(), "live");
  }
  return deployment.fleet_file;
}

// NOLINTNEXTLINE
Test(golden_session, caller, .timeout = kTimeoutSeconds) {
  Fleet fleet;
  fleet.Publish(StartSmall(fleet));
  fleet.AwaitReady();
  const std::string key = fleet.IssueKey("small");
  const std::uint16_t port = fleet.host("entry-1").callers;
  Transcript session(fleet);
  const auto call = [&](const std::string& path, const std::string& body,
                        const std::vector<TestHeader>& headers) {
    constexpr std::size_t kShown = 200;
    const std::string shown =
        body.size() <= kShown ? body : std::to_string(body.size()) + " bytes";
    session.Call("POST " + path + " " + shown,
                 HttpPost(port, path, body, headers));
  };
  session.Call("GET /v1/models", HttpGet(port, "/v1/models", Bearer(key)));
  call("/v1/completions", R"({"model":"m1","prompt":"hello","max_tokens":4})",
       Bearer(key));
  call("/v1/completions",
       R"({"model":"m1","prompt":"hello","max_tokens":4,"stream":true})",
       Bearer(key));
  call("/v1/chat/completions",
       R"({"model":"m2","messages":[{"role":"user","content":"hi"}],)"
       R"("max_tokens":3})",
       Bearer(key));
  session.Note("Everything that is refused says so in one shape.");
  call("/v1/completions", R"({"model":"m1","prompt":"x"})", {});
  call("/v1/completions", R"({"model":"m1","prompt":"x"})",
       Bearer("mp_000000000000_00"));
  call("/v1/completions", R"({"model":"m9","prompt":"x"})", Bearer(key));
  call("/v1/completions", R"({"model":"m1:a9","prompt":"x"})", Bearer(key));
  call("/v1/completions", R"({"model":"m1","prompt":7})", Bearer(key));
  call("/v1/completions", R"({"model":"m1","prompt":"x","max_tokens":0})",
       Bearer(key));
  call("/v1/completions", R"({"model":)", Bearer(key));
  call("/v1/completions", "\"" + std::string(1100000, 'x') + "\"", Bearer(key));
  session.Call("GET /nowhere", HttpGet(port, "/nowhere", Bearer(key)));
  session.Note("A route that is open to all needs no key.");
  call("/calls/open", R"({"reference":"hours"})", {});
  call("/calls/read", R"({"reference":"status"})", {});
  call("/calls/read", R"({"reference":"status"})", Bearer(key));
  session.Note("A query reaches the service, which counts it apart.");
  call("/calls/read?item=7", R"({"reference":"status"})", Bearer(key));
  call("/calls/read?item=7", R"({"reference":"status"})", Bearer(key));
  cr_assert(session.MatchesGolden("caller_session.txt"));
}

// NOLINTNEXTLINE
Test(golden_session, operator_commands, .timeout = kTimeoutSeconds) {
  Fleet fleet;
  const std::string text = StartSmall(fleet);
  Transcript session(fleet);
  const auto run = [&](const std::string& line,
                       const std::vector<std::string>& arguments) {
    session.Command(line, fleet.Run(arguments));
  };
  const std::string file = fleet.WriteFile("fleet.toml", text);
  const std::string slip = fleet.WriteFile(
      "slip.toml",
      "[[account]]\nname = \"late\"\ntemplte = \"standard\"\nrate = -3\n");
  const std::string lonely = fleet.WriteFile(
      "lonely.toml", "[[account]]\nname = \"late\"\ntemplate = \"nothing\"\n");
  const std::string rates = fleet.WriteFile(
      "rates.toml",
      "[[account]]\nname = \"small\"\ntemplate = \"standard\"\nrate = 5\n");
  run("check slip.toml", {"check", slip});
  run("check fleet.toml", {"check", file});
  run("diff fleet.toml", {"diff", file});
  run("publish fleet.toml", {"publish", file});
  run("publish fleet.toml", {"publish", file});
  run("publish lonely.toml", {"publish", lonely});
  run("diff rates.toml", {"diff", rates});
  run("publish rates.toml", {"publish", rates});
  const std::string key = fleet.IssueKey("small");
  const std::size_t start = key.find('_') + 1;
  const std::string id = key.substr(start, key.find('_', start) - start);
  run("key issue nobody", {"key", "issue", "nobody"});
  run("key withdraw ID", {"key", "withdraw", id, "--reason", "left"});
  run("key withdraw 123", {"key", "withdraw", "123"});
  session.Note("The withdrawn key is refused on every host.");
  for (const auto& it : fleet.hosts())
    session.Call("GET /v1/models at " + it->id,
                 HttpGet(it->callers, "/v1/models", Bearer(key)));
  // The trail is appended behind the answer.
  cr_assert(Eventually([&fleet] {
    return fleet.Run({"explain", "entry-2"}).exit_code == 0;
  }));
  run("explain entry-2", {"explain", "entry-2"});
  run("pubish", {"pubish"});
  cr_assert(session.MatchesGolden("operator_session.txt"));
}

}  // namespace
}  // namespace mangoport
