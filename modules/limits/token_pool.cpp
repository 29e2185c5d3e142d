#include "modules/limits/token_pool.h"

#include "core/check.h"
#include "modules/limits/limit_constants.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// Changes a list of slices to aNew units. Removes the newest units first.
template<typename slices>
void
ResizeSlices(slices& aSlices, unsigned aOld, unsigned aNew, steady_time aSince)
{
  if (aNew > aOld) {
    aSlices.push_back({ aNew - aOld, aSince });
    return;
  }
  auto surplus = aOld - aNew;
  while (surplus > 0) {
    auto& last = aSlices.back();
    const auto removed = std::min(surplus, last.mUnits);
    last.mUnits -= removed;
    surplus -= removed;
    if (last.mUnits == 0) {
      aSlices.pop_back();
    }
  }
}

} // namespace

void
token_pool::SetFraction(const instance_name& aSource,
                        unsigned aUnits,
                        steady_time aUntil,
                        steady_time aSince,
                        steady_time aNow)
{
  Expire(aNow);
  auto& source = mSources[aSource];
  if (aUnits != source.mUnits) {
    RefillAll(aNow);
    ResizeSlices(source.mSlices, source.mUnits, aUnits, aSince);
    mUnits = mUnits - source.mUnits + aUnits;
    COWSLIPLINE_INVARIANT(mUnits <= kAllotmentUnits,
                          "the fractions of a shard exceed 1");
    source.mUnits = aUnits;
    ClipAll();
  }
  source.mUntil = aUntil;
  if (aUnits == 0) {
    mSources.erase(aSource);
  }
  mNextExpiry = kNever;
  for (const auto& [name, other] : mSources) {
    mNextExpiry = std::min(mNextExpiry, other.mUntil);
  }
}

unsigned
token_pool::Units(steady_time aNow)
{
  Expire(aNow);
  return mUnits;
}

double
token_pool::Take(std::string_view aOrganisation,
                 const rate_limits& aLimits,
                 double aWanted,
                 steady_time aNow)
{
  Expire(aNow);
  if (mUnits == 0) {
    return 0;
  }
  return FindOrCreate(aOrganisation, aLimits, aNow).mBucket.TakeWhole(aWanted);
}

token_grant
token_pool::Grant(std::string_view aOrganisation,
                  const rate_limits& aLimits,
                  double aWanted,
                  const instance_name& aHolder,
                  steady_time aNow)
{
  token_grant grant;
  Expire(aNow);
  if (mUnits > 0) {
    auto& bucketEntry = FindOrCreate(aOrganisation, aLimits, aNow);
    grant.mTokens = bucketEntry.mBucket.TakeWhole(aWanted);
    if (grant.mTokens > 0) {
      grant.mId = ++mLastGrant;
      bucketEntry.mReserved += grant.mTokens;
      bucketEntry.mReservations.push_back(
        { grant.mId,
          aHolder,
          grant.mTokens,
          grant.mTokens,
          aNow + WithClockRateMargin(kTokenValidity) });
      CheckBound(bucketEntry);
      return grant;
    }
  }
  grant.mRetryAfter = TimeToToken(aOrganisation, aLimits, aNow);
  return grant;
}

void
token_pool::Report(std::string_view aOrganisation,
                   const instance_name& aHolder,
                   grant_id aGrant,
                   double aUsed,
                   steady_time aNow)
{
  Expire(aNow);
  const auto found = mEntries.find(aOrganisation);
  if (found == mEntries.end()) {
    return;
  }
  auto& bucketEntry = found->second;
  RefillEntry(bucketEntry, bucketEntry.mBucket.Limits(), aNow);
  for (auto& reserved : bucketEntry.mReservations) {
    if (reserved.mId == aGrant && reserved.mHolder == aHolder) {
      const auto left =
        std::clamp(reserved.mAmount - aUsed, 0.0, reserved.mLeft);
      bucketEntry.mReserved -= reserved.mLeft - left;
      reserved.mLeft = left;
    }
  }
}

duration
token_pool::TimeToToken(std::string_view aOrganisation,
                        const rate_limits& aLimits,
                        steady_time aNow)
{
  // Computed from the whole rate, and bounded: a new owner has few fractions at
  // first, and a long delay would keep holders from asking it again in time.
  constexpr double kLongestSeconds = 0.25;
  Expire(aNow);
  const auto rate = std::max(aLimits.mRate, kTokenEpsilon);
  const auto missing =
    1.0 - FindOrCreate(aOrganisation, aLimits, aNow).mBucket.Level();
  const auto seconds = std::min(std::max(missing, 0.0) / rate, kLongestSeconds);
  return duration(static_cast<duration::rep>(seconds * 1e6) + 1);
}

