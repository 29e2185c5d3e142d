#pragma once

#include "core/metrics.h"
#include "core/scheduler.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/limits/allotment_manager.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/local_fraction.h"
#include "modules/limits/organisation_limits.h"
#include "modules/limits/token_pool.h"

#include <array>
#include <map>
#include <memory>
#include <set>

namespace cowslipline {

/// The owner's side of the limiter: collects the fractions that members
/// delegate for the shards that this instance owns, and grants tokens from
/// them.
class shard_owner
{
public:
  shard_owner(scheduler& aScheduler,
              std::shared_ptr<peer_channel> aChannel,
              std::shared_ptr<membership> aMembership,
              const organisation_limits& aLimits,
              allotment_manager& aAllotment,
              local_fraction& aLocalFraction);

  /// Requests delegations each period. Returns after Leave().
  void Run(yield_context aYield);

  /// Answers a request for tokens, from a peer or from this instance.
  token_reply HandleRequest(const instance_name& aFrom,
                            const token_request& aRequest);

  /// Handles a notice that the sender has units to delegate. Makes this
  /// instance the interim owner of aShards, whose owner has failed.
  void HandleNotice(const instance_name& aFrom, shard_mask aShards);

  /// Takes a token for immediate use by this instance.
  bool Take(std::string_view aOrganisation, const rate_limits& aLimits);

  /// Stops granting and releases all delegations once the granted tokens are
  /// used or have expired.
  void Leave(yield_context aYield);

  std::size_t BucketCount() const;

private:
  struct owned_shard
  {
    bool mIsOwned = false;
    /// Ownership has ended, but granted tokens may still be in use.
    bool mIsReleasing = false;
    steady_time mInterimOwnerUntil{ duration(0) };
    steady_time mInUseUntil{ duration(0) };
    token_pool mPool;
  };

  void SleepUntilNextRound(steady_time aEnd, yield_context aYield);
  void UpdateOwnership();
  void StartOwning(shard_index aShard);
  void StopOwning(shard_index aShard);
  void ReleaseDrained();
  void RequestFromAll(shard_mask aShards);
  delegation_message NextRequest(shard_mask aShards);
  void RequestFromSelf(shard_mask aShards);
  void RequestFromPeer(const instance_name& aName,
                       shard_mask aShards,
                       yield_context aYield);
  void ApplyDelegations(const instance_name& aName,
                        const delegation_message& aRequest,
                        const std::vector<unsigned>& aUnits,
                        steady_time aSent);
  shard_mask OwnedShards() const;
  shard_mask ShardsInUse() const;
  void DropIdle();
  std::vector<instance_name> LikelyHolders() const;
  token_reply_item HandleItem(const instance_name& aFrom,
                              const token_request_item& aItem);
  const member& Self() const { return mMembership->Self(); }

  scheduler& mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  const organisation_limits& mLimits;
  allotment_manager& mAllotment;
  local_fraction& mLocalFraction;
  event mWake;
  bool mIsLeaving = false;
  std::uint64_t mSequence = 0;
  shard_mask mRequestedShards = 0;
  shard_mask mShardsLastInUse = 0;
  std::array<owned_shard, kShardCount> mShards;
  std::map<instance_name, std::uint64_t> mAppliedSequence;
  std::set<instance_name> mAnnouncedHolders;
};

} // namespace cowslipline
