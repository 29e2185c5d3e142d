#include "core/kernel.h"

namespace cowslipline {

void
kernel::OnStart(std::function<void()> aFunction)
{
  mStartFunctions.push_back(std::move(aFunction));
}

void
kernel::OnStop(std::function<void()> aFunction)
{
  mStopFunctions.push_back(std::move(aFunction));
}

void
kernel::Start()
{
  for (const auto& function : mStartFunctions) {
    function();
  }
}

void
kernel::Stop()
{
  for (auto function = mStopFunctions.rbegin();
       function != mStopFunctions.rend();
       ++function) {
    (*function)();
  }
}

} // namespace cowslipline
