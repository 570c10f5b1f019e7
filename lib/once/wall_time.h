#ifndef MANGOPORT_LIB_ONCE_WALL_TIME_H_
#define MANGOPORT_LIB_ONCE_WALL_TIME_H_

#include <chrono>
#include <cstdint>

#include "mangoport/core/time.h"

namespace mangoport {

/// `time` in whole seconds since the Unix epoch, as records of the log hold it.
inline std::int64_t UnixSeconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

/// `duration` in the unit of the wall clock.
inline WallTime::duration ToWall(Duration duration) {
  return std::chrono::duration_cast<WallTime::duration>(duration);
}

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ONCE_WALL_TIME_H_
