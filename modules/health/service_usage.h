#pragma once

#include "modules/health/target_state.h"

#include <cstddef>
#include <vector>

namespace cowslipline {

/// Which targets of a service may get new work at one moment.
struct service_usage
{
  std::vector<bool> mIsInUse;
  /// Targets that should be out but that the floor keeps in use.
  std::vector<bool> mIsKeptByFloor;
  std::size_t mInUseCount = 0;
};

/// Applies draining, the local holds and the ejections, the most severe first
/// and never below the floor. Draining targets do not count as in use: when
/// they alone reach the floor, nothing else is taken out.
service_usage
EvaluateUsage(const service& aService,
              const service_state& aState,
              steady_time aNow);

} // namespace cowslipline
