#pragma once

#include "core/time.h"

namespace cowslipline {

/// Exponentially decayed counts of trials and faults: the weight of an old
/// count halves every aHalfLife, so that the ratio follows recent behaviour.
class decayed_counts
{
public:
  explicit decayed_counts(duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  void Add(double aTrials, double aFaults, steady_time aNow);

  double Trials(steady_time aNow) const { return mTrials * Decay(aNow); }
  double Faults(steady_time aNow) const { return mFaults * Decay(aNow); }

private:
  double Decay(steady_time aNow) const;

  duration mHalfLife;
  double mTrials = 0;
  double mFaults = 0;
  steady_time mUpdated{};
};

} // namespace cowslipline
