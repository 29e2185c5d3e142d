#include "modules/gateway/bounded_task_queue.h"

namespace cowslipline {

namespace {

/// Connections that wait to be refused. Accepting pauses beyond this, so that
/// the number of open sockets stays bounded.
constexpr std::size_t kRefusedBound = 256;

} // namespace

bounded_task_queue::bounded_task_queue(std::size_t aThreads,
                                       std::size_t aBound,
                                       std::function<void()> aOnWaiting)
  : mBound(aBound)
  , mOnWaiting(std::move(aOnWaiting))
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { Run(mServed); });
  }
  mRefusingThread = std::thread([this] { Run(mRefused); });
}

void
bounded_task_queue::enqueue(std::function<void()> aTask)
{
  bool isWaiting = false;
  {
    std::unique_lock lock(mMutex);
    if (mServed.mTasks.size() < mBound) {
      mServed.mTasks.push_back(std::move(aTask));
      isWaiting = mBusy + mServed.mTasks.size() > mThreads.size();
      mServed.mWake.notify_one();
    } else {
      mRefused.mWake.wait(
        lock, [this] { return mRefused.mTasks.size() < kRefusedBound; });
      mRefused.mTasks.push_back(std::move(aTask));
      mRefused.mWake.notify_all();
    }
  }
  if (isWaiting) {
    mOnWaiting();
  }
}

void
bounded_task_queue::shutdown()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mServed.mWake.notify_all();
  mRefused.mWake.notify_all();
  for (auto& thread : mThreads) {
    thread.join();
  }
  mRefusingThread.join();
}

bool
bounded_task_queue::HasWaiting() const
{
  const std::lock_guard lock(mMutex);
  return mBusy + mServed.mTasks.size() > mThreads.size();
}

bool
bounded_task_queue::IsRefusing() const
{
  return std::this_thread::get_id() == mRefusingThread.get_id();
}

void
bounded_task_queue::Run(lane& aLane)
{
  const bool isServing = &aLane == &mServed;
  std::unique_lock lock(mMutex);
  while (true) {
    aLane.mWake.wait(lock,
                     [&] { return !aLane.mTasks.empty() || mIsStopping; });
    if (aLane.mTasks.empty()) {
      return;
    }
    const auto task = std::move(aLane.mTasks.front());
    aLane.mTasks.pop_front();
    mBusy += isServing ? 1 : 0;
    lock.unlock();
    if (!isServing) {
      aLane.mWake.notify_all();
    }
    task();
    lock.lock();
    mBusy -= isServing ? 1 : 0;
  }
}

} // namespace cowslipline
