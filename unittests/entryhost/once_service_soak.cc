// OnceService with its real threads over a log in memory that loses answers:
// several hosts, callers that repeat to other hosts. Not repeatable step by
// step; it is there for the race detector and for what callers are told.
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "mangoport/entryhost/once_service.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kCallers = 12;
constexpr std::uint64_t kStepsPerRequest = 25;

/// Refuses, loses answers and takes entries twice.
class FaultyLog final : public LogService {
 public:
  explicit FaultyLog(std::uint64_t seed) : random_(seed) {}

  AppendResult Append(const StreamId& /*stream*/,
                      std::string_view payload,
                      Duration /*timeout*/) override {
    const std::lock_guard lock(mutex_);
    const std::uint64_t fate = random_() % 10;
    if (fate == 0)
      return {AppendStatus::kRefused, 0};
    const std::uint64_t copies = fate == 1 ? 0 : 1 + (fate == 2 ? 1 : 0);
    for (std::uint64_t i = 0; i < copies; ++i)
      entries_.push_back({entries_.size(), std::string(payload)});
    grown_.notify_all();
    if (fate <= 3)
      return {AppendStatus::kUnknown, 0};
    return {AppendStatus::kAppended, entries_.size() - 1};
  }

  LogPage Read(const StreamId& /*stream*/,
               std::uint64_t from,
               std::size_t max_entries,
               Duration /*wait*/) override {
    std::unique_lock lock(mutex_);
    grown_.wait_for(lock, milliseconds(20),
                    [&] { return entries_.size() > from; });
    LogPage page{true, 0, {}};
    for (std::uint64_t i = from;
         i < entries_.size() && page.entries.size() < max_entries; ++i)
      page.entries.push_back(entries_[i]);
    return page;
  }

 private:
  std::mutex mutex_;
  std::condition_variable grown_;
  std::mt19937_64 random_;
  std::vector<LogEntry> entries_;
};

/// Counts runs by idempotency key; refuses and loses answers.
class Backend {
 public:
  PlainAnswer Run(const PlainRequest& request) {
    const std::lock_guard lock(mutex_);
    const std::uint64_t fate = random_() % 10;
    PlainAnswer answer;
    answer.error.not_run = fate == 0;
    if (fate == 0)
      return answer;
    const int n = ++runs_[request.idempotency_key];
    CheckInvariant(n == 1, "a non-idempotent request runs at most once",
                   [&] { return request.idempotency_key; });
    if (fate == 1)
      return answer;
    return {true, 200, "text/plain", request.request.value(), {}};
  }

  int Runs(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return runs_[key];
  }

 private:
  std::mutex mutex_;
  std::mt19937_64 random_{1};
  std::map<std::string, int> runs_;
};

struct Fleet {
  explicit Fleet(std::uint64_t seed) : log(seed) {
    ClaimSettings settings;
    settings.append_interval = milliseconds(2);
    settings.claim_wait = milliseconds(2000);
    for (std::size_t i = 0; i < kHosts; ++i)
      hosts[i] = std::make_unique<OnceService>(
          log, WriterId("host-" + std::to_string(i)), settings,
          [this](const PlainRequest& it) { return backend.Run(it); });
  }

  FaultyLog log;
  Backend backend;
  std::array<std::unique_ptr<OnceService>, kHosts> hosts;
};

/// Two callers share each key, so that they meet.
void Call(Fleet& fleet,
          std::size_t caller,
          std::uint64_t requests,
          std::atomic<std::uint64_t>& done) {
  std::mt19937_64 random(caller);
  for (std::uint64_t i = 0; i < requests; ++i) {
    PlainRequest request;
    request.request =
        RequestId(std::to_string(caller) + "-" + std::to_string(i));
    request.account = AccountId("gallery");
    request.idempotency_key =
        std::to_string(caller / 2) + "-" + std::to_string(i / 2);
    request.deadline = steady_clock::now() + std::chrono::seconds(5);
    const PlainAnswer answer = fleet.hosts[random() % kHosts]->Run(request);
    done += answer.answered ? 1 : 0;
    const int runs = fleet.backend.Runs(request.idempotency_key);
    CheckInvariant(!answer.answered || runs == 1, "done means that it ran once",
                   [&] { return request.idempotency_key; });
  }
}

void Run(const SoakOptions& options, SoakProgress& progress) {
  const std::uint64_t requests =
      std::max<std::uint64_t>(1, options.steps / kStepsPerRequest / kCallers);
  std::atomic<std::uint64_t> done{0};
  Fleet fleet(options.seed);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i)
    callers.emplace_back([&, i] { Call(fleet, i, requests, done); });
  for (std::thread& it : callers)
    it.join();
  progress.step = options.steps;
  CheckInvariant(
      done.load() * 2 > requests * kCallers, "most requests are answered",
      [&done] { return std::to_string(done.load()) + " were done"; });
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(argc, argv, {}, mangoport::Run);
}
