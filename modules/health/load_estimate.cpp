#include "modules/health/load_estimate.h"

#include <cmath>

namespace cowslipline {

namespace {

constexpr double kSmoothing = 0.2;
/// Old readings lose their weight, or a target that was slow once would never
/// be tried again.
constexpr double kMemorySeconds = 5;
/// Smaller differences are noise at one instance's few requests; choosing by
/// them sent three times as much to some targets as to their equals.
constexpr double kTypicalFactor = 1.5;
/// A target that sheds everything counts as five times as loaded.
constexpr double kShedPenalty = 4;

} // namespace

void
load_estimate::Record(attempt_outcome aOutcome,
                      duration aLatency,
                      steady_time aNow)
{
  const bool isShed = aOutcome == attempt_outcome::Shed;
  mShedShare += kSmoothing * ((isShed ? 1.0 : 0.0) - mShedShare);
  mUpdated = aNow;
  // Failures may be fast; their latency would attract more requests.
  if (aOutcome != attempt_outcome::Success) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aLatency).count();
  mLatencySeconds =
    mLatencySeconds == 0
      ? seconds
      : mLatencySeconds + kSmoothing * (seconds - mLatencySeconds);
}

double
load_estimate::Score(std::uint32_t aInFlight,
                     double aTypicalSeconds,
                     steady_time aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mUpdated).count();
  const double trust = std::exp(-age / kMemorySeconds);
  const bool isTypical = mLatencySeconds < aTypicalSeconds * kTypicalFactor &&
                         mLatencySeconds * kTypicalFactor > aTypicalSeconds;
  const double known =
    isTypical || mLatencySeconds == 0 ? aTypicalSeconds : mLatencySeconds;
  const double seconds = aTypicalSeconds + (known - aTypicalSeconds) * trust;
  return (aInFlight + 1) * seconds * (1 + kShedPenalty * mShedShare * trust);
}

} // namespace cowslipline
