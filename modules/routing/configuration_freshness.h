#pragma once

#include "core/time.h"

#include <algorithm>

namespace cowslipline {

/// Proves how old this instance's knowledge of the configuration is. A key
/// that was withdrawn must stop working within a fixed time at every instance,
/// also at one that is cut off, so guarded requests are refused once the proof
/// is too old. The proof counts from the moment at which an answered question
/// was sent, on a clock that runs on while the machine is suspended.
class configuration_freshness
{
public:
  /// aRevocationBound: a key must not work later than this after its
  /// withdrawal was acknowledged.
  explicit configuration_freshness(duration aRevocationBound)
    : mValidity(aRevocationBound * 9 / 10)
  {
  }

  void SetRevocationBound(duration aBound) { mValidity = aBound * 9 / 10; }

  /// The store has answered, from its current state, a question that was sent
  /// at this time, and everything in the answer is in force.
  void Confirm(steady_time aAskedAt)
  {
    mConfirmedAt = std::max(mConfirmedAt, aAskedAt);
  }

  duration Age(steady_time aNow) const
  {
    return mConfirmedAt == steady_time::min() ? duration::max()
                                              : aNow - mConfirmedAt;
  }

  bool IsFresh(steady_time aNow) const { return Age(aNow) < mValidity; }

private:
  /// A tenth of the bound is left for the time between the check and the
  /// arrival of the request at its target.
  duration mValidity;
  steady_time mConfirmedAt = steady_time::min();
};

} // namespace cowslipline
