#include "modules/health/concurrency_limit.h"

#include <algorithm>

namespace cowslipline {

void
concurrency_limit::Record(attempt_outcome aOutcome, std::uint32_t aSlots)
{
  if (aOutcome == attempt_outcome::Shed ||
      aOutcome == attempt_outcome::Timeout) {
    mLimit = std::max(1U, mLimit / 2);
    mSuccesses = 0;
    return;
  }
  if (aOutcome != attempt_outcome::Success) {
    return;
  }
  if (++mSuccesses >= mLimit) {
    mLimit = std::max(1U, std::min(mLimit + 1, aSlots));
    mSuccesses = 0;
  }
}

} // namespace cowslipline
