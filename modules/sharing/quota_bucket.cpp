#include "modules/sharing/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Parts of the tolerance that successive owners may use in one window: of the
// slack by a full bucket, of the overshoot by its rate. The rest is for two
// owners at once, until all instances have heard of a change. A bucket of the
// usual slack, 12 requests, refuses one request in a thousand of an
// organisation that sends at random at three fifths of its quota.
constexpr double kSlackPart = 0.6;
constexpr double kOvershootPart = 0.4;

// Tokens of an owner that does not know what was admitted before.
constexpr double kFirstTokens = 1;

// An owner that is asked more often than this has not been replaced meanwhile.
constexpr duration kContinuity = 500ms;

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
quota_buckets::Advance(bucket& aBucket, steady_time aNow) const
{
  const auto length = mTolerance.mWindow / static_cast<int>(kSlots);
  const std::int64_t slot = aNow.time_since_epoch() / length;
  const auto count = static_cast<std::int64_t>(aBucket.mAdmitted.size());
  const auto passed = std::min(slot - aBucket.mSlot, count);
  for (std::int64_t i = 0; i < passed; ++i) {
    aBucket.mAdmitted[static_cast<std::size_t>((slot - i) % count)] = 0;
  }
  aBucket.mSlot = std::max(aBucket.mSlot, slot);
}

quota_decision
quota_buckets::Admit(std::string_view aOrganisation,
                     const quota_limit& aLimit,
                     steady_time aSince,
                     steady_time aNow)
{
  if (aLimit.mRate <= 0) {
    return { true, duration(0) };
  }
  const double window = Seconds(mTolerance.mWindow);
  const double most = std::max(1.0, aLimit.mRate * window + aLimit.mBurst);
  const double size = std::max(1.0, mTolerance.mSlack * kSlackPart);
  const double rate =
    most / window * (1 + mTolerance.mOvershoot * kOvershootPart);
  const auto placed = mBuckets.try_emplace(std::string(aOrganisation));
  auto& bucket = placed.first->second;
  if (placed.second) {
    bucket.mTokens = kFirstTokens;
    bucket.mAskedAt = std::min(aSince, aNow);
  }
  const auto passed = aNow - bucket.mAskedAt;
  bucket.mAskedAt = aNow;
  bucket.mRefused *= std::exp(-Seconds(passed) / Seconds(kDemandTime));
  bucket.mTokens = std::min(size, bucket.mTokens + Seconds(passed) * rate);
  if (bucket.mChangedAt != aSince && passed > kContinuity) {
    const double earned =
      kFirstTokens + Seconds(std::max(aNow - aSince, duration(0))) * rate;
    bucket.mTokens = std::min(bucket.mTokens, earned);
  }
  bucket.mChangedAt = aSince;
  Advance(bucket, aNow);
  const double used =
    std::accumulate(bucket.mAdmitted.begin(), bucket.mAdmitted.end(), 0.0);
  if (bucket.mTokens >= 1 && used + 1 <= most) {
    bucket.mTokens -= 1;
    const auto count = bucket.mAdmitted.size();
    bucket.mAdmitted[static_cast<std::size_t>(bucket.mSlot) % count] += 1;
    return { true, duration(0) };
  }
  bucket.mRefused += 1;
  // Those refused in the last second come back over the time in which the
  // bucket earns as many tokens.
  const auto turn =
    std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      (std::max(0.0, 1 - bucket.mTokens) + bucket.mRefused) / rate));
  return { false, std::min<duration>(kLongestRetryAfter, turn) };
}

void
quota_buckets::Prune(steady_time aNow)
{
  for (auto entry = mBuckets.begin(); entry != mBuckets.end();) {
    const bool isOld = aNow - entry->second.mAskedAt > kForgetAfter;
    entry = isOld ? mBuckets.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
