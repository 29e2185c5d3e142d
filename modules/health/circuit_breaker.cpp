#include "modules/health/circuit_breaker.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr int kFailuresToOpen = 3;
constexpr duration kFirstOpenTime = std::chrono::seconds(2);
constexpr duration kMaxOpenTime = std::chrono::seconds(30);

bool
IsHardFailure(attempt_outcome aOutcome)
{
  return aOutcome == attempt_outcome::ConnectFailure ||
         aOutcome == attempt_outcome::Timeout;
}

} // namespace

bool
circuit_breaker::Record(attempt_outcome aOutcome, steady_time aNow)
{
  if (!IsHardFailure(aOutcome)) {
    mConsecutiveFailures = 0;
    if (aOutcome == attempt_outcome::Success) {
      mOpenTime = duration(0);
    }
    return false;
  }
  // Attempts that were in flight when the breaker opened must not extend the
  // time.
  if (IsOpen(aNow)) {
    return false;
  }
  // After the breaker has closed, a single hard failure opens it again: the
  // fault has not ended.
  ++mConsecutiveFailures;
  if (mConsecutiveFailures < kFailuresToOpen && mOpenTime == duration(0)) {
    return false;
  }
  mOpenTime = std::clamp(mOpenTime * 2, kFirstOpenTime, kMaxOpenTime);
  mOpenUntil = aNow + mOpenTime;
  mConsecutiveFailures = 0;
  return true;
}

} // namespace cowslipline
