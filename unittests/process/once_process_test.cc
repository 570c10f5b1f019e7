// Calls that may not be repeated, on real processes: the plain service's own
// count of runs is compared with what callers were told.
#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/fleet.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr double kTimeoutSeconds = 120;
constexpr const char* kService = "records";

/// What one caller was told.
struct Story {
  int status = 0;
  std::string body;
  std::string code;
  bool not_run = false;
};

/// Three entry hosts before one plain server.
class PayoutFleet {
 public:
  explicit PayoutFleet(const std::vector<std::string>& log_flags = {},
                       const std::string& claims = "") {
    fleet_.StartStandin("log", "log", log_flags);
    fleet_.StartStandin("hosts", "hosts");
    const std::uint16_t port = fleet_.StartStandin("plain", kService).port;
    for (int i = 1; i <= 3; ++i)
      fleet_.StartHost("entry-" + std::to_string(i),
                       "zone-" + std::to_string(i),
                       "[claims]\noutcome_wait_ms = 3000\n"
                       "claim_wait_ms = 1500\n" +
                           claims);
    fleet_.Publish(
        "[[template]]\nname = \"standard\"\nroutes = [\"*\"]\nrate = 1000000\n"
        "burst = 1000000\n[[account]]\nname = \"gallery\"\n"
        "template = \"standard\"\n[[route]]\npath = \"/calls/pay\"\n"
        "service = \"records\"\n[[server]]\nname = \"records\"\n"
        "kind = \"plain\"\nservice = \"records\"\n"
        "availability_zone = \"zone-1\"\naddress = \"127.0.0.1:" +
        std::to_string(port) + "\"\n");
    fleet_.AwaitReady();
    key_ = fleet_.IssueKey("gallery");
    for (std::size_t i = 0; i < 3; ++i)
      Eventually([this, i] { return Pay(i, "warm-up").status == 200; });
  }

  Story Pay(std::size_t host,
            const std::string& reference,
            const std::string& amount = "1200") const {
    const TestReply reply = HttpPost(
        fleet_.hosts()[host]->callers, "/calls/pay",
        nlohmann::json({{"reference", reference}, {"rand", amount}}).dump(),
        {{"Authorization", "Bearer " + key_}, {"Idempotency-Key", reference}});
    Story story{reply.status, reply.body, "", false};
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_object() && json.contains("error")) {
      story.code = json["error"]["code"];
      story.not_run = json["error"]["not_run"];
    }
    return story;
  }

  int Runs(const std::string& reference) {
    const auto stats =
        nlohmann::json::parse(fleet_.Stats(kService), nullptr, false);
    if (!stats.contains("runs"))
      Die("the plain service gives no count of runs");
    int runs = 0;
    for (const auto& it : stats["runs"])
      runs += it.value(reference, 0);
    return runs;
  }

  Fleet& fleet() { return fleet_; }
  Process& process(std::size_t host) { return *fleet_.hosts()[host]->process; }

 private:
  Fleet fleet_;
  std::string key_;
};

// NOLINTNEXTLINE
Test(once_process, one_key_at_all_hosts_at_once, .timeout = kTimeoutSeconds) {
  PayoutFleet payouts;
  std::vector<Story> stories(24);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < stories.size(); ++i)
    callers.emplace_back(
        [&, i] { stories[i] = payouts.Pay(i % 3, "payout-1"); });
  for (std::thread& it : callers)
    it.join();
  for (const Story& it : stories) {
    cr_assert_eq(it.status, 200, "%s", it.body.c_str());
    cr_assert_eq(it.body, stories[0].body);
  }
  cr_assert_eq(payouts.Runs("payout-1"), 1);
  const TestReply stranger = HttpPost(
      payouts.fleet().hosts()[0]->callers, "/calls/pay", "{}",
      {{"Authorization", "Bearer none"}, {"Idempotency-Key", "payout-1"}});
  cr_assert_eq(stranger.status, 401);
  cr_assert(stranger.body.find(R"("not_run":false)") != std::string::npos);
  const Story other = payouts.Pay(1, "payout-1", "9000");
  cr_assert_eq(other.status, 409, "%s", other.body.c_str());
  cr_assert_eq(payouts.Runs("payout-1"), 1);
}

// NOLINTNEXTLINE
Test(once_process,
     lost_answer_is_unknown_everywhere,
     .timeout = kTimeoutSeconds) {
  PayoutFleet payouts;
  payouts.fleet().Fault(kService, R"({"kind":"lose_answer"})");
  for (std::size_t i = 0; i < 3; ++i) {
    const Story it = payouts.Pay(i, "payout-2");
    cr_assert_eq(it.code, "outcome_unknown", "%s", it.body.c_str());
    cr_assert_not(it.not_run);
  }
  cr_assert_eq(payouts.Runs("payout-2"), 1);
}

