#pragma once

#include "core/time.h"

namespace cowslipline {

/// Rate and burst of one organisation across the whole fleet.
struct rate_limits
{
  double mRate = 0;  ///< Requests per second.
  double mBurst = 0; ///< Requests.
};

/// Token bucket for a fraction of an organisation's rate and burst.
class rate_bucket
{
public:
  rate_bucket(const rate_limits& aLimits, double aLevel, steady_time aNow);

  /// Adds the tokens of the time since the last call and clips to the capacity,
  /// which is burst x fraction - aReserved. The fraction must not have changed
  /// since the last call. When the rate has changed in between, the lower of
  /// both is used, since the moment of the change is not known.
  void Refill(const rate_limits& aLimits,
              double aFraction,
              double aReserved,
              steady_time aNow);

  /// Clips the level without refilling, after the fraction has shrunk.
  void Clip(double aCapacity);

  /// Takes up to aWanted whole tokens.
  double TakeWhole(double aWanted);

  double Level() const { return mLevel; }
  const rate_limits& Limits() const { return mLimits; }

private:
  rate_limits mLimits;
  double mLevel;
  steady_time mRefilledAt;
};

} // namespace cowslipline
