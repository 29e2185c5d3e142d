#pragma once

#include "core/result.h"
#include "core/time.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>
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
/// still runs to its end; its result is dropped.
/// Errors: errc::Timeout, and those of the function.
template<typename F>
auto
BlockingCall(scheduler& aScheduler, duration aTimeout, F aFunction)
  -> std::invoke_result_t<F, yield_context>
{
  using result_type = std::invoke_result_t<F, yield_context>;
  auto promise = std::make_shared<std::promise<result_type>>();
  auto future = promise->get_future();
  aScheduler.Spawn(
    [promise, function = std::move(aFunction)](yield_context aYield) mutable {
      promise->set_value(function(aYield));
    });
  if (future.wait_for(aTimeout) != std::future_status::ready) {
    return Fail(errc::Timeout);
  }
  return future.get();
}

} // namespace cowslipline
