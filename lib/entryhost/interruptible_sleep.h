#ifndef MANGOPORT_LIB_ENTRYHOST_INTERRUPTIBLE_SLEEP_H_
#define MANGOPORT_LIB_ENTRYHOST_INTERRUPTIBLE_SLEEP_H_

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "mangoport/core/time.h"

namespace mangoport {

/// Sleeps for `duration`, or until a stop is requested.
inline void SleepUnlessStopped(const std::stop_token& stop, Duration duration) {
  std::mutex mutex;
  std::condition_variable_any wake;
  std::unique_lock lock(mutex);
  wake.wait_for(lock, stop, duration, [] { return false; });
}

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ENTRYHOST_INTERRUPTIBLE_SLEEP_H_
