#pragma once

#include "core/scheduler.h"
#include "tests/story.h"

#include <functional>

namespace cowslipline::testing {

/// Runs the function as a task until it returns; fails the test after 20 s.
inline void
RunTask(asio::io_context& aContext,
        const std::function<void(yield_context)>& aTask)
{
  constexpr std::size_t kStackBytes = 256UL * 1024;
  constexpr duration kLongest = std::chrono::seconds(20);
  bool isDone = false;
  asio::spawn(
    aContext,
    [&](yield_context aYield) {
      aTask(aYield);
      isDone = true;
    },
    boost::coroutines::attributes(kStackBytes));
  const auto end = ReadBootClock() + kLongest;
  aContext.restart();
  while (!isDone && ReadBootClock() < end) {
    aContext.run_one_for(std::chrono::milliseconds(100));
  }
  CHECK(isDone);
}

} // namespace cowslipline::testing