// NOLINTNEXTLINE
Test(once_process,
     holder_killed_before_the_outcome,
     .timeout = kTimeoutSeconds) {
  PayoutFleet payouts;
  payouts.fleet().Fault(kService, R"({"kind":"freeze"})");
  Story first;
  std::thread caller([&] { first = payouts.Pay(0, "payout-3"); });
  cr_assert(Eventually([&] { return payouts.Runs("payout-3") == 1; }));
  payouts.process(0).Signal(SIGKILL);
  caller.join();
  cr_assert_eq(first.status, 0);
  payouts.fleet().RestartHost("entry-1");
  payouts.fleet().AwaitReady();
  for (std::size_t i = 0; i < 3; ++i) {
    const Story it = payouts.Pay(i, "payout-3");
    cr_assert_eq(it.code, "outcome_unknown", "%s", it.body.c_str());
    cr_assert_not(it.not_run);
  }
  cr_assert_eq(payouts.Runs("payout-3"), 1);
}

// NOLINTNEXTLINE
Test(once_process,
     stopped_holder_wakes_after_the_repeat,
     .timeout = kTimeoutSeconds) {
  constexpr int kStops = 12;
  PayoutFleet payouts;
  for (int i = 0; i < kStops; ++i) {
    const std::string reference = "stopped-" + std::to_string(i);
    Story first;
    std::thread caller([&] { first = payouts.Pay(0, reference); });
    std::this_thread::sleep_for(milliseconds(i));
    payouts.process(0).Signal(SIGSTOP);
    const Story second = payouts.Pay(1, reference);
    const int runs_then = payouts.Runs(reference);
    payouts.process(0).Signal(SIGCONT);
    caller.join();
    const Story third = payouts.Pay(2, reference);
    const int runs = payouts.Runs(reference);
    cr_assert_leq(runs, 1, "%s ran %d times", reference.c_str(), runs);
    cr_assert(!second.not_run || runs_then == 0);
    cr_assert(third.status != 200 || runs == 1);
    if (first.status == 200 && second.status == 200)
      cr_assert_eq(first.body, second.body);
    if (third.status == 200 && second.status == 200)
      cr_assert_eq(third.body, second.body);
  }
}

// NOLINTNEXTLINE
Test(once_process,
     log_takes_claims_and_loses_the_answers,
     .timeout = kTimeoutSeconds) {
  PayoutFleet payouts;
  payouts.fleet().Fault(
      "log", R"({"kind":"lose_answer","value":6,"path_contains":"claims"})");
  const Story first = payouts.Pay(0, "payout-4");
  const Story second = payouts.Pay(1, "payout-4");
  cr_assert_eq(first.status, 200, "%s", first.body.c_str());
  cr_assert_eq(second.body, first.body);
  cr_assert_eq(payouts.Runs("payout-4"), 1);
}

// NOLINTNEXTLINE
Test(once_process,
     log_outage_refuses_and_the_same_key_works_later,
     .timeout = kTimeoutSeconds) {
  PayoutFleet payouts;
  const Story before = payouts.Pay(0, "payout-5");
  payouts.fleet().Fault("log", R"({"kind":"outage","value":5000})");
  const Story refused = payouts.Pay(1, "payout-6");
  cr_assert_eq(refused.code, "unavailable", "%s", refused.body.c_str());
  cr_assert_not(refused.not_run);
  cr_assert_eq(payouts.Runs("payout-6"), 0);
  // An outcome that is known is still told.
  cr_assert_eq(payouts.Pay(2, "payout-5").body, before.body);
  payouts.fleet().Fault("log", R"({"kind":"clear"})");
  cr_assert(
      Eventually([&] { return payouts.Pay(1, "payout-6").status == 200; }));
  cr_assert_eq(payouts.Runs("payout-6"), 1);
}

// NOLINTNEXTLINE
Test(once_process,
     unreachable_service_is_not_run_and_can_be_repeated,
     .timeout = kTimeoutSeconds) {
  PayoutFleet payouts;
  payouts.fleet().standin(kService).process->Signal(SIGKILL);
  payouts.fleet().standin(kService).process->Wait(std::chrono::seconds(10));
  const Story refused = payouts.Pay(0, "payout-7");
  cr_assert_eq(refused.code, "unavailable", "%s", refused.body.c_str());
  cr_assert(refused.not_run);
}