void
token_pool::DropIdle(const limits_lookup& aLookup, steady_time aNow)
{
  Expire(aNow);
  for (auto next = mEntries.begin(); next != mEntries.end();) {
    const auto current = next++;
    auto& bucketEntry = current->second;
    const auto limits = aLookup(current->first);
    RefillEntry(bucketEntry, limits, aNow);
    const auto isFull =
      bucketEntry.mBucket.Level() + kTokenEpsilon >= limits.mBurst * Fraction();
    if (bucketEntry.mReservations.empty() && isFull) {
      mEntries.erase(current);
    }
  }
}

void
token_pool::RemoveSources(steady_time aNow)
{
  for (const auto& name : Sources()) {
    SetFraction(name, 0, aNow, aNow, aNow);
  }
}

bool
token_pool::HasReservations(steady_time aNow)
{
  Expire(aNow);
  return std::any_of(
    mEntries.begin(), mEntries.end(), [aNow](const auto& aItem) {
      const auto& list = aItem.second.mReservations;
      return std::any_of(list.begin(), list.end(), [aNow](const auto& aOne) {
        return aOne.mLeft > 0 && aOne.mExpires > aNow;
      });
    });
}

std::vector<instance_name>
token_pool::Sources() const
{
  std::vector<instance_name> names;
  for (const auto& [name, ignored] : mSources) {
    names.push_back(name);
  }
  return names;
}

void
token_pool::Expire(steady_time aNow)
{
  while (mNextExpiry <= aNow) {
    // Tokens that the expiring fraction earned until its end are kept as far
    // as the remaining capacity allows.
    RefillAll(mNextExpiry);
    const auto end = mNextExpiry;
    mNextExpiry = kNever;
    for (auto next = mSources.begin(); next != mSources.end();) {
      const auto current = next++;
      if (current->second.mUntil <= end) {
        mUnits -= current->second.mUnits;
        mSources.erase(current);
      } else {
        mNextExpiry = std::min(mNextExpiry, current->second.mUntil);
      }
    }
    ClipAll();
  }
}

void
token_pool::RefillAll(steady_time aNow)
{
  for (auto& [name, bucketEntry] : mEntries) {
    RefillEntry(bucketEntry, bucketEntry.mBucket.Limits(), aNow);
  }
}

void
token_pool::ClipAll()
{
  for (auto& [name, bucketEntry] : mEntries) {
    bucketEntry.mBucket.Clip(bucketEntry.mBucket.Limits().mBurst * Fraction() -
                             bucketEntry.mReserved);
  }
}

void
token_pool::RefillEntry(entry& aEntry,
                        const rate_limits& aLimits,
                        steady_time aNow) const
{
  // The elapsed time is refilled with the old reservations; those that expired
  // in between are freed only afterwards.
  aEntry.mBucket.Refill(aLimits, Fraction(), aEntry.mReserved, aNow);
  auto& list = aEntry.mReservations;
  list.erase(std::remove_if(list.begin(),
                            list.end(),
                            [aNow](const reservation& aOne) {
                              return aOne.mExpires <= aNow || aOne.mLeft <= 0;
                            }),
             list.end());
  aEntry.mReserved = 0;
  for (const auto& one : list) {
    aEntry.mReserved += one.mLeft;
  }
}

token_pool::entry&
token_pool::FindOrCreate(std::string_view aOrganisation,
                         const rate_limits& aLimits,
                         steady_time aNow)
{
  const auto found = mEntries.find(aOrganisation);
  if (found != mEntries.end()) {
    RefillEntry(found->second, aLimits, aNow);
    return found->second;
  }
  entry created{ rate_bucket(aLimits, FullLevel(aLimits, aNow), aNow), 0, {} };
  return mEntries.emplace(std::string(aOrganisation), std::move(created))
    .first->second;
}

double
token_pool::FullLevel(const rate_limits& aLimits, steady_time aNow) const
{
  double level = 0;
  for (const auto& [name, source] : mSources) {
    for (const auto& part : source.mSlices) {
      const auto age = InSeconds(std::max(aNow - part.mSince, duration(0)));
      level += std::min(aLimits.mBurst, aLimits.mRate * age) * part.mUnits /
               kAllotmentUnits;
    }
  }
  return level;
}

double
token_pool::Fraction() const
{
  return static_cast<double>(mUnits) / kAllotmentUnits;
}

void
token_pool::CheckBound(const entry& aEntry) const
{
  COWSLIPLINE_INVARIANT(aEntry.mBucket.Level() + aEntry.mReserved <=
                          aEntry.mBucket.Limits().mBurst * Fraction() +
                            kTokenEpsilon * kAllotmentUnits,
                        "granted tokens and level exceed the delegated burst");
}

} // namespace cowslipline
