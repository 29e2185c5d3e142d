#pragma once

#include <chrono>
#include <cstdint>

namespace cowslipline {

using duration = std::chrono::microseconds;

/// Monotonic time that also runs while the machine is suspended
/// (CLOCK_BOOTTIME). A process that slept past a validity must notice it.
struct boot_clock
{
  using duration = cowslipline::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock, duration>;
  static constexpr bool is_steady = true;
};

using steady_time = boot_clock::time_point;

/// Reads CLOCK_BOOTTIME.
steady_time
ReadBootClock();

/// Milliseconds since the Unix epoch.
using wall_milliseconds = std::int64_t;

} // namespace cowslipline
