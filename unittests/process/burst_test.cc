// Many callers at once, as when a balancer moves them over from a lost host.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/deployment.h"
#include "unittests/support/fleet.h"

namespace mangoport {
namespace {

// NOLINTNEXTLINE
Test(burst, every_caller_of_a_burst_is_answered, .timeout = 120) {
  constexpr int kCallers = 300;
  Fleet fleet;
  const Deployment deployment = StartDeployment(fleet, SmallFleetFile());
  fleet.StartHost("entry-1", "zone-1");
  fleet.Publish(deployment.fleet_file);
  fleet.AwaitReady();
  const std::vector<TestHeader> headers = {
      {"Authorization", "Bearer " + fleet.IssueKey("small")}};
  const std::uint16_t port = fleet.host("entry-1").callers;
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const TestReply reply = HttpPost(
          port, "/v1/completions",
          R"({"model":"m1","prompt":"x","max_tokens":40,"stream":true})",
          headers);
      whole += ParseStream(reply.body).whole ? 1 : 0;
    });
  }
  for (std::thread& it : callers)
    it.join();
  cr_assert_eq(whole.load(), kCallers, "%d of %d", whole.load(), kCallers);
}

}  // namespace
}  // namespace mangoport
