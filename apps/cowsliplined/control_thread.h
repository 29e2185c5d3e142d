#pragma once

#include "core/scheduler.h"

#include <memory>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace cowslipline {

/// The thread that runs all fleet state.
class control_thread
{
public:
  control_thread();
  ~control_thread();
  control_thread(const control_thread&) = delete;
  control_thread& operator=(const control_thread&) = delete;

  std::shared_ptr<scheduler> Scheduler() const { return mScheduler; }
  void Start();
  /// Ends after the running handler. Waiting tasks are dropped.
  void Stop();

private:
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::shared_ptr<scheduler> mScheduler;
  std::thread mThread;
};

} // namespace cowslipline
