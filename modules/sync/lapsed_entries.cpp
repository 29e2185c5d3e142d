#include "modules/sync/lapsed_entries.h"

#include <algorithm>

namespace cowslipline {

namespace {

// At least one known entry in three is missing: the store had an outage, in
// which most leases run out. Few are missing when only this instance was cut
// off.
constexpr std::size_t kMassLapseDivisor = 3;

} // namespace

void
lapsed_entries::BeginGracePeriod(steady_time aGraceEnd, bool aIsRestored)
{
  mGraceEnd = aGraceEnd;
  mIsRestored = aIsRestored;
  mMissingCount = 0;
}

std::vector<std::string>
lapsed_entries::SelectForRemoval(const std::vector<std::string>& aMissing,
                                 std::size_t aKnown,
                                 steady_time aNow)
{
  if (aNow < mGraceEnd) {
    mMissingCount += aMissing.size();
    if (mIsRestored || mMissingCount * kMassLapseDivisor >= aKnown) {
      mDeferred.insert(aMissing.begin(), aMissing.end());
      return {};
    }
  }
  return aMissing;
}

duration
lapsed_entries::TimeToExpiry(steady_time aNow) const
{
  if (mDeferred.empty()) {
    return duration::max();
  }
  return std::max(mGraceEnd - aNow, duration(0));
}

std::vector<std::string>
lapsed_entries::TakeExpired(steady_time aNow)
{
  if (aNow < mGraceEnd) {
    return {};
  }
  std::vector<std::string> expired(mDeferred.begin(), mDeferred.end());
  mDeferred.clear();
  return expired;
}

} // namespace cowslipline
