#pragma once

#include "modules/health/health_types.h"

#include <cstdint>

namespace cowslipline {

/// Adaptive concurrency limit (additive increase, multiplicative decrease): the
/// number of requests that one instance may have in flight at one target. The
/// target's slots are shared by all instances, so the limit starts at 2, grows
/// by one after as many successes as its value, and halves on a shed answer or
/// a timeout.
class concurrency_limit
{
public:
  /// aSlots is the upper bound of the limit: the requests that the target can
  /// run at the same time.
  void Record(attempt_outcome aOutcome, std::uint32_t aSlots);

  std::uint32_t Value() const { return mLimit; }

private:
  std::uint32_t mLimit = 2;
  /// Successes since the limit last changed.
  std::uint32_t mSuccesses = 0;
};

} // namespace cowslipline
