#include "modules/health/decayed_histogram.h"

#include <cmath>
#include <numeric>

namespace cowslipline {

namespace {

constexpr double kHalfLifeSeconds = 10;
/// The median of fewer latencies is too uncertain to detect a slow target.
constexpr double kMinLatencies = 20;

} // namespace

void
decayed_histogram::Add(const evidence_counts& aCounts, steady_time aNow)
{
  const double age = std::chrono::duration<double>(aNow - mUpdated).count();
  const double decay = std::exp2(-age / kHalfLifeSeconds);
  mUpdated = aNow;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    mWeights.at(i) = mWeights.at(i) * decay + aCounts.mLatencies.at(i);
  }
}

void
decayed_histogram::AddTo(histogram_weights& aSum) const
{
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    aSum.at(i) += mWeights.at(i);
  }
}

std::optional<std::size_t>
MedianBucket(const histogram_weights& aWeights)
{
  const double total = std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  if (total < kMinLatencies) {
    return std::nullopt;
  }
  double sum = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    sum += aWeights.at(i);
    if (sum * 2 >= total) {
      return i;
    }
  }
  return kLatencyBuckets - 1;
}

} // namespace cowslipline
