#pragma once

#include "modules/fleet/membership.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/token_pool.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace cowslipline {

/// One process of an owner. A restarted owner is another one: it has forgotten
/// what it granted.
struct owner_identity
{
  instance_name mName;
  std::uint64_t mBoot = 0;

  bool operator==(const owner_identity& aOther) const
  {
    return mName == aOther.mName && mBoot == aOther.mBoot;
  }
};

/// This instance's own fraction of all rates: used locally, or ceded shard by
/// shard to one owner at a time.
class fraction_holder
{
public:
  /// Sets the units that this instance may use. Units taken away are not used
  /// from now on, but cessions made earlier last until EndOfCessions().
  void SetUnits(unsigned aUnits, steady_time aNow);
  unsigned Units() const { return mUnits; }

  /// Cedes the fraction for a shard, or renews the cession. Returns the units;
  /// 0 while another owner holds a cession, when this is not wanted (see
  /// aIsPreferred) or when the request is older than the last one handled.
  /// aIsPreferred: this instance also takes the asking one for the owner. A
  /// cession to another owner is not renewed while a preferred one asks.
  unsigned Cede(shard_index aShard,
                const owner_identity& aOwner,
                std::uint64_t aSequence,
                bool aIsPreferred,
                duration aValidity,
                steady_time aNow);

  /// The owner no longer counts the cession. Ignored when the owner has sent a
  /// later request.
  void Release(shard_index aShard,
               const owner_identity& aOwner,
               std::uint64_t aSequence,
               steady_time aNow);

  /// Stops ceding; cessions made earlier last until EndOfCessions().
  void StopCeding() { mIsCeding = false; }

  steady_time EndOfCessions() const;
  /// Cessions that have ended without renewal since the last call, by owner.
  std::map<instance_name, shard_mask> TakeEnded(steady_time aNow);

  bool IsCeded(shard_index aShard, steady_time aNow) const;

  /// Takes a whole token from the own fraction.
  bool Take(std::string_view aOrganisation,
            const rate_limits& aLimits,
            steady_time aNow);

  void DropIdle(const token_pool::limits_lookup& aLookup, steady_time aNow);
  std::size_t BucketCount() const;

private:
  struct cession
  {
    owner_identity mOwner;
    std::uint64_t mSequence = 0;
    steady_time mUntil{ duration(0) };
    bool mIsEndReported = true;
    /// When another instance that should be the owner last asked in vain.
    steady_time mContendedAt{ duration(0) };
  };

  void Settle(shard_index aShard, steady_time aNow);

  bool mIsCeding = true;
  unsigned mUnits = 0;
  steady_time mUnitsSince{ duration(0) };
  std::array<cession, kShardCount> mCessions;
  std::array<token_pool, kShardCount> mPools;
};

} // namespace cowslipline
