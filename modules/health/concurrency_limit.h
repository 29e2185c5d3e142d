#pragma once

#include "modules/health/health_types.h"

#include <cstdint>

namespace cowslipline {

/// How many requests one instance keeps in flight at one target. The target's
/// slots are shared by the whole fleet, so each instance starts low and learns
/// from shed answers and timeouts.
class concurrency_limit
{
public:
  void Record(attempt_outcome aOutcome, std::uint32_t aSlots);

  std::uint32_t Value() const { return mLimit; }

private:
  std::uint32_t mLimit = 2;
  /// Successes since the limit last changed.
  std::uint32_t mSuccesses = 0;
};

} // namespace cowslipline
