#include "modules/sharing/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Part of the burst that may be used at once; the rest comes evenly over the
// window.
constexpr double kAtOncePart = 0.4;

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

quota_decision
quota_buckets::Admit(std::string_view aOrganisation,
                     const quota_limit& aLimit,
                     std::uint64_t aEpoch,
                     steady_time aNow)
{
  if (aLimit.mRate <= 0) {
    return { true, duration(0) };
  }
  const double size = std::max(1.0, aLimit.mBurst * kAtOncePart);
  const double rate =
    aLimit.mRate + aLimit.mBurst * (1 - kAtOncePart) / Seconds(mWindow);
  const auto placed = mBuckets.try_emplace(std::string(aOrganisation));
  auto& bucket = placed.first->second;
  if (placed.second) {
    bucket.mTokens = kFirstTokens;
    bucket.mAskedAt = aNow;
    bucket.mEpoch = aEpoch;
  }
  const auto passed = aNow - bucket.mAskedAt;
  bucket.mAskedAt = aNow;
  bucket.mRefused *= std::exp(-Seconds(passed) / Seconds(kDemandTime));
  bucket.mTokens = std::min(size, bucket.mTokens + Seconds(passed) * rate);
  if (bucket.mEpoch != aEpoch && passed > kContinuity) {
    bucket.mTokens = std::min(bucket.mTokens, kFirstTokens);
  }
  bucket.mEpoch = aEpoch;
  if (bucket.mTokens >= 1) {
    bucket.mTokens -= 1;
    return { true, duration(0) };
  }
  bucket.mRefused += 1;
  // Those refused in the last second come back over the time in which the
  // bucket earns as many tokens.
  const auto turn = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>((1 - bucket.mTokens + bucket.mRefused) / rate));
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
