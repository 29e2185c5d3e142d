#pragma once

#include "modules/health/health_types.h"

namespace cowslipline {

/// Recent latency and shed answers of one target as this instance sees them.
class load_estimate
{
public:
  void Record(attempt_outcome aOutcome, duration aLatency, steady_time aNow);

  /// Seconds that a further request is expected to take with aInFlight
  /// requests already there. aTypicalSeconds stands in for what is not known.
  double Score(std::uint32_t aInFlight,
               double aTypicalSeconds,
               steady_time aNow) const;

  /// Recent latency in seconds; 0 when nothing is known.
  double LatencySeconds() const { return mLatencySeconds; }

private:
  double mLatencySeconds = 0;
  double mShedShare = 0;
  steady_time mUpdated{};
};

} // namespace cowslipline
