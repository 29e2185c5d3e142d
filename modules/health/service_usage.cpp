#include "modules/health/service_usage.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

struct candidate
{
  target_index mTarget = 0;
  double mSeverity = 0;
  std::uint32_t mHash = 0;
};

/// Orders by falling severity; equal severities by the hash of the name, so
/// that all instances keep the same targets.
bool
IsWorse(const candidate& aLeft, const candidate& aRight)
{
  if (aLeft.mSeverity != aRight.mSeverity) {
    return aLeft.mSeverity > aRight.mSeverity;
  }
  return aLeft.mHash < aRight.mHash;
}

/// Number of the aEligible targets that may be excluded.
std::size_t
MaxExclusions(std::size_t aEligible, std::size_t aFloor)
{
  return aEligible > aFloor ? aEligible - aFloor : 0;
}

} // namespace

service_usage
EvaluateUsage(const service& aService,
              const service_state& aState,
              steady_time aNow)
{
  const auto count = aState.mTargets.size();
  service_usage usage;
  usage.mIsInUse.assign(count, false);
  usage.mIsKeptByFloor.assign(count, false);
  std::vector<candidate> candidates;
  std::size_t eligible = 0;
  for (target_index i = 0; i < count; ++i) {
    const auto& state = *aState.mTargets[i];
    if (state.IsDraining(aService.mTargets[i], aNow)) {
      continue;
    }
    ++eligible;
    usage.mIsInUse[i] = true;
    if (const auto found = state.ExclusionAt(aNow)) {
      candidates.push_back({ i, found->mSeverity, state.mHash });
    }
  }
  std::sort(candidates.begin(), candidates.end(), IsWorse);
  const auto allowed = MaxExclusions(eligible, aService.mFloor);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const bool isOut = i < allowed;
    usage.mIsInUse[candidates[i].mTarget] = !isOut;
    usage.mIsKeptByFloor[candidates[i].mTarget] = !isOut;
  }
  usage.mInUseCount = static_cast<std::size_t>(
    std::count(usage.mIsInUse.begin(), usage.mIsInUse.end(), true));
  COWSLIPLINE_INVARIANT(usage.mInUseCount >=
                          std::min<std::size_t>(aService.mFloor, eligible),
                        "ejections must leave the floor in use");
  return usage;
}

} // namespace cowslipline
