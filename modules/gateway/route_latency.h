#pragma once

#include "core/time.h"

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace cowslipline {

/// Median latency of the recent successful attempts of each route. Safe from
/// any thread.
class route_latency
{
public:
  void Add(std::string_view aRouteId, duration aLatency);
  /// Zero while the route has no successful attempt.
  duration Median(std::string_view aRouteId) const;

private:
  static constexpr std::size_t kSamples = 32;
  struct samples
  {
    std::array<duration, kSamples> mRing{};
    std::size_t mCount = 0;
    duration mMedian{};
  };

  mutable std::mutex mMutex;
  std::map<std::string, samples, std::less<>> mRoutes;
};

} // namespace cowslipline
