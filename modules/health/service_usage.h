#pragma once

#include "modules/health/target_state.h"

#include <cstddef>
#include <vector>

namespace cowslipline {

/// The targets of a service that may get new requests at one moment.
struct service_usage
{
  std::vector<bool> mIsInUse; ///< By target index.
  /// Excluded targets that stay in use because of the floor, by target index.
  std::vector<bool> mIsKeptByFloor;
  std::size_t mInUseCount = 0;
};

/// Excludes draining targets, then targets with an open circuit breaker or an
/// ejection, the most severe first, while more targets than the floor (the
/// service's minimum of targets in use) remain. Draining targets are excluded
/// even below the floor; in that case no other target is excluded.
service_usage
EvaluateUsage(const service& aService,
              const service_state& aState,
              steady_time aNow);

} // namespace cowslipline
