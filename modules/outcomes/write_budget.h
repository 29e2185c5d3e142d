#pragma once

#include "core/time.h"

namespace cowslipline {

/// Token bucket that limits the rate of store writes of one shard. The number
/// of tokens may become negative, since one commit may need several writes;
/// later writes then wait longer.
class write_budget
{
public:
  write_budget(double aWritesPerSecond, double aBurst, steady_time aNow);

  /// Time until a write is allowed; zero if it is allowed now.
  duration WaitTime(steady_time aNow);
  /// Takes a token, whether or not one is left.
  void Spend(steady_time aNow);

private:
  void Refill(steady_time aNow);

  double mRate;
  double mBurst;
  double mTokens;
  steady_time mRefilled;
};

} // namespace cowslipline
