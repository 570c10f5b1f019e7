// DEPENDS: test_fleet
// Slopes of a real entry host process on loopback: memory and threads by open
// streams, processor time by tokens and by idle control work, and the time for
// a change to be in force by the number of hosts. Absolute times belong to the
// machine; the slopes and counts are what docs/CAPACITY.md uses.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "unittests/support/deployment.h"
#include "unittests/support/fleet.h"

namespace mangoport {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// What the system says of one process.
struct ProcessUse {
  double cpu_seconds = 0;
  double resident_mb = 0;
  int threads = 0;
};

ProcessUse UseOf(pid_t pid) {
  const std::string base = "/proc/" + std::to_string(pid);
  ProcessUse use;
  std::istringstream stat(FileText(base + "/stat"));
  std::string field;
  double ticks = 0;
  for (int i = 1; stat >> field; ++i) {
    if (i == 14 || i == 15)
      ticks += std::stod(field);
    if (i == 20)
      use.threads = std::stoi(field);
  }
  use.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::istringstream status(FileText(base + "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:"))
      use.resident_mb = std::stod(line.substr(6)) / 1024;
  }
  return use;
}

std::string StreamBody(int tokens) {
  return nlohmann::json({{"model", "m1"},
                         {"prompt", "a note on a railing"},
                         {"max_tokens", tokens},
                         {"stream", true}})
      .dump();
}

/// Opens `n` streams at once and measures the host while all of them run.
void MeasureStreams(Fleet& fleet, const std::string& key, int n) {
  constexpr int kTokens = 400;
  const TestHost& host = fleet.host("entry-1");
  const std::vector<TestHeader> headers = {{"Authorization", "Bearer " + key}};
  std::atomic<int> whole{0};
  std::atomic<bool> reported{false};
  const ProcessUse before = UseOf(host.process->pid());
  std::vector<std::thread> callers;
  for (int i = 0; i < n; ++i) {
    callers.emplace_back([&] {
      const TestReply reply = HttpPost(host.callers, "/v1/completions",
                                       StreamBody(kTokens), headers);
      if (ParseStream(reply.body).whole) {
        ++whole;
      } else if (!reported.exchange(true)) {
        std::printf("first answer that is not whole: status %d, %s\n",
                    reply.status,
                    reply.body
                        .substr(reply.body.size() -
                                std::min<std::size_t>(reply.body.size(), 300))
                        .c_str());
      }
    });
  }
  std::this_thread::sleep_for(seconds(2));
  const ProcessUse during = UseOf(host.process->pid());
  for (std::thread& it : callers)
    it.join();
  const ProcessUse after = UseOf(host.process->pid());
  const double tokens = static_cast<double>(n) * kTokens;
  std::printf(
      "streams %4d: whole %4d, threads %4d, resident %6.1f MB, processor "
      "%6.1f us a token\n",
      n, whole.load(), during.threads, during.resident_mb,
      (after.cpu_seconds - before.cpu_seconds) / tokens * 1e6);
}

/// Requests of one token, one after another: the cost of a request itself.
void MeasureRequests(Fleet& fleet, const std::string& key) {
  constexpr int kRequests = 500;
  const TestHost& host = fleet.host("entry-1");
  const std::vector<TestHeader> headers = {{"Authorization", "Bearer " + key}};
  const ProcessUse before = UseOf(host.process->pid());
  int ok = 0;
  for (int i = 0; i < kRequests; ++i)
    ok += HttpPost(host.callers, "/v1/completions", StreamBody(1), headers)
                      .status == 200
              ? 1
              : 0;
  const ProcessUse after = UseOf(host.process->pid());
  std::printf("requests: ok %d of %d, processor %.0f us a request\n", ok,
              kRequests,
              (after.cpu_seconds - before.cpu_seconds) / kRequests * 1e6);
}

/// Processor time of hosts that serve nobody.
void MeasureIdle(Fleet& fleet) {
  constexpr Duration kInterval = seconds(5);
  std::vector<double> before;
  for (const auto& it : fleet.hosts())
    before.push_back(UseOf(it->process->pid()).cpu_seconds);
  std::this_thread::sleep_for(kInterval);
  double used = 0;
  double resident = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const ProcessUse use = UseOf(fleet.hosts()[i]->process->pid());
    used += use.cpu_seconds - before[i];
    resident += use.resident_mb;
  }
  const auto n = static_cast<double>(before.size());
  std::printf(
      "idle, %zu hosts: %.2f %% of a core and %.1f MB a host\n", before.size(),
      used / n / duration<double>(kInterval).count() * 100, resident / n);
}

/// Time from a change's publication to its being in force on every host.
void MeasureChange(Fleet& fleet, int round) {
  std::string worst;
  double total_ms = 0;
  constexpr int kChanges = 5;
  for (int i = 0; i < kChanges; ++i) {
    const std::string path = fleet.WriteFile(
        "rates.toml",
        "[[account]]\nname = \"small\"\ntemplate = \"standard\"\nrate = " +
            std::to_string(1000 + round * 100 + i) + "\n");
    const MonoTime start = steady_clock::now();
    const CommandResult result = fleet.Run({"publish", path});
    total_ms +=
        duration<double, std::milli>(steady_clock::now() - start).count();
    if (result.exit_code != 0)
      Die(result.output);
  }
  std::printf("change, %2zu hosts: %.0f ms from command to in force on all\n",
              fleet.hosts().size(), total_ms / kChanges);
}

void Run() {
  Fleet fleet;
  const Deployment deployment = StartDeployment(
      fleet, SmallFleetFile(), {"--token-ms", "10", "--max-batch", "1000"});
  int hosts = 0;
  std::string key;
  for (const int wanted : {3, 6, 12, 20}) {
    while (hosts < wanted) {
      ++hosts;
      fleet.StartHost("entry-" + std::to_string(hosts),
                      "zone-" + std::to_string(hosts % 3 + 1));
      fleet.ListHost(*fleet.hosts().back(), "live");
    }
    if (key.empty()) {
      fleet.Publish(deployment.fleet_file);
      key = fleet.IssueKey("small");
    }
    fleet.AwaitReady();
    MeasureChange(fleet, wanted);
    MeasureIdle(fleet);
  }
  MeasureRequests(fleet, key);
  for (const int n : {1, 50, 100, 200, 400})
    MeasureStreams(fleet, key, n);
}

}  // namespace
}  // namespace mangoport

int main() {
  mangoport::Run();
  return 0;
}
