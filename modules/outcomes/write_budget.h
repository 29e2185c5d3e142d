#pragma once

#include "core/time.h"

namespace cowslipline {

/// Token bucket for store writes. Writes that must follow another one may
/// overdraw it; later writes then wait longer.
class write_budget
{
public:
  write_budget(double aWritesPerSecond, double aBurst, steady_time aNow);

  /// Zero when a write is allowed now.
  duration WaitTime(steady_time aNow);
  void Spend(steady_time aNow);

private:
  void Refill(steady_time aNow);

  double mRate;
  double mBurst;
  double mTokens;
  steady_time mRefilled;
};

} // namespace cowslipline
