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

}  // namespace mangoport

#endif  // MANGOPORT_CORE_TIME_H_
