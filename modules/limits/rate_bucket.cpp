#include "modules/limits/rate_bucket.h"

#include "modules/limits/limit_constants.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

rate_bucket::rate_bucket(const rate_limits& aLimits,
                         double aLevel,
                         steady_time aNow)
  : mLimits(aLimits)
  , mLevel(aLevel)
  , mRefilledAt(aNow)
{
}

void
rate_bucket::Refill(const rate_limits& aLimits,
                    double aFraction,
                    double aReserved,
                    steady_time aNow)
{
  const auto rate = std::min(mLimits.mRate, aLimits.mRate) * aFraction;
  const auto elapsed = std::max(aNow - mRefilledAt, duration(0));
  mLevel += rate * InSeconds(elapsed);
  mRefilledAt = std::max(mRefilledAt, aNow);
  mLimits = aLimits;
  Clip(aLimits.mBurst * aFraction - aReserved);
}

void
rate_bucket::Clip(double aCapacity)
{
  mLevel = std::min(mLevel, std::max(aCapacity, 0.0));
}

double
rate_bucket::TakeWhole(double aWanted)
{
  const auto taken = std::min(aWanted, std::floor(mLevel + kTokenEpsilon));
  mLevel = std::max(mLevel - taken, 0.0);
  return taken;
}

} // namespace cowslipline
