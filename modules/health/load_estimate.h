#pragma once

#include "modules/health/health_types.h"

namespace cowslipline {

/// Exponentially weighted moving averages (EWMA) of the latency and of the
/// share of shed answers of one target, as this instance observes them. Used to
/// compare the load of targets.
class load_estimate
{
public:
  void Record(attempt_outcome aOutcome, duration aLatency, steady_time aNow);

  /// Cost of one more request, in seconds, when aInFlight requests are already
  /// in flight: latency times queue length, raised for shed answers.
  /// aMeanSeconds replaces the latency when it is unknown or old.
  double Score(std::uint32_t aInFlight,
               double aMeanSeconds,
               steady_time aNow) const;

  /// Moving average of the latency in seconds; 0 before the first success.
  double LatencySeconds() const { return mLatencySeconds; }

private:
  double mLatencySeconds = 0;
  double mShedShare = 0;
  steady_time mUpdated{};
};

} // namespace cowslipline
