#include "modules/placement/send_permits.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Requests/s granted for a target that names zero, so that its answers show
// when the limit ends.
constexpr double kMinRate = 0.2;

// Tokens that an idle bucket holds: those of this time, within the bounds.
constexpr duration kCapacityTime = 500ms;
constexpr double kMinCapacity = 2;

// Fraction of the rate that an owner grants which may not be the only one.
constexpr double kSharedFraction = 0.5;

// Time after which a first owner grants the whole rate. Targets count their
// requests over a few seconds.
constexpr duration kTakeoverTime = 4s;

constexpr duration kDemandDecayTime = 2s;

// Of the requests that a target bears in one second, left to the difference
// between the times of a permit and of the request's arrival.
constexpr double kArrivalMargin = 1;

// Parts of what a target bears in one second that the bucket of one owner may
// hold. There may be two owners for a while.
constexpr double kBucketDivisor = 4;

// Less urgent requests count as this one.
constexpr int kLowestPriority = 15;

constexpr duration kMaxRetryAfter = 3s;
constexpr duration kBucketLifetime = 60s;

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
send_permits::decaying_rate::Add(steady_time aNow)
{
  mCount = PerSecond(aNow) * Seconds(kDemandDecayTime) + 1;
  mUpdatedAt = aNow;
}

double
send_permits::decaying_rate::PerSecond(steady_time aNow) const
{
  return mCount *
         std::exp(-Seconds(aNow - mUpdatedAt) / Seconds(kDemandDecayTime)) /
         Seconds(kDemandDecayTime);
}

send_permits::pace
send_permits::PaceOf(const permit_request& aRequest, bool aIsOnlyOwner)
{
  const double named = std::max(kMinRate, aRequest.mRate);
  if (aRequest.mMostPerSecond <= 0) {
    const double rate = named * (aIsOnlyOwner ? 1 : kSharedFraction);
    return { rate, std::max(kMinCapacity, rate * Seconds(kCapacityTime)) };
  }
  // Within one second an owner grants its capacity and what it earns. Two
  // owners together stay within what the target bears: the only one grants the
  // rate, any other one what that leaves.
  const double most = std::max(0.0, aRequest.mMostPerSecond - kArrivalMargin);
  const double capacity = std::clamp(most / kBucketDivisor, 1.0, kMinCapacity);
  const double left = most - 2 * capacity;
  const double rate = std::clamp(left / (1 + kSharedFraction), kMinRate, named);
  const double shared = std::clamp(left - rate, kMinRate, rate);
  return { aIsOnlyOwner ? rate : shared, capacity };
}

permit_decision
send_permits::Take(const permit_request& aRequest, steady_time aNow)
{
  const int priority = std::clamp(aRequest.mPriority, 0, kLowestPriority);
  const auto inserted = mBuckets.try_emplace(std::string(aRequest.mTarget));
  auto& bucket = inserted.first->second;
  if (inserted.second) {
    bucket.mRefilledAt = aNow;
  }
  if (aRequest.mIsFirstOwner && !bucket.mIsFirstOwner) {
    bucket.mFirstOwnerSince = aNow;
  }
  bucket.mIsFirstOwner = aRequest.mIsFirstOwner;
  const bool isOnlyOwner =
    bucket.mIsFirstOwner && aNow - bucket.mFirstOwnerSince >= kTakeoverTime;
  const auto [rate, capacity] = PaceOf(aRequest, isOnlyOwner);
  bucket.mTokens = std::min(
    capacity, bucket.mTokens + rate * Seconds(aNow - bucket.mRefilledAt));
  bucket.mRefilledAt = aNow;

  double urgentDemand = 0;
  const auto lessUrgent = bucket.mDemand.lower_bound(priority);
  for (auto entry = bucket.mDemand.begin(); entry != lessUrgent; ++entry) {
    urgentDemand += entry->second.PerSecond(aNow);
  }
  bucket.mDemand[priority].Add(aNow);
  const double reserved = std::min(capacity - 1, urgentDemand / rate);
  if (bucket.mTokens >= 1 + reserved) {
    bucket.mTokens -= 1;
    return { true, duration(0) };
  }
  bucket.mRefusals.Add(aNow);
  // The refused ones of about the last second return over the time in which the
  // bucket earns as many tokens.
  const double missing = std::max(0.0, 1 + reserved - bucket.mTokens);
  const double wait = (missing + bucket.mRefusals.PerSecond(aNow)) / rate;
  return { false,
           std::min<duration>(kMaxRetryAfter,
                              std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(wait))) };
}

void
send_permits::Prune(steady_time aNow)
{
  for (auto entry = mBuckets.begin(); entry != mBuckets.end();) {
    const bool isOld = aNow - entry->second.mRefilledAt > kBucketLifetime;
    entry = isOld ? mBuckets.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
