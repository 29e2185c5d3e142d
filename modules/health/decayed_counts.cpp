#include "modules/health/decayed_counts.h"

#include <cmath>

namespace cowslipline {

double
decayed_counts::Decay(steady_time aNow) const
{
  return std::exp2(-std::chrono::duration<double>(aNow - mUpdated) /
                   std::chrono::duration<double>(mHalfLife));
}

void
decayed_counts::Add(double aTrials, double aFaults, steady_time aNow)
{
  const double decay = Decay(aNow);
  mTrials = mTrials * decay + aTrials;
  mFaults = mFaults * decay + aFaults;
  mUpdated = aNow;
}

} // namespace cowslipline
