#pragma once

#include "modules/health/health_types.h"

namespace cowslipline {

/// Circuit breaker: takes a target out of use at this instance only, after
/// three consecutive hard failures (connect failures and timeouts). It needs no
/// owner and also handles faults of this instance's own network path. The time
/// out of use doubles from 2 s to 30 s until an attempt succeeds.
class circuit_breaker
{
public:
  /// Returns true when this outcome opens the breaker.
  bool Record(attempt_outcome aOutcome, steady_time aNow);

  bool IsOpen(steady_time aNow) const { return aNow < mOpenUntil; }
  steady_time OpenUntil() const { return mOpenUntil; }

private:
  int mConsecutiveFailures = 0;
  duration mOpenTime{ 0 };
  steady_time mOpenUntil{};
};

} // namespace cowslipline
