#pragma once

#include "modules/fleet/membership.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/token_pool.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace cowslipline {

/// Identifies one process of a shard owner. A restarted owner has another
/// identity, since it has lost the record of its grants.
struct owner_identity
{
  instance_name mName;
  std::uint64_t mBoot = 0;

  bool operator==(const owner_identity& aOther) const
  {
    return mName == aOther.mName && mBoot == aOther.mBoot;
  }
};

/// This instance's fraction of all rates. For each shard it is either used
/// locally or delegated to one owner for a limited time, as a lease, so that it
/// is never counted twice.
class local_fraction
{
public:
  /// Sets the units that this instance may use. Units taken away are no longer
  /// used locally, but earlier delegations last until LatestDelegationEnd().
  void SetUnits(unsigned aUnits, steady_time aNow);
  unsigned Units() const { return mUnits; }

  /// Delegates the fraction of a shard, or renews the delegation, for
  /// aValidity. Returns the delegated units. Returns 0 while another owner
  /// holds a delegation, while a preferred owner waits for it, or when the
  /// request is older than the last one handled. aIsPreferred: membership on
  /// this instance names the requesting instance as owner too. A delegation to
  /// another owner is not renewed while a preferred one asks for it.
  unsigned Delegate(shard_index aShard,
                    const owner_identity& aOwner,
                    std::uint64_t aSequence,
                    bool aIsPreferred,
                    duration aValidity,
                    steady_time aNow);

  /// Ends a delegation that its owner no longer counts. Ignored when the owner
  /// has sent a later request.
  void Release(shard_index aShard,
               const owner_identity& aOwner,
               std::uint64_t aSequence,
               steady_time aNow);

  /// Refuses further delegations; earlier ones last until
  /// LatestDelegationEnd().
  void StopDelegating() { mIsDelegating = false; }

  /// When the last of the current delegations ends.
  steady_time LatestDelegationEnd() const;
  /// Shards whose delegations ended without renewal since the last call, by
  /// owner.
  std::map<instance_name, shard_mask> TakeEndedDelegations(steady_time aNow);

  bool IsDelegated(shard_index aShard, steady_time aNow) const;

  /// Takes one token from the local bucket. Returns false when there is none or
  /// the shard is delegated.
  bool Take(std::string_view aOrganisation,
            const rate_limits& aLimits,
            steady_time aNow);

  void DropIdle(const token_pool::limits_lookup& aLookup, steady_time aNow);
  std::size_t BucketCount() const;

private:
  struct delegation
  {
    owner_identity mOwner;
    std::uint64_t mSequence = 0;
    steady_time mUntil{ duration(0) };
    bool mIsEndReported = true;
    /// When a preferred owner was last refused because another owner holds the
    /// delegation.
    steady_time mContendedAt{ duration(0) };
  };

  void UpdatePool(shard_index aShard, steady_time aNow);

  bool mIsDelegating = true;
  unsigned mUnits = 0;
  steady_time mUnitsSince{ duration(0) };
  std::array<delegation, kShardCount> mDelegations;
  std::array<token_pool, kShardCount> mPools;
};

} // namespace cowslipline
