#pragma once

#include "core/scheduler.h"

#include <map>
#include <memory>

namespace cowslipline {

/// Scheduler with simulated time. Tasks run only inside Advance() and Poll(),
/// in an order that depends on nothing but the program.
class manual_scheduler final : public scheduler
{
public:
  manual_scheduler() = default;

  steady_time Now() const override { return mNow; }
  wall_milliseconds WallNow() const override;
  asio::io_context& Context() override { return mContext; }
  std::shared_ptr<asio::steady_timer> StartTimer(duration aDuration) override;

  /// Moves time forward and wakes sleeping tasks in the order of their
  /// deadlines.
  void Advance(duration aDuration);

  /// Runs all tasks that are ready, without moving time.
  void Poll();

  /// Runs a function as a task and advances time until it has returned.
  /// Returns false when it has not returned after aLimit of simulated time.
  bool RunUntilDone(std::function<void(yield_context)> aTask, duration aLimit);

private:
  asio::io_context mContext;
  steady_time mNow{ std::chrono::hours(1) };
  std::multimap<steady_time, std::shared_ptr<asio::steady_timer>> mSleepers;
};

} // namespace cowslipline
