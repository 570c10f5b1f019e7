// The main job on stand-ins, as separate processes on loopback: serves a
// deployment's callers while things fail, and tells how each step went.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "unittests/support/deployment.h"
#include "unittests/support/fleet.h"

namespace mangoport {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A withdrawn key must stop working within this time everywhere.
constexpr Duration kWithdrawalBound = std::chrono::seconds(7);

long long Milliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

/// Counts steps and prints one line each.
class Report {
 public:
  void Step(bool held, const std::string& text) {
    std::printf("%s  %s\n", held ? "held  " : "FAILED", text.c_str());
    std::fflush(stdout);
    failed_ += held ? 0 : 1;
  }

  int failed() const { return failed_; }

 private:
  int failed_ = 0;
};

std::vector<TestHeader> Bearer(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

std::string Completion(const std::string& model,
                       const std::string& prompt,
                       int tokens) {
  return nlohmann::json({{"model", model},
                         {"prompt", prompt},
                         {"max_tokens", tokens},
                         {"stream", true}})
      .dump();
}

/// Callers who keep asking hosts for completions until they are stopped; they
/// count whole answers and everything else.
class Load {
 public:
  Load(const std::vector<std::uint16_t>& ports, const std::string& key) {
    for (const std::uint16_t port : ports) {
      for (int i = 0; i < 2; ++i)
        threads_.emplace_back([this, port, key] { Run(port, key); });
    }
  }

  ~Load() { Stop(); }

  /// Callers of this port send no more, as a balancer would see to.
  void Spare(std::uint16_t port) {
    const std::lock_guard lock(mutex_);
    spared_[port] = true;
  }

  void Stop() {
    stop_.store(true);
    for (std::thread& it : threads_) {
      if (it.joinable())
        it.join();
    }
  }

  int whole() const { return whole_.load(); }
  int broken() const { return broken_.load(); }
  /// Refused for want of budget, before anything ran.
  int refused() const { return refused_.load(); }

 private:
  bool IsSpared(std::uint16_t port) {
    const std::lock_guard lock(mutex_);
    return spared_[port];
  }

  void Run(std::uint16_t port, const std::string& key) {
    const std::string body = Completion("draft-01", "a condition report", 40);
    while (!stop_.load() && !IsSpared(port)) {
      const TestReply reply =
          HttpPost(port, "/v1/completions", body, Bearer(key));
      if (reply.status == 429 &&
          reply.body.find("\"not_run\":true") != std::string::npos) {
        refused_.fetch_add(1);
        std::this_thread::sleep_for(milliseconds(50));
        continue;
      }
      const bool whole = reply.status == 200 && ParseStream(reply.body).whole;
      (whole ? whole_ : broken_).fetch_add(1);
      if (!whole && !IsSpared(port))
        std::printf("        broken: status %d %s\n", reply.status,
                    reply.body.substr(0, 200).c_str());
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<int> whole_{0};
  std::atomic<int> broken_{0};
  std::atomic<int> refused_{0};
  std::mutex mutex_;
  std::map<std::uint16_t, bool> spared_;
  std::vector<std::thread> threads_;
};

/// Runs that the plain servers counted for one reference.
int RunsOf(Fleet& fleet,
           const Deployment& deployment,
           const std::string& reference) {
  int runs = 0;
  for (const std::string& it : deployment.plain_servers) {
    const auto stats = nlohmann::json::parse(fleet.Stats(it), nullptr, false);
    if (!stats.contains("runs"))
      Die("no runs in the stats of " + it);
    for (const auto& [path, references] : stats["runs"].items())
      runs += references.value(reference, 0);
  }
  return runs;
}

void StreamOneCompletion(Fleet& fleet, const std::string& key, Report& report) {
  const TestHost& host = *fleet.hosts().front();
  const TestReply reply = HttpPost(
      host.callers, "/v1/chat/completions",
      R"({"model":"draft-01","stream":true,"max_tokens":12,)"
      R"("messages":[{"role":"user","content":"who lent the work?"}]})",
      Bearer(key));
  const StreamedText answer = ParseStream(reply.body);
  report.Step(reply.status == 200 && answer.whole,
              "a streamed completion came whole: " + answer.text);
}

void PayTwice(Fleet& fleet,
              const Deployment& deployment,
              const std::string& key,
              Report& report) {
  std::vector<TestHeader> headers = Bearer(key);
  headers.push_back({"Idempotency-Key", "payout-2041"});
  const std::string body = R"({"reference":"payout-2041","rand":1200})";
  const TestReply first =
      HttpPost(fleet.hosts()[0]->callers, "/calls/payouts", body, headers);
  const TestReply second =
      HttpPost(fleet.hosts()[3]->callers, "/calls/payouts", body, headers);
  const int runs = RunsOf(fleet, deployment, "payout-2041");
  report.Step(first.status == 200 && first.body == second.body &&
                  second.status == 200 && runs == 1,
              "a payout asked for at two hosts ran " + std::to_string(runs) +
                  " time, both callers got " + first.body + " and " +
                  second.body);
}

void WithdrawKey(Fleet& fleet, Report& report) {
  const std::string key = fleet.IssueKey("karoo-studio");
  const std::size_t start = key.find('_') + 1;
  const std::string id = key.substr(start, key.find('_', start) - start);
  const CommandResult result =
      fleet.Run({"key", "withdraw", id, "--reason", "lost laptop"});
  const MonoTime accepted = steady_clock::now();
  Duration slowest{};
  bool all = result.exit_code == 0;
  for (const auto& it : fleet.hosts()) {
    const bool refused = Eventually(
        [&] {
          return HttpGet(it->callers, "/v1/models", Bearer(key)).status == 401;
        },
        kWithdrawalBound);
    all = all && refused;
    slowest = std::max(slowest, steady_clock::now() - accepted);
  }
  report.Step(all, "a withdrawn key was refused on all " +
                       std::to_string(fleet.hosts().size()) + " hosts within " +
                       std::to_string(Milliseconds(slowest)) + " ms");
}

void FreezeEngines(Fleet& fleet,
                   const Deployment& deployment,
                   const std::string& key,
                   Report& report) {
  const std::string body = Completion("draft-02", "a provenance note", 40);
  const std::uint16_t port = fleet.hosts()[1]->callers;
  const StreamedText expected =
      ParseStream(HttpPost(port, "/v1/completions", body, Bearer(key)).body);
  for (const std::string& it : deployment.engines)
    fleet.Fault(it, R"({"kind":"freeze_after","value":7,"count":1})");
  const TestReply reply = HttpPost(port, "/v1/completions", body, Bearer(key));
  const StreamedText actual = ParseStream(reply.body);
  for (const std::string& it : deployment.engines)
    fleet.Fault(it, R"({"kind":"clear"})");
  report.Step(actual.whole && actual.text == expected.text,
              "an answer whose connection went silent was resumed elsewhere, "
              "the same to the token, after " +
                  std::to_string(Milliseconds(reply.took)) + " ms");
}

void KillHost(Fleet& fleet, const std::string& key, Report& report) {
  TestHost& victim = *fleet.hosts()[5];
  std::vector<std::uint16_t> others;
  for (const auto& it : fleet.hosts()) {
    if (it.get() != &victim)
      others.push_back(it->callers);
  }
  Load load(others, key);
  std::this_thread::sleep_for(milliseconds(500));
  victim.process->Signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(1500));
  load.Stop();
  report.Step(load.whole() > 0 && load.broken() == 0,
              "host " + victim.id + " was killed; the others gave " +
                  std::to_string(load.whole()) + " whole answers, " +
                  std::to_string(load.broken()) + " broken, " +
                  std::to_string(load.refused()) + " refused by budget");
  fleet.RestartHost(victim.id);
  fleet.AwaitReady();
  const bool serves =
      HttpGet(victim.callers, "/v1/models", Bearer(key)).status == 200;
  report.Step(serves, "host " + victim.id +
                          " came back with nothing kept and "
                          "serves the same configuration");
}

void DrainHost(Fleet& fleet, const std::string& key, Report& report) {
  TestHost& leaving = *fleet.hosts()[2];
  std::vector<std::uint16_t> ports;
  for (const auto& it : fleet.hosts())
    ports.push_back(it->callers);
  Load load(ports, key);
  std::this_thread::sleep_for(milliseconds(500));
  leaving.process->Signal(SIGTERM);
  // The balancer sees that the host is not ready and sends nothing new.
  Eventually(
      [&leaving] { return HttpGet(leaving.callers, "/readyz").status == 503; });
  load.Spare(leaving.callers);
  const int code = leaving.process->Wait(std::chrono::seconds(60));
  load.Stop();
  report.Step(code == 0 && load.broken() == 0 && load.whole() > 0,
              "host " + leaving.id + " was drained under load: exit code " +
                  std::to_string(code) + ", " + std::to_string(load.whole()) +
                  " whole answers, " + std::to_string(load.broken()) +
                  " broken, " + std::to_string(load.refused()) +
                  " refused by budget");
}

/// No log, metric, audit record or backend server may hold a key's secret.
void SearchForKey(Fleet& fleet, const std::string& key, Report& report) {
  const std::string secret = key.substr(key.rfind('_') + 1);
  const std::string everything = fleet.EverythingWritten();
  report.Step(everything.find(secret) == std::string::npos,
              "the key was searched for in " +
                  std::to_string(everything.size()) +
                  " bytes of logs, metrics, audit and backend servers' own "
                  "captures and not found");
}

int RunDemo(const std::string& fleet_file) {
  Report report;
  Fleet fleet;
  const Deployment deployment = StartDeployment(fleet, FileText(fleet_file));
  for (int i = 0; i < 6; ++i) {
    fleet.StartHost("entry-" + std::to_string(i + 1),
                    "za-south-" + std::to_string(i % 3 + 1),
                    "[backends]\nbetween_tokens_timeout_ms = 500\n");
    fleet.ListHost(*fleet.hosts().back(), "live");
  }
  fleet.Publish(deployment.fleet_file);
  fleet.AwaitReady();
  report.Step(true, std::to_string(deployment.engines.size()) + " engines, " +
                        std::to_string(deployment.plain_servers.size()) +
                        " plain servers and 6 entry hosts in 3 availability "
                        "zones run the published configuration");
  const std::string key = fleet.IssueKey("cape-gallery");
  StreamOneCompletion(fleet, key, report);
  PayTwice(fleet, deployment, key, report);
  WithdrawKey(fleet, report);
  FreezeEngines(fleet, deployment, key, report);
  KillHost(fleet, key, report);
  DrainHost(fleet, key, report);
  SearchForKey(fleet, key, report);
  std::printf("%s\n", report.failed() == 0 ? "all of it held"
                                           : "something did not hold");
  return report.failed() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("usage: mangoport_demo FLEET.toml\n", stderr);
    return 2;
  }
  return mangoport::RunDemo(argv[1]);
}
