#include "modules/sharing/quota_window.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Part of the quota that an owner without knowledge of the past takes as used,
// at first: an organisation uses about five eighths of it.
constexpr double kAssumedPart = 0.6;

// Within this time those who ask have told what they were admitted.
constexpr duration kAssumedTime = 1s;

// The demand beyond the quota is averaged over this time.
constexpr duration kDemandTime = 1s;

// Callers come back within this time at the latest; most deadlines are not
// longer than a few seconds.
constexpr duration kLongestRetryAfter = 3s;

constexpr duration kForgetAfter = 120s;

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
quota_windows::Advance(window& aWindow, steady_time aNow) const
{
  const auto slot = aNow.time_since_epoch() / SlotLength();
  const auto count = static_cast<std::int64_t>(aWindow.mAdmitted.size());
  const auto passed = std::min(slot - aWindow.mSlot, count);
  for (std::int64_t i = 1; i <= passed; ++i) {
    const auto cleared = (slot - passed + i) % count;
    aWindow.mAdmitted[static_cast<std::size_t>(cleared)] = 0;
  }
  aWindow.mSlot = std::max(aWindow.mSlot, slot);
}

quota_decision
quota_windows::Admit(std::string_view aOrganisation,
                     const quota_limit& aLimit,
                     std::uint64_t aEpoch,
                     steady_time aNow)
{
  if (aLimit.mRate <= 0) {
    return { true, duration(0) };
  }
  if (mLastEpoch != aEpoch) {
    mLastEpoch = aEpoch;
    mEpochSince = aNow;
  }
  const double most =
    std::max(1.0, aLimit.mRate * Seconds(mWindow) + aLimit.mBurst);
  const auto placed = mWindows.try_emplace(std::string(aOrganisation));
  auto& window = placed.first->second;
  Advance(window, aNow);
  // Only an owner of a whole window knows that nothing was admitted.
  const bool isPastKnown = window.mEpoch == 0
                             ? aNow - mEpochSince >= mWindow
                             : window.mEpoch == aEpoch;
  if (!isPastKnown) {
    window.mAssumedUntil = aNow + kAssumedTime;
  }
  window.mEpoch = aEpoch;
  window.mRefused *=
    std::exp(-Seconds(aNow - window.mUpdatedAt) / Seconds(kDemandTime));
  window.mUpdatedAt = aNow;
  const double assumed = window.mAssumedUntil <= aNow
                           ? 0
                           : most * kAssumedPart *
                               Seconds(window.mAssumedUntil - aNow) /
                               Seconds(kAssumedTime);
  const double used =
    std::accumulate(
      window.mAdmitted.begin(), window.mAdmitted.end(), assumed);
  if (used + 1 <= most) {
    const auto present = static_cast<std::size_t>(window.mSlot) %
                         window.mAdmitted.size();
    window.mAdmitted[present] += 1;
    return { true, duration(0) };
  }
  window.mRefused += 1;
  // Room comes when the oldest parts leave the window; those refused in the
  // last second come back over the time in which the rate makes it.
  double freed = 0;
  std::size_t slots = 1;
  const auto count = window.mAdmitted.size();
  for (; slots < count && used - freed + 1 > most; ++slots) {
    const auto oldest =
      (static_cast<std::size_t>(window.mSlot) + slots) % count;
    freed += window.mAdmitted[oldest];
  }
  const auto room = SlotLength() * static_cast<int>(slots);
  const auto turn = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(window.mRefused / aLimit.mRate));
  return { false, std::min<duration>(kLongestRetryAfter, room + turn) };
}

void
quota_windows::AddPast(std::string_view aOrganisation,
                       const admitted_history& aHistory,
                       steady_time aNow)
{
  if (aHistory == admitted_history()) {
    return;
  }
  auto& window = mWindows[std::string(aOrganisation)];
  Advance(window, aNow);
  window.mUpdatedAt = aNow;
  const auto count = window.mAdmitted.size();
  for (std::size_t part = 0; part < kHistoryParts; ++part) {
    const auto age = part * kSlots / kHistoryParts;
    const auto slot = static_cast<std::size_t>(window.mSlot) + count - age;
    window.mAdmitted[slot % count] += static_cast<float>(aHistory[part]);
  }
}

void
quota_windows::Prune(steady_time aNow)
{
  for (auto entry = mWindows.begin(); entry != mWindows.end();) {
    const bool isOld = aNow - entry->second.mUpdatedAt > kForgetAfter;
    entry = isOld ? mWindows.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
