#pragma once

#include "core/time.h"

namespace cowslipline {

/// Trials and faults whose weight halves over a given time.
class decayed_share
{
public:
  explicit decayed_share(duration aHalfLife)
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
