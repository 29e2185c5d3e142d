#include "core/time.h"

#include <ctime>

namespace cowslipline {

steady_time
ReadBootClock()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return steady_time(std::chrono::duration_cast<duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace cowslipline
