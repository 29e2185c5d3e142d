#pragma once

#include "modules/health/health_types.h"

namespace cowslipline {

/// Takes a target out of use at this instance alone after consecutive hard
/// failures (connect failures and timeouts). It acts without an owner and on
/// faults of this instance's own path.
class local_hold
{
public:
  /// True when this outcome starts a new hold.
  bool Record(attempt_outcome aOutcome, steady_time aNow);

  bool IsActive(steady_time aNow) const { return aNow < mUntil; }
  steady_time Until() const { return mUntil; }

private:
  int mConsecutive = 0;
  duration mLength{ 0 };
  steady_time mUntil{};
};

} // namespace cowslipline
