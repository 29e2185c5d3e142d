#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace cowslipline {

/// Thread pool with a bounded queue. Tasks over the bound run on one separate
/// thread, where they must only refuse their connection.
class bounded_task_queue final : public httplib::TaskQueue
{
public:
  /// aOnWaiting is called when a task has to wait for a thread.
  bounded_task_queue(std::size_t aThreads,
                     std::size_t aBound,
                     std::function<void()> aOnWaiting);

  void enqueue(std::function<void()> aTask) override;
  void shutdown() override;

  /// True while a task waits for a thread.
  bool HasWaiting() const;
  /// True on the thread that runs the tasks over the bound.
  bool IsRefusing() const;

private:
  struct lane
  {
    std::deque<std::function<void()>> mTasks;
    std::condition_variable mWake;
  };
  void Run(lane& aLane);

  const std::size_t mBound;
  const std::function<void()> mOnWaiting;
  mutable std::mutex mMutex;
  lane mServed;
  lane mRefused;
  std::size_t mBusy = 0;
  bool mIsStopping = false;
  std::vector<std::thread> mThreads;
  std::thread mRefusingThread;
};

} // namespace cowslipline
