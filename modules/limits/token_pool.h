#pragma once

#include "modules/fleet/peer_channel.h"
#include "modules/limits/rate_bucket.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Number of a grant, unique for one owner process; 0 means nothing granted.
using grant_id = std::uint64_t;

/// Whole tokens that an owner grants to one holder for kTokenValidity.
struct token_grant
{
  grant_id mId = 0;
  double mTokens = 0;
  /// When the next whole token is expected, if nothing was granted.
  duration mRetryAfter{ 0 };
};

/// Token buckets for the organisations of one shard, sized by a set of
/// fractions. An owner has one pool for each shard, sized by delegations; every
/// instance has one for each shard, sized by its own allotment while that is
/// not delegated.
///
/// A fraction that is added starts without tokens and fills with time, so that
/// tokens are never created by moving a fraction. Buckets exist only for
/// organisations in use: a missing bucket stands for one that has filled since
/// its fractions were added.
class token_pool
{
public:
  using limits_lookup = std::function<rate_limits(std::string_view)>;

  /// Expiry time of a source that never expires.
  static constexpr steady_time kNever = steady_time::max();

  /// Sets the units that a source contributes until aUntil. Units that the
  /// source adds to its earlier ones count as added at aSince, which must not
  /// be later than aNow. 0 units removes the source.
  void SetFraction(const instance_name& aSource,
                   unsigned aUnits,
                   steady_time aUntil,
                   steady_time aSince,
                   steady_time aNow);

  unsigned Units(steady_time aNow);

  /// Takes up to aWanted tokens for immediate use.
  double Take(std::string_view aOrganisation,
              const rate_limits& aLimits,
              double aWanted,
              steady_time aNow);

  /// Takes up to aWanted tokens for use by another instance and reserves their
  /// place in the bucket until they are reported used or have expired.
  token_grant Grant(std::string_view aOrganisation,
                    const rate_limits& aLimits,
                    double aWanted,
                    const instance_name& aHolder,
                    steady_time aNow);

  /// Frees the reservation of tokens that the holder has used or dropped.
  /// aUsed is the total for this grant, so that repeated and reordered reports
  /// do no harm.
  void Report(std::string_view aOrganisation,
              const instance_name& aHolder,
              grant_id aGrant,
              double aUsed,
              steady_time aNow);

  /// Time until a whole token is expected.
  duration TimeToToken(std::string_view aOrganisation,
                       const rate_limits& aLimits,
                       steady_time aNow);

  /// Removes full buckets without reservations.
  void DropIdle(const limits_lookup& aLookup, steady_time aNow);

  /// Removes all fractions. Reservations stay until they have expired: a pool
  /// that gets fractions again must still count them.
  void RemoveSources(steady_time aNow);

  bool HasReservations(steady_time aNow);
  std::size_t BucketCount() const { return mEntries.size(); }
  std::vector<instance_name> Sources() const;
  bool IsEmpty() const { return mSources.empty() && mEntries.empty(); }

private:
  struct slice
  {
    unsigned mUnits;
    steady_time mSince;
  };
  struct source
  {
    unsigned mUnits = 0;
    steady_time mUntil;
    std::vector<slice> mSlices; ///< Oldest first.
  };
  struct reservation
  {
    grant_id mId;
    instance_name mHolder;
    double mAmount;
    double mLeft;
    steady_time mExpires;
  };
  struct entry
  {
    rate_bucket mBucket;
    double mReserved = 0;
    std::vector<reservation> mReservations;
  };

  void Expire(steady_time aNow);
  void RefillAll(steady_time aNow);
  void ClipAll();
  void RefillEntry(entry& aEntry,
                   const rate_limits& aLimits,
                   steady_time aNow) const;
  entry& FindOrCreate(std::string_view aOrganisation,
                      const rate_limits& aLimits,
                      steady_time aNow);
  double FullLevel(const rate_limits& aLimits, steady_time aNow) const;
  double Fraction() const;
  void CheckBound(const entry& aEntry) const;

  std::map<instance_name, source, std::less<>> mSources;
  std::map<std::string, entry, std::less<>> mEntries;
  unsigned mUnits = 0;
  steady_time mNextExpiry = kNever;
  grant_id mLastGrant = 0;
};

} // namespace cowslipline
