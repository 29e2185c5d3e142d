#include "modules/outcomes/write_budget.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

write_budget::write_budget(double aWritesPerSecond,
                           double aBurst,
                           steady_time aNow)
  : mRate(aWritesPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
  , mRefilled(aNow)
{
}

duration
write_budget::WaitTime(steady_time aNow)
{
  Refill(aNow);
  if (mTokens >= 1) {
    return duration(0);
  }
  // Rounded up: a wait that ends one microsecond early would be repeated.
  return duration(
    static_cast<duration::rep>(std::ceil((1 - mTokens) / mRate * 1e6)) + 1);
}

void
write_budget::Spend(steady_time aNow)
{
  Refill(aNow);
  mTokens -= 1;
}

void
write_budget::Refill(steady_time aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilled;
  mTokens = std::min(mBurst, mTokens + elapsed.count() * mRate);
  mRefilled = aNow;
}

} // namespace cowslipline
