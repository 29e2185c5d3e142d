#include "modules/limits/fraction_holder.h"

#include "modules/limits/limit_constants.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// The single source of the local pools.
constexpr char kOwnFraction[] = "own";

} // namespace

void
fraction_holder::SetUnits(unsigned aUnits, steady_time aNow)
{
  if (aUnits == mUnits) {
    return;
  }
  mUnits = aUnits;
  mUnitsSince = aNow;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    Settle(shard, aNow);
  }
}

unsigned
fraction_holder::Cede(shard_index aShard,
                      const owner_identity& aOwner,
                      std::uint64_t aSequence,
                      bool aIsPreferred,
                      duration aValidity,
                      steady_time aNow)
{
  auto& current = mCessions[aShard];
  const bool isSame = current.mOwner == aOwner;
  if (IsCeded(aShard, aNow) && !isSame) {
    if (aIsPreferred) {
      current.mContendedAt = aNow;
    }
    return 0;
  }
  const bool isContended =
    !aIsPreferred && aNow - current.mContendedAt < 2 * kCessionPeriod;
  const bool isOld = isSame && aSequence <= current.mSequence;
  if (!mIsCeding || mUnits == 0 || isContended || isOld) {
    return 0;
  }
  mPools[aShard].RemoveSources(aNow);
  current.mOwner = aOwner;
  current.mSequence = aSequence;
  // Never shortened: the owner counts the longer one if this reply is lost.
  current.mUntil = std::max(isSame ? current.mUntil : aNow,
                            aNow + WithClockRateMargin(aValidity));
  current.mIsEndReported = false;
  return mUnits;
}

void
fraction_holder::Release(shard_index aShard,
                         const owner_identity& aOwner,
                         std::uint64_t aSequence,
                         steady_time aNow)
{
  auto& current = mCessions[aShard];
  if (current.mOwner == aOwner && aSequence > current.mSequence) {
    current.mSequence = aSequence;
    current.mUntil = std::min(current.mUntil, aNow);
    Settle(aShard, aNow);
  }
}

steady_time
fraction_holder::EndOfCessions() const
{
  steady_time end{ duration(0) };
  for (const auto& current : mCessions) {
    end = std::max(end, current.mUntil);
  }
  return end;
}

std::map<instance_name, shard_mask>
fraction_holder::TakeEnded(steady_time aNow)
{
  std::map<instance_name, shard_mask> ended;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    auto& current = mCessions[shard];
    if (!current.mIsEndReported && !IsCeded(shard, aNow)) {
      current.mIsEndReported = true;
      ended[current.mOwner.mName] |= shard_mask{ 1 } << shard;
    }
  }
  return ended;
}

bool
fraction_holder::IsCeded(shard_index aShard, steady_time aNow) const
{
  return aNow < mCessions[aShard].mUntil;
}

bool
fraction_holder::Take(std::string_view aOrganisation,
                      const rate_limits& aLimits,
                      steady_time aNow)
{
  const auto shard = ShardOf(aOrganisation);
  if (mUnits == 0 || IsCeded(shard, aNow)) {
    return false;
  }
  Settle(shard, aNow);
  return mPools[shard].Take(aOrganisation, aLimits, 1, aNow) > 0;
}

void
fraction_holder::DropIdle(const token_pool::limits_lookup& aLookup,
                          steady_time aNow)
{
  for (auto& pool : mPools) {
    pool.DropIdle(aLookup, aNow);
  }
}

std::size_t
fraction_holder::BucketCount() const
{
  std::size_t count = 0;
  for (const auto& pool : mPools) {
    count += pool.BucketCount();
  }
  return count;
}

void
fraction_holder::Settle(shard_index aShard, steady_time aNow)
{
  if (IsCeded(aShard, aNow)) {
    return;
  }
  // A fraction that comes back has been empty since the cession ended. Units
  // that were added or replaced meanwhile count from their own beginning.
  const auto since = std::max(mCessions[aShard].mUntil, mUnitsSince);
  mPools[aShard].SetFraction(
    kOwnFraction, mUnits, token_pool::kNever, std::min(since, aNow), aNow);
}

} // namespace cowslipline
