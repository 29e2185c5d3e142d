#include "modules/gateway/route_latency.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// The median is computed again after this many samples.
constexpr std::size_t kRefreshSamples = 8;

} // namespace

void
route_latency::Add(std::string_view aRouteId, duration aLatency)
{
  const std::lock_guard lock(mMutex);
  auto found = mRoutes.find(aRouteId);
  if (found == mRoutes.end()) {
    found = mRoutes.emplace(std::string(aRouteId), samples{}).first;
  }
  auto& route = found->second;
  route.mRing[route.mCount++ % kSamples] = aLatency;
  if (route.mCount % kRefreshSamples == 0 || route.mCount < kRefreshSamples) {
    auto sorted = route.mRing;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(route.mCount, kSamples));
    const auto middle = sorted.begin() + (end - sorted.begin()) / 2;
    std::nth_element(sorted.begin(), middle, end);
    route.mMedian = *middle;
  }
}

duration
route_latency::Median(std::string_view aRouteId) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mRoutes.find(aRouteId);
  return found == mRoutes.end() ? duration::zero() : found->second.mMedian;
}

} // namespace cowslipline
