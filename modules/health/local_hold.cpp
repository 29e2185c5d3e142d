#include "modules/health/local_hold.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr int kFailuresToHold = 3;
constexpr duration kFirstHold = std::chrono::seconds(2);
constexpr duration kLongestHold = std::chrono::seconds(30);

bool
IsHardFailure(attempt_outcome aOutcome)
{
  return aOutcome == attempt_outcome::ConnectFailure ||
         aOutcome == attempt_outcome::Timeout;
}

} // namespace

bool
local_hold::Record(attempt_outcome aOutcome, steady_time aNow)
{
  if (!IsHardFailure(aOutcome)) {
    mConsecutive = 0;
    if (aOutcome == attempt_outcome::Success) {
      mLength = duration(0);
    }
    return false;
  }
  // Attempts that were in flight when the hold began must not lengthen it.
  if (IsActive(aNow)) {
    return false;
  }
  // After a hold one further hard failure is enough: the fault has not ended.
  ++mConsecutive;
  if (mConsecutive < kFailuresToHold && mLength == duration(0)) {
    return false;
  }
  mLength = std::clamp(mLength * 2, kFirstHold, kLongestHold);
  mUntil = aNow + mLength;
  mConsecutive = 0;
  return true;
}

} // namespace cowslipline
