#include "modules/sync/lapsed_entries.h"

#include <algorithm>

namespace cowslipline {

namespace {

// Those that left while one instance was cut off are few. Leases that ran out
// while the store was away are most of all leases.
constexpr std::size_t kMassLapseDivisor = 3;

} // namespace

void
lapsed_entries::BeginGrace(steady_time aUntil)
{
  mGraceUntil = aUntil;
  mMissing = 0;
}

std::vector<std::string>
lapsed_entries::Decide(const std::vector<std::string>& aMissing,
                       std::size_t aKnown,
                       steady_time aNow)
{
  if (aNow < mGraceUntil) {
    mMissing += aMissing.size();
    if (mMissing * kMassLapseDivisor >= aKnown) {
      mHeld.insert(aMissing.begin(), aMissing.end());
      return {};
    }
  }
  return aMissing;
}

duration
lapsed_entries::TimeToOverdue(steady_time aNow) const
{
  if (mHeld.empty()) {
    return duration::max();
  }
  return std::max(mGraceUntil - aNow, duration(0));
}

std::vector<std::string>
lapsed_entries::TakeOverdue(steady_time aNow)
{
  if (aNow < mGraceUntil) {
    return {};
  }
  std::vector<std::string> overdue(mHeld.begin(), mHeld.end());
  mHeld.clear();
  return overdue;
}

} // namespace cowslipline
