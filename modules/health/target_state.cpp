#include "modules/health/target_state.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr double kInitialWeight = 0.1;
constexpr duration kSlowStartTime = std::chrono::seconds(10);
/// A target with an open breaker is unreachable from this instance, which is
/// the highest severity.
constexpr double kOpenBreakerSeverity = 1;

} // namespace

bool
target_state::IsDraining(const target& aTarget, steady_time aNow) const
{
  return aTarget.mIsDraining || aNow < mDrainingUntil;
}

std::optional<exclusion>
target_state::ExclusionAt(steady_time aNow) const
{
  std::optional<exclusion> worst;
  if (mBreaker.IsOpen(aNow)) {
    worst = exclusion{ kOpenBreakerSeverity, mBreaker.OpenUntil() };
  }
  for (const auto& received : mEjections) {
    if (received.mAppliesHere && aNow < received.mExpires &&
        (!worst || received.mEjection.mSeverity > worst->mSeverity)) {
      worst = exclusion{ received.mEjection.mSeverity, received.mExpires };
    }
  }
  return worst;
}

double
target_state::WeightAt(steady_time aNow) const
{
  if (aNow >= mInUseSince + kSlowStartTime) {
    return 1;
  }
  // The floor keeps an excluded target in use; its slow start begins later.
  if (aNow < mInUseSince) {
    return 1;
  }
  const double share = std::chrono::duration<double>(aNow - mInUseSince) /
                       std::chrono::duration<double>(kSlowStartTime);
  return kInitialWeight + (1 - kInitialWeight) * share;
}

target_state*
service_state::FindTarget(std::string_view aName) const
{
  for (const auto& state : mTargets) {
    if (state->mName == aName) {
      return state.get();
    }
  }
  return nullptr;
}

target_state*
service_state::FindTargetByHash(std::uint32_t aHash) const
{
  for (const auto& state : mTargets) {
    if (state->mHash == aHash) {
      return state.get();
    }
  }
  return nullptr;
}

} // namespace cowslipline