// NOLINTNEXTLINE
Test(once_process,
     replaced_hosts_know_keys_that_the_log_has_dropped,
     .timeout = kTimeoutSeconds) {
  constexpr int kPayouts = 40;
  PayoutFleet payouts({"--retain-entries", "30"}, "carry_interval_ms = 1000\n");
  const Story first = payouts.Pay(0, "payout-8");
  for (int i = 0; i < kPayouts; ++i)
    cr_assert_eq(
        payouts
            .Pay(static_cast<std::size_t>(i % 3), "filler-" + std::to_string(i))
            .status,
        200);
  for (const char* it : {"entry-1", "entry-2", "entry-3"}) {
    payouts.fleet().host(it).process->Signal(SIGKILL);
    payouts.fleet().RestartHost(it);
    payouts.fleet().AwaitReady();
    Story again;
    cr_assert(Eventually([&] {
      again = payouts.Pay(0, "payout-8");
      return again.status == 200;
    }));
    cr_assert_eq(again.body, first.body);
    cr_assert_eq(payouts.Runs("payout-8"), 1);
  }
}

/// The storm goes on until so many payouts are done: fewer would prove little.
constexpr int kLeastDone = 50;

/// Callers that repeat a key at one host after another until it is done.
struct Storm {
  std::mutex mutex;
  std::map<std::string, std::vector<Story>> stories;
  std::atomic<int> done{0};
  std::atomic<bool> over{false};
};

void CallInStorm(const PayoutFleet& payouts, std::size_t caller, Storm* storm) {
  std::mt19937_64 random(caller);
  for (int i = 0; !storm->over.load(); ++i) {
    const std::string reference =
        "storm-" + std::to_string(caller / 2) + "-" + std::to_string(i);
    for (int repeat = 0; repeat < 3; ++repeat) {
      Story story = payouts.Pay(random() % 3, reference);
      const bool done = story.status == 200;
      storm->done += done ? 1 : 0;
      const std::lock_guard lock(storm->mutex);
      storm->stories[reference].push_back(std::move(story));
      if (done)
        break;
    }
  }
}

void CheckStories(PayoutFleet& payouts, const Storm& storm) {
  int done = 0;
  for (const auto& [reference, stories] : storm.stories) {
    const int runs = payouts.Runs(reference);
    cr_assert_leq(runs, 1, "%s ran %d times", reference.c_str(), runs);
    std::string answer;
    for (const Story& it : stories) {
      if (it.status != 200)
        continue;
      ++done;
      cr_assert_eq(runs, 1, "%s: told done", reference.c_str());
      cr_assert(answer.empty() || answer == it.body);
      answer = it.body;
    }
    bool only_not_run = true;
    for (const Story& it : stories)
      only_not_run = only_not_run && it.not_run;
    cr_assert(!only_not_run || runs == 0, "%s: told not run",
              reference.c_str());
  }
  cr_assert_gt(done, kLeastDone, "only %d were done of %zu", done,
               storm.stories.size());
}

// NOLINTNEXTLINE
Test(once_process, storm_of_faults, .timeout = kTimeoutSeconds) {
  constexpr std::size_t kCallers = 24;
  PayoutFleet payouts;
  Storm storm;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i)
    callers.emplace_back([&, i] { CallInStorm(payouts, i, &storm); });
  const char* const log_faults[] = {
      R"({"kind":"lose_answer","value":10,"path_contains":"claims"})",
      R"({"kind":"drop","value":10,"path_contains":"claims"})",
      R"({"kind":"outage","value":400})",
      R"({"kind":"delay","value":150,"count":20})"};
  const char* const service_faults[] = {
      R"({"kind":"lose_answer","value":3})", R"({"kind":"drop","value":3})",
      R"({"kind":"delay","value":200,"count":5})"};
  for (std::size_t i = 0; i < 12; ++i) {
    payouts.fleet().Fault("log", log_faults[i % 4]);
    payouts.fleet().Fault(kService, service_faults[i % 3]);
    payouts.process(i % 3).Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(300));
    payouts.process(i % 3).Signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(300));
  }
  payouts.process(1).Signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(500));
  payouts.fleet().Fault("log", R"({"kind":"clear"})");
  payouts.fleet().Fault(kService, R"({"kind":"clear"})");
  const bool enough = Eventually([&storm] { return storm.done > kLeastDone; });
  storm.over.store(true);
  for (std::thread& it : callers)
    it.join();
  cr_assert(enough);
  CheckStories(payouts, storm);
}

}  // namespace
}  // namespace mangoport
