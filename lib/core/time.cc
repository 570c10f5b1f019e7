#include "mangoport/core/time.h"

#include <ctime>

namespace mangoport {

BootClock::time_point BootClock::now() noexcept {
  std::timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace mangoport
