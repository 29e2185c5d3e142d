#pragma once

#include "core/time.h"

#include <algorithm>

namespace cowslipline {

/// Bounded-staleness check of this instance's configuration. A withdrawn API
/// key must stop working within a fixed time at every instance, also at one
/// that can't reach the store, so requests that need a key are refused once the
/// configuration is too old. Its age counts from when the last answered query
/// was sent, on a clock that also runs while the machine is suspended.
class configuration_freshness
{
public:
  /// aRevocationBound: longest time that a key may work after its withdrawal
  /// was acknowledged.
  explicit configuration_freshness(duration aRevocationBound)
    : mValidity(aRevocationBound * 9 / 10)
  {
  }

  void SetRevocationBound(duration aBound) { mValidity = aBound * 9 / 10; }

  /// Records that the store answered a query sent at aSentAt from its current
  /// state, and that everything in the answer is in force.
  void Confirm(steady_time aSentAt)
  {
    mConfirmedAt = std::max(mConfirmedAt, aSentAt);
  }

  /// duration::max() before the first confirmation.
  duration Age(steady_time aNow) const
  {
    return mConfirmedAt == steady_time::min() ? duration::max()
                                              : aNow - mConfirmedAt;
  }

  bool IsFresh(steady_time aNow) const { return Age(aNow) < mValidity; }

private:
  /// Nine tenths of the revocation bound. The last tenth covers the time
  /// between the check and the arrival of the request at its target.
  duration mValidity;
  steady_time mConfirmedAt = steady_time::min();
};

} // namespace cowslipline
