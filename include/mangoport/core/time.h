#ifndef MANGOPORT_CORE_TIME_H_
#define MANGOPORT_CORE_TIME_H_

#include <chrono>

namespace mangoport {

/// Time on one host's monotonic clock. Every deciding function takes it as an
/// argument; leases and deadlines use nothing else.
using MonoTime = std::chrono::steady_clock::time_point;

/// Time of day, for logs, the audit trail and ages that outlive a process.
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::nanoseconds;

/// A monotonic clock that also counts the time for which the machine was
/// suspended. What other machines may take over meanwhile is judged by it.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): a clock's own name
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using BootTime = BootClock::time_point;

}  // namespace mangoport

#endif  // MANGOPORT_CORE_TIME_H_
