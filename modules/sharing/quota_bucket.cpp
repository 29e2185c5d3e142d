#include "modules/sharing/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Fractions of the tolerance that successive owners may use in one window: the
// bucket size takes its fraction of the slack, the refill rate its fraction of
// the overshoot. The rest covers the time in which two owners admit requests,
// until all instances know of a membership change. At the default slack the
// bucket holds 12 requests and refuses one request in a thousand of an
// organisation that sends at random times at three fifths of its quota.
constexpr double kBucketSlackFraction = 0.6;
constexpr double kRefillOvershootFraction = 0.4;

// Tokens of an owner that does not know how many requests other instances
// admitted before.
constexpr double kInitialTokens = 1;

// Time constant of the exponential decay of the refusal count.
constexpr duration kRefusalDecayTime = 1s;

// Longest delay that a refused caller is told to wait; most deadlines are not
// longer than a few seconds.
constexpr duration kMaxRetryAfter = 3s;

constexpr duration kIdleBucketExpiry = 120s;

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
quota_buckets::Advance(bucket& aBucket, steady_time aNow) const
{
  const auto slotLength = mTolerance.mWindow / static_cast<int>(kWindowSlots);
  const std::int64_t slot = aNow.time_since_epoch() / slotLength;
  const auto count = static_cast<std::int64_t>(aBucket.mAdmitted.size());
  const auto elapsedSlots = std::min(slot - aBucket.mSlot, count);
  for (std::int64_t i = 0; i < elapsedSlots; ++i) {
    aBucket.mAdmitted[static_cast<std::size_t>((slot - i) % count)] = 0;
  }
  aBucket.mSlot = std::max(aBucket.mSlot, slot);
}

quota_decision
quota_buckets::Admit(std::string_view aOrganisation,
                     const quota_limit& aLimit,
                     steady_time aSoleOwnerSince,
                     steady_time aNow)
{
  if (aLimit.mRate <= 0) {
    return { true, duration(0) };
  }
  const double window = Seconds(mTolerance.mWindow);
  const double maxInWindow =
    std::max(1.0, aLimit.mRate * window + aLimit.mBurst);
  const double bucketSize =
    std::max(1.0, mTolerance.mSlack * kBucketSlackFraction);
  const double refillRate =
    maxInWindow / window *
    (1 + mTolerance.mOvershoot * kRefillOvershootFraction);
  const auto inserted = mBuckets.try_emplace(std::string(aOrganisation));
  auto& bucket = inserted.first->second;
  if (inserted.second) {
    bucket.mTokens = kInitialTokens;
    bucket.mLastRequestAt = std::min(aSoleOwnerSince, aNow);
  }
  const auto elapsed = aNow - bucket.mLastRequestAt;
  bucket.mLastRequestAt = aNow;
  bucket.mRecentRefusals *=
    std::exp(-Seconds(elapsed) / Seconds(kRefusalDecayTime));
  bucket.mTokens =
    std::min(bucketSize, bucket.mTokens + Seconds(elapsed) * refillRate);
  if (bucket.mSoleOwnerSince != aSoleOwnerSince &&
      elapsed > kMaxContinuousGap) {
    const double maxTokens =
      kInitialTokens +
      Seconds(std::max(aNow - aSoleOwnerSince, duration(0))) * refillRate;
    bucket.mTokens = std::min(bucket.mTokens, maxTokens);
  }
  bucket.mSoleOwnerSince = aSoleOwnerSince;
  Advance(bucket, aNow);
  const double admitted =
    std::accumulate(bucket.mAdmitted.begin(), bucket.mAdmitted.end(), 0.0);
  if (bucket.mTokens >= 1 && admitted + 1 <= maxInWindow) {
    bucket.mTokens -= 1;
    const auto count = bucket.mAdmitted.size();
    bucket.mAdmitted[static_cast<std::size_t>(bucket.mSlot) % count] += 1;
    return { true, duration(0) };
  }
  bucket.mRecentRefusals += 1;
  // Spreads the retries of the callers refused in about the last second over
  // the time in which the bucket refills by as many tokens.
  const auto retryAfter =
    std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      (std::max(0.0, 1 - bucket.mTokens) + bucket.mRecentRefusals) /
      refillRate));
  return { false, std::min<duration>(kMaxRetryAfter, retryAfter) };
}

std::optional<quota_state>
quota_buckets::Release(std::string_view aOrganisation, steady_time aNow)
{
  const auto found = mBuckets.find(std::string(aOrganisation));
  if (found == mBuckets.end()) {
    return std::nullopt;
  }
  auto& bucket = found->second;
  Advance(bucket, aNow);
  quota_state state;
  state.mTokens = std::max(0.0, bucket.mTokens);
  state.mIdle = aNow - bucket.mLastRequestAt;
  const auto count = bucket.mAdmitted.size();
  const auto newest = static_cast<std::size_t>(bucket.mSlot) % count;
  for (std::size_t age = 0; age < count; ++age) {
    const auto part = std::min(age / kSlotsOfPart, quota_state::kParts - 1);
    state.mAdmitted[part] += static_cast<std::uint32_t>(
      bucket.mAdmitted[(newest + count - age) % count]);
  }
  mBuckets.erase(found);
  return state;
}

void
quota_buckets::Resume(std::string_view aOrganisation,
                      const std::vector<quota_state>& aStates,
                      steady_time aSoleOwnerSince,
                      steady_time aNow)
{
  if (aStates.empty()) {
    return;
  }
  const auto inserted = mBuckets.try_emplace(std::string(aOrganisation));
  auto& bucket = inserted.first->second;
  // What this instance knew before is outdated.
  if (inserted.second || aNow - bucket.mLastRequestAt > kMaxContinuousGap) {
    bucket.mTokens = aStates.front().mTokens;
    bucket.mLastRequestAt = aNow - aStates.front().mIdle;
  }
  bucket.mSoleOwnerSince = aSoleOwnerSince;
  Advance(bucket, aNow);
  const auto count = bucket.mAdmitted.size();
  const auto newest = static_cast<std::size_t>(bucket.mSlot) % count;
  for (const auto& state : aStates) {
    bucket.mTokens = std::min(bucket.mTokens, state.mTokens);
    // Each part counts as admitted at its end, so never too short.
    for (std::size_t part = 0; part < quota_state::kParts; ++part) {
      bucket.mAdmitted[(newest + count - part * kSlotsOfPart) % count] +=
        static_cast<float>(state.mAdmitted[part]);
    }
  }
}

void
quota_buckets::Prune(steady_time aNow)
{
  for (auto entry = mBuckets.begin(); entry != mBuckets.end();) {
    const bool isExpired =
      aNow - entry->second.mLastRequestAt > kIdleBucketExpiry;
    entry = isExpired ? mBuckets.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
