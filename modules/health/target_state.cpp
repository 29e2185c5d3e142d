#include "modules/health/target_state.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr double kFirstWeight = 0.1;
constexpr duration kSlowStart = std::chrono::seconds(10);
/// A held target is unreachable from here: as bad as a target can be.
constexpr double kHoldSeverity = 1;

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
  if (mHold.IsActive(aNow)) {
    worst = exclusion{ kHoldSeverity, mHold.Until() };
  }
  for (const auto& held : mEjections) {
    if (held.mAppliesHere && aNow < held.mExpires &&
        (!worst || held.mEjection.mSeverity > worst->mSeverity)) {
      worst = exclusion{ held.mEjection.mSeverity, held.mExpires };
    }
  }
  return worst;
}

double
target_state::WeightAt(steady_time aNow) const
{
  if (aNow >= mInUseSince + kSlowStart) {
    return 1;
  }
  // A target that the floor keeps in use has its return still ahead.
  if (aNow < mInUseSince) {
    return 1;
  }
  const double share = std::chrono::duration<double>(aNow - mInUseSince) /
                       std::chrono::duration<double>(kSlowStart);
  return kFirstWeight + (1 - kFirstWeight) * share;
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
