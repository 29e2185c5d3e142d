#pragma once

#include "core/result.h"
#include "core/time.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/spawn.hpp>
#include <asio/steady_timer.hpp>

namespace cowslipline {

using yield_context = asio::yield_context;

/// Clock, sleep and task start for the control thread. The manual scheduler
/// implements the same interface with simulated time for tests.
class scheduler
{
public:
  virtual ~scheduler() = default;

  virtual steady_time Now() const = 0;
  virtual wall_milliseconds WallNow() const = 0;
  virtual asio::io_context& Context() = 0;

  /// A timer that completes its waits after the duration, or earlier when it
  /// is cancelled.
  virtual std::shared_ptr<asio::steady_timer> StartTimer(
    duration aDuration) = 0;

  /// Suspends the calling task.
  void SleepFor(duration aDuration, yield_context aYield);

  /// Starts a stackful task on the control thread. May be called from any
  /// thread.
  void Spawn(std::function<void(yield_context)> aTask);
};

/// Runs on an io_context with real time.
class system_scheduler final : public scheduler
{
public:
  explicit system_scheduler(asio::io_context& aContext);

  steady_time Now() const override;
  wall_milliseconds WallNow() const override;
  asio::io_context& Context() override { return mContext; }
  std::shared_ptr<asio::steady_timer> StartTimer(duration aDuration) override;

private:
  asio::io_context& mContext;
};

/// Wakes tasks that wait for something to happen. Used on the control thread
/// only. Setting it with no task waiting has no effect: waiters check their
/// condition in a loop.
class event
{
public:
  /// Wakes all waiting tasks.
  void Set();

  /// Suspends the calling task until Set() or the timeout. False on timeout.
  bool Wait(scheduler& aScheduler, duration aTimeout, yield_context aYield);

private:
  std::vector<std::shared_ptr<asio::steady_timer>> mWaiters;
};

/// Runs a function as a task on the control thread and blocks the calling
/// thread until it returns or the timeout passes. After a timeout the task
/// still runs to its end; its result then goes to aUnclaimed on the control
/// thread, which gives back what the result holds.
/// Errors: errc::Timeout, and those of the function.
template<typename F, typename U>
auto
BlockingCall(scheduler& aScheduler,
             duration aTimeout,
             F aFunction,
             U aUnclaimed) -> std::invoke_result_t<F, yield_context>
{
  using result_type = std::invoke_result_t<F, yield_context>;
  struct shared_state
  {
    std::mutex mMutex;
    std::condition_variable mReturned;
    std::optional<result_type> mResult;
    bool mIsAbandoned = false;
  };
  auto state = std::make_shared<shared_state>();
  aScheduler.Spawn(
    [state, function = std::move(aFunction), unclaimed = std::move(aUnclaimed)](
      yield_context aYield) mutable {
      auto value = function(aYield);
      std::unique_lock<std::mutex> lock(state->mMutex);
      if (state->mIsAbandoned) {
        lock.unlock();
        unclaimed(std::move(value));
        return;
      }
      state->mResult = std::move(value);
      state->mReturned.notify_one();
    });
  std::unique_lock<std::mutex> lock(state->mMutex);
  const bool isInTime = state->mReturned.wait_for(
    lock, aTimeout, [&state] { return state->mResult.has_value(); });
  if (!isInTime) {
    state->mIsAbandoned = true;
    return Fail(errc::Timeout);
  }
  return std::move(*state->mResult);
}

/// As above, for results that need not be given back.
template<typename F>
auto
BlockingCall(scheduler& aScheduler, duration aTimeout, F aFunction)
  -> std::invoke_result_t<F, yield_context>
{
  return BlockingCall(
    aScheduler, aTimeout, std::move(aFunction), [](const auto&) {});
}

} // namespace cowslipline
