#include "modules/limits/local_fraction.h"

#include "modules/limits/limit_constants.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// The single source of the local pools.
constexpr char kOwnFraction[] = "own";

} // namespace

void
local_fraction::SetUnits(unsigned aUnits, steady_time aNow)
{
  if (aUnits == mUnits) {
    return;
  }
  mUnits = aUnits;
  mUnitsSince = aNow;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    UpdatePool(shard, aNow);
  }
}

unsigned
local_fraction::Delegate(shard_index aShard,
                         const owner_identity& aOwner,
                         std::uint64_t aSequence,
                         bool aIsPreferred,
                         duration aValidity,
                         steady_time aNow)
{
  auto& current = mDelegations[aShard];
  const bool isSame = current.mOwner == aOwner;
  if (IsDelegated(aShard, aNow) && !isSame) {
    if (aIsPreferred) {
      current.mContendedAt = aNow;
    }
    return 0;
  }
  const bool isContended =
    !aIsPreferred && aNow - current.mContendedAt < 2 * kDelegationPeriod;
  const bool isOld = isSame && aSequence <= current.mSequence;
  if (!mIsDelegating || mUnits == 0 || isContended || isOld) {
    return 0;
  }
  mPools[aShard].RemoveSources(aNow);
  current.mOwner = aOwner;
  current.mSequence = aSequence;
  // Never shortened: if this reply is lost, the owner counts the earlier,
  // longer delegation.
  current.mUntil = std::max(isSame ? current.mUntil : aNow,
                            aNow + WithClockRateMargin(aValidity));
  current.mIsEndReported = false;
  return mUnits;
}

void
local_fraction::Release(shard_index aShard,
                        const owner_identity& aOwner,
                        std::uint64_t aSequence,
                        steady_time aNow)
{
  auto& current = mDelegations[aShard];
  if (current.mOwner == aOwner && aSequence > current.mSequence) {
    current.mSequence = aSequence;
    current.mUntil = std::min(current.mUntil, aNow);
    UpdatePool(aShard, aNow);
  }
}

steady_time
local_fraction::LatestDelegationEnd() const
{
  steady_time end{ duration(0) };
  for (const auto& current : mDelegations) {
    end = std::max(end, current.mUntil);
  }
  return end;
}

std::map<instance_name, shard_mask>
local_fraction::TakeEndedDelegations(steady_time aNow)
{
  std::map<instance_name, shard_mask> ended;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    auto& current = mDelegations[shard];
    if (!current.mIsEndReported && !IsDelegated(shard, aNow)) {
      current.mIsEndReported = true;
      ended[current.mOwner.mName] |= shard_mask{ 1 } << shard;
    }
  }
  return ended;
}

bool
local_fraction::IsDelegated(shard_index aShard, steady_time aNow) const
{
  return aNow < mDelegations[aShard].mUntil;
}

bool
local_fraction::Take(std::string_view aOrganisation,
                     const rate_limits& aLimits,
                     steady_time aNow)
{
  const auto shard = ShardOf(aOrganisation);
  if (mUnits == 0 || IsDelegated(shard, aNow)) {
    return false;
  }
  UpdatePool(shard, aNow);
  return mPools[shard].Take(aOrganisation, aLimits, 1, aNow) > 0;
}

void
local_fraction::DropIdle(const token_pool::limits_lookup& aLookup,
                         steady_time aNow)
{
  for (auto& pool : mPools) {
    pool.DropIdle(aLookup, aNow);
  }
}

std::size_t
local_fraction::BucketCount() const
{
  std::size_t count = 0;
  for (const auto& pool : mPools) {
    count += pool.BucketCount();
  }
  return count;
}

void
local_fraction::UpdatePool(shard_index aShard, steady_time aNow)
{
  if (IsDelegated(aShard, aNow)) {
    return;
  }
  // A returning fraction starts without tokens at the end of the delegation.
  // Units that were added or replaced later start when they were set.
  const auto since = std::max(mDelegations[aShard].mUntil, mUnitsSince);
  mPools[aShard].SetFraction(
    kOwnFraction, mUnits, token_pool::kNever, std::min(since, aNow), aNow);
}

} // namespace cowslipline
