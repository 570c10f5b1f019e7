// A client account at several times its rate over all hosts, while one host is
// frozen past its lease and another is killed and replaced; the tokens are
// counted by the engines.
#include <atomic>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/deployment.h"
#include "unittests/support/fleet.h"

namespace mangoport {
namespace {

using std::chrono::duration;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr double kRate = 300;
constexpr double kBurst = 1500;
constexpr int kTokens = 20;
constexpr int kCallersPerHost = 4;

/// Tokens that engines may make again for a request whose host was frozen: its
/// attempts, at most this many, are of one charge.
constexpr int kMaxAttempts = 4;

/// Callers who ask all hosts as fast as they are answered.
class Rush {
 public:
  Rush(const Fleet& fleet, const std::string& key) {
    for (const auto& it : fleet.hosts()) {
      for (int i = 0; i < kCallersPerHost; ++i)
        threads_.emplace_back([this, &host = *it, key] { Run(host, key); });
    }
  }

  void Stop() {
    over_.store(true);
    for (std::thread& it : threads_)
      it.join();
  }

  int whole() const { return whole_.load(); }
  int refused() const { return refused_.load(); }

 private:
  void Run(const TestHost& host, const std::string& key) {
    const std::vector<TestHeader> headers = {
        {"Authorization", "Bearer " + key}};
    while (!over_.load()) {
      const TestReply reply =
          HttpPost(host.callers, "/v1/completions",
                   R"({"model":"m1","prompt":"x","max_tokens":)" +
                       std::to_string(kTokens) + "}",
                   headers, seconds(15));
      whole_ += reply.status == 200 ? 1 : 0;
      refused_ += reply.status == 429 ? 1 : 0;
      if (reply.status != 200)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::atomic<bool> over_{false};
  std::atomic<int> whole_{0};
  std::atomic<int> refused_{0};
  std::vector<std::thread> threads_;
};

double TokensMade(Fleet& fleet, const Deployment& deployment) {
  double tokens = 0;
  for (const std::string& it : deployment.engines) {
    tokens += nlohmann::json::parse(fleet.Stats(it))
                  .at("tokens_produced")
                  .get<double>();
  }
  return tokens;
}

// NOLINTNEXTLINE
Test(budget_process, rate_and_burst_hold_over_all_hosts, .timeout = 180) {
  Fleet fleet;
  const Deployment deployment = StartDeployment(fleet, SmallFleetFile());
  for (int i = 1; i <= 6; ++i) {
    fleet.StartHost("entry-" + std::to_string(i),
                    "zone-" + std::to_string(i % 3 + 1));
    fleet.ListHost(*fleet.hosts().back(), "live");
  }
  fleet.Publish(deployment.fleet_file +
                "[[account]]\nname = \"tight\"\ntemplate = \"standard\"\n"
                "rate = " +
                std::to_string(kRate) + "\nburst = " + std::to_string(kBurst) +
                "\n");
  fleet.AwaitReady();
  const std::string key = fleet.IssueKey("tight");
  const MonoTime start = steady_clock::now();
  Rush rush(fleet, key);
  std::this_thread::sleep_for(seconds(3));
  fleet.host("entry-1").process->Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(8));
  fleet.host("entry-1").process->Signal(SIGCONT);
  fleet.host("entry-2").process->Signal(SIGKILL);
  fleet.RestartHost("entry-2");
  std::this_thread::sleep_for(seconds(4));
  rush.Stop();
  const double elapsed = duration<double>(steady_clock::now() - start).count();
  const double made = TokensMade(fleet, deployment);
  const double bound =
      kBurst + kRate * elapsed + kCallersPerHost * kTokens * (kMaxAttempts - 1);
  std::printf("%.0f tokens in %.1f s, bound %.0f; %d whole, %d refused\n", made,
              elapsed, bound, rush.whole(), rush.refused());
  cr_assert_leq(made, bound, "%f of %f", made, bound);
  cr_assert_gt(rush.refused(), 0);
  // What a cut-off host could still be serving is dealt again in time: well
  // over the burst alone got through.
  cr_assert_gt(made, kBurst + kRate * elapsed / 4, "%f", made);
}

/// The host that holds a budget stream, as its own status says.
TestHost* HolderOf(Fleet& fleet, const std::string& stream) {
  for (const auto& it : fleet.hosts()) {
    const auto status =
        nlohmann::json::parse(fleet.StatusOf(*it), nullptr, false);
    if (status.is_object() && status.contains("budgets") &&
        status["budgets"].contains(stream) &&
        status["budgets"][stream].value("held_here", false))
      return it.get();
  }
  return nullptr;
}

// NOLINTNEXTLINE
Test(budget_process, zone_serves_after_its_dealer_dies, .timeout = 180) {
  Fleet fleet;
  const Deployment deployment = StartDeployment(fleet, SmallFleetFile());
  for (int i = 1; i <= 6; ++i) {
    fleet.StartHost("entry-" + std::to_string(i),
                    "zone-" + std::to_string(i % 3 + 1));
    fleet.ListHost(*fleet.hosts().back(), "live");
  }
  fleet.Publish(deployment.fleet_file);
  fleet.AwaitReady();
  const std::string key = fleet.IssueKey("small");
  TestHost* holder = nullptr;
  cr_assert(Eventually([&] {
    holder = HolderOf(fleet, "budget.zone-1");
    return holder != nullptr;
  }));
  const std::string dead = holder->id;
  holder->process->Signal(SIGKILL);
  fleet.StartHost("entry-7", "zone-1");
  const auto serves = [&](const TestHost& it) {
    return HttpPost(it.callers, "/v1/completions",
                    R"({"model":"m1","prompt":"x","max_tokens":3})",
                    {{"Authorization", "Bearer " + key}})
               .status == 200;
  };
  for (const auto& it : fleet.hosts()) {
    if (it->id == dead)
      continue;
    cr_assert(Eventually([&] { return serves(*it); }), "%s", it->id.c_str());
    // It goes on: the shared pool's dealer is asked for good, not in turns.
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
      refused += serves(*it) ? 0 : 1;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    cr_assert_eq(refused, 0, "%s refused %d of 20", it->id.c_str(), refused);
  }
}

}  // namespace
}  // namespace mangoport
