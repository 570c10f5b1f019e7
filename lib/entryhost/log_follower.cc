#include "mangoport/entryhost/log_follower.h"

#include <chrono>
#include <random>
#include <utility>

#include "interruptible_sleep.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLongPoll = milliseconds(1000);

/// Base of the delay after a failed read. Jitter is added to it, so that hosts
/// do not all retry at once after an outage.
constexpr Duration kRetryBase = milliseconds(200);

}  // namespace

LogFollower::LogFollower(LogService& log,
                         StreamId stream,
                         NextOffset next,
                         OnPage page)
    : log_(log),
      stream_(std::move(stream)),
      next_(std::move(next)),
      page_(std::move(page)),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

LogFollower::~LogFollower() = default;

void LogFollower::Run(const std::stop_token& stop) {
  std::minstd_rand random(std::random_device{}());
  while (!stop.stop_requested()) {
    const MonoTime requested_at = std::chrono::steady_clock::now();
    const LogPage page =
        log_.Read(stream_, next_(), kMaxPageEntries, kLongPoll);
    if (page.ok) {
      page_(requested_at, page);
      continue;
    }
    const Duration jitter(static_cast<std::int64_t>(
        random() % static_cast<std::uint64_t>(kRetryBase.count())));
    SleepUnlessStopped(stop, kRetryBase + jitter);
  }
}

}  // namespace mangoport
