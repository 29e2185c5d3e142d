#pragma once

#include "modules/health/evidence.h"

#include <array>
#include <optional>

namespace cowslipline {

/// Weight of each latency bucket, in latencies.
using histogram_weights = std::array<double, kLatencyBuckets>;

/// Exponentially decayed latency histogram of one target, with a half-life of
/// 10 s.
class decayed_histogram
{
public:
  void Add(const evidence_counts& aCounts, steady_time aNow);

  /// Adds the weights of this histogram, as of the last Add(), to aSum.
  void AddTo(histogram_weights& aSum) const;

private:
  histogram_weights mWeights{};
  steady_time mUpdated{};
};

/// Index of the bucket with the median; empty when there are fewer than 20
/// latencies.
std::optional<std::size_t>
MedianBucket(const histogram_weights& aWeights);

} // namespace cowslipline
