#include "core/manual_scheduler.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr wall_milliseconds kWallOrigin = 1'700'000'000'000;

} // namespace

wall_milliseconds
manual_scheduler::WallNow() const
{
  return kWallOrigin + std::chrono::duration_cast<std::chrono::milliseconds>(
                         mNow.time_since_epoch())
                         .count();
}

std::shared_ptr<asio::steady_timer>
manual_scheduler::StartTimer(duration aDuration)
{
  // The timer never expires by itself; Advance() cancels it at its deadline.
  auto timer = std::make_shared<asio::steady_timer>(
    mContext, asio::steady_timer::time_point::max());
  mSleepers.emplace(mNow + std::max(aDuration, duration(0)), timer);
  return timer;
}

void
manual_scheduler::Poll()
{
  mContext.restart();
  mContext.poll();
}

void
manual_scheduler::Advance(duration aDuration)
{
  const auto end = mNow + aDuration;
  Poll();
  while (!mSleepers.empty() && mSleepers.begin()->first <= end) {
    const auto first = mSleepers.begin();
    mNow = std::max(mNow, first->first);
    const auto timer = first->second;
    mSleepers.erase(first);
    timer->cancel();
    Poll();
  }
  mNow = end;
}

bool
manual_scheduler::RunUntilDone(std::function<void(yield_context)> aTask,
                               duration aLimit)
{
  auto done = std::make_shared<bool>(false);
  Spawn([task = std::move(aTask), done](yield_context aYield) {
    task(aYield);
    *done = true;
  });
  const auto end = mNow + aLimit;
  Poll();
  while (!*done && mNow < end) {
    Advance(std::chrono::milliseconds(1));
  }
  return *done;
}

} // namespace cowslipline
