#pragma once

#include "modules/health/evidence.h"

#include <array>
#include <optional>

namespace cowslipline {

using latency_weights = std::array<double, kLatencyBuckets>;

/// Recent latencies of one target; older ones lose their weight.
class latency_profile
{
public:
  void Add(const evidence_counts& aCounts, steady_time aNow);

  void AddTo(latency_weights& aSum) const;

private:
  latency_weights mWeights{};
  steady_time mUpdated{};
};

/// Bucket of the median; empty when there are too few latencies.
std::optional<std::size_t>
MedianBucket(const latency_weights& aWeights);

} // namespace cowslipline
