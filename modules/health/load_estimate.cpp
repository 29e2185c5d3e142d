#include "modules/health/load_estimate.h"

#include <cmath>

namespace cowslipline {

namespace {

/// Weight of the newest value in the moving averages.
constexpr double kNewValueWeight = 0.2;
/// Time in which the trust in the averages falls to 1/e. Without this decay, a
/// target that was slow once would never be chosen again.
constexpr double kTrustDecaySeconds = 5;
/// Latencies within this factor of the mean count as equal to it. A single
/// instance sees few requests, so smaller differences are noise; choosing by
/// them sent three times as many requests to some of several equal targets.
constexpr double kEqualLatencyFactor = 1.5;
/// A target that sheds every request counts as five times as loaded.
constexpr double kShedPenalty = 4;

} // namespace

void
load_estimate::Record(attempt_outcome aOutcome,
                      duration aLatency,
                      steady_time aNow)
{
  const bool isShed = aOutcome == attempt_outcome::Shed;
  mShedShare += kNewValueWeight * ((isShed ? 1.0 : 0.0) - mShedShare);
  mUpdated = aNow;
  // Failures may be fast; with their latency a failing target would get more
  // requests.
  if (aOutcome != attempt_outcome::Success) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aLatency).count();
  mLatencySeconds =
    mLatencySeconds == 0
      ? seconds
      : mLatencySeconds + kNewValueWeight * (seconds - mLatencySeconds);
}

double
load_estimate::Score(std::uint32_t aInFlight,
                     double aMeanSeconds,
                     steady_time aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mUpdated).count();
  const double trust = std::exp(-age / kTrustDecaySeconds);
  const bool isTypical = mLatencySeconds < aMeanSeconds * kEqualLatencyFactor &&
                         mLatencySeconds * kEqualLatencyFactor > aMeanSeconds;
  const double known =
    isTypical || mLatencySeconds == 0 ? aMeanSeconds : mLatencySeconds;
  const double seconds = aMeanSeconds + (known - aMeanSeconds) * trust;
  return (aInFlight + 1) * seconds * (1 + kShedPenalty * mShedShare * trust);
}

} // namespace cowslipline
