#include "apps/cowsliplined/control_thread.h"

namespace cowslipline {

control_thread::control_thread()
  : mWork(asio::make_work_guard(mContext))
  , mScheduler(std::make_shared<system_scheduler>(mContext))
{
}

control_thread::~control_thread()
{
  Stop();
}

void
control_thread::Start()
{
  mThread = std::thread([this] { mContext.run(); });
}

void
control_thread::Stop()
{
  mWork.reset();
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

} // namespace cowslipline
