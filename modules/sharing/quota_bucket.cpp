#include "modules/sharing/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Part of the burst that an owner without knowledge of the past admits.
constexpr double kUnknownPastShare = 0.25;

// The demand beyond the rate is averaged over this time.
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
  const double size = std::max(1.0, aLimit.mBurst);
  const auto placed = mBuckets.try_emplace(std::string(aOrganisation));
  auto& bucket = placed.first->second;
  if (placed.second) {
    bucket.mEpoch = aEpoch;
    bucket.mFilledAt = aNow;
    bucket.mTokens = std::min(size * kUnknownPastShare,
                              Seconds(aNow - mStart) * aLimit.mRate);
  }
  const double passed = Seconds(aNow - bucket.mFilledAt);
  bucket.mTokens = std::min(size, bucket.mTokens + passed * aLimit.mRate);
  bucket.mRefused *= std::exp(-passed / Seconds(kDemandTime));
  bucket.mFilledAt = aNow;
  if (bucket.mEpoch != aEpoch) {
    bucket.mEpoch = aEpoch;
    bucket.mTokens = std::min(bucket.mTokens, size * kUnknownPastShare);
  }
  if (bucket.mTokens >= 1) {
    bucket.mTokens -= 1;
    return { true, duration(0) };
  }
  bucket.mRefused += 1;
  // Those refused in the last second come back over the time in which the
  // bucket earns as many tokens.
  const double wait = (1 - bucket.mTokens + bucket.mRefused) / aLimit.mRate;
  const auto retryAfter = std::min<duration>(
    kLongestRetryAfter,
    std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)));
  return { false, retryAfter };
}

void
quota_buckets::Prune(steady_time aNow)
{
  for (auto entry = mBuckets.begin(); entry != mBuckets.end();) {
    const bool isOld = aNow - entry->second.mFilledAt > kForgetAfter;
    entry = isOld ? mBuckets.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
