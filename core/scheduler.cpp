#include "core/scheduler.h"

#include <algorithm>

namespace cowslipline {

void
scheduler::Spawn(std::function<void(yield_context)> aTask)
{
  asio::spawn(
    Context(),
    [task = std::move(aTask)](yield_context aYield) { task(aYield); },
    boost::coroutines::attributes(256UL * 1024));
}

void
scheduler::SleepFor(duration aDuration, yield_context aYield)
{
  const auto timer = StartTimer(aDuration);
  asio::error_code ignored;
  timer->async_wait(aYield[ignored]);
}

system_scheduler::system_scheduler(asio::io_context& aContext)
  : mContext(aContext)
{
}

steady_time
system_scheduler::Now() const
{
  return ReadBootClock();
}

wall_milliseconds
system_scheduler::WallNow() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::shared_ptr<asio::steady_timer>
system_scheduler::StartTimer(duration aDuration)
{
  return std::make_shared<asio::steady_timer>(mContext, aDuration);
}

void
event::Set()
{
  // Moved out first: a woken task may wait again.
  const auto waiters = std::move(mWaiters);
  mWaiters.clear();
  for (const auto& timer : waiters) {
    timer->cancel();
  }
}

bool
event::Wait(scheduler& aScheduler, duration aTimeout, yield_context aYield)
{
  const auto timer = aScheduler.StartTimer(aTimeout);
  mWaiters.push_back(timer);
  asio::error_code ignored;
  timer->async_wait(aYield[ignored]);
  const auto found = std::find(mWaiters.begin(), mWaiters.end(), timer);
  if (found == mWaiters.end()) {
    return true;
  }
  mWaiters.erase(found);
  return false;
}

} // namespace cowslipline
