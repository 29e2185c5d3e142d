#include "modules/limits/shard_owner.h"

#include "core/check.h"
#include "modules/limits/limit_constants.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

constexpr duration kAnswerTimeout = std::chrono::seconds(1);
constexpr duration kReleasePoll = std::chrono::milliseconds(50);

constexpr shard_mask
Bit(shard_index aShard)
{
  return shard_mask{ 1 } << aShard;
}

/// When the owner must stop granting from a delegation, so that the tokens
/// granted before have expired when the delegation ends.
constexpr steady_time
LastGrant(steady_time aSent, duration aValidity)
{
  return aSent + aValidity - WithClockRateMargin(kTokenValidity);
}

} // namespace

shard_owner::shard_owner(scheduler& aScheduler,
                         std::shared_ptr<peer_channel> aChannel,
                         std::shared_ptr<membership> aMembership,
                         const organisation_limits& aLimits,
                         allotment_manager& aAllotment,
                         local_fraction& aLocalFraction)
  : mScheduler(aScheduler)
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mLimits(aLimits)
  , mAllotment(aAllotment)
  , mLocalFraction(aLocalFraction)
{
}

void
shard_owner::Run(yield_context aYield)
{
  auto nextFull = mScheduler.Now();
  while (!mIsLeaving) {
    UpdateOwnership();
    const auto now = mScheduler.Now();
    // A shard that is no longer in use needs its long delegation before the
    // short one ends; otherwise its fractions would return without tokens.
    const auto inUse = ShardsInUse();
    const bool isFull = now >= nextFull || OwnedShards() != mRequestedShards ||
                        (mShardsLastInUse & ~inUse) != 0;
    mShardsLastInUse = inUse;
    if (isFull) {
      nextFull = now + kDelegationPeriod;
      mRequestedShards = OwnedShards();
    }
    RequestFromAll(isFull ? mRequestedShards : inUse);
    SleepUntilNextRound(std::min(now + kDelegationPeriodInUse, nextFull),
                        aYield);
    DropIdle();
  }
}

void
shard_owner::SleepUntilNextRound(steady_time aEnd, yield_context aYield)
{
  bool isWoken = false;
  while (!isWoken && !mIsLeaving && mScheduler.Now() < aEnd) {
    ReleaseDrained();
    const bool isReleasing =
      std::any_of(mShards.begin(), mShards.end(), [](const auto& aShard) {
        return aShard.mIsReleasing;
      });
    const auto left = aEnd - mScheduler.Now();
    isWoken = mWake.Wait(
      mScheduler, isReleasing ? std::min(left, kReleasePoll) : left, aYield);
  }
}

void
shard_owner::DropIdle()
{
  const auto lookup = [this](std::string_view aName) {
    return mLimits.Find(aName).value_or(rate_limits{});
  };
  for (auto& shard : mShards) {
    shard.mPool.DropIdle(lookup, mScheduler.Now());
  }
}

token_reply
shard_owner::HandleRequest(const instance_name& aFrom,
                           const token_request& aRequest)
{
  token_reply reply{ Self().mBoot, {} };
  for (const auto& item : aRequest.mItems) {
    if (aRequest.mOwnerBoot == Self().mBoot) {
      for (const auto& report : item.mReports) {
        mShards[ShardOf(item.mOrganisation)].mPool.Report(item.mOrganisation,
                                                          aFrom,
                                                          report.mGrant,
                                                          report.mUsed,
                                                          mScheduler.Now());
      }
    }
    reply.mItems.push_back(HandleItem(aFrom, item));
  }
  return reply;
}

token_reply_item
shard_owner::HandleItem(const instance_name& aFrom,
                        const token_request_item& aItem)
{
  const auto limits = mLimits.Find(aItem.mOrganisation);
  const auto index = ShardOf(aItem.mOrganisation);
  auto& shard = mShards[index];
  const auto now = mScheduler.Now();
  if (!limits || limits->mRate <= 0 || aItem.mWanted == 0) {
    return {};
  }
  if (!shard.mIsOwned && !mIsLeaving &&
      mMembership->OwnerOf(index) == Self().mName) {
    mWake.Set();
  }
  shard.mInUseUntil = now + kInUseTime;
  if (!shard.mIsOwned || shard.mPool.Units(now) == 0) {
    return {};
  }
  const auto grant =
    shard.mPool.Grant(aItem.mOrganisation, *limits, aItem.mWanted, aFrom, now);
  const auto retry =
    std::chrono::ceil<std::chrono::milliseconds>(grant.mRetryAfter).count();
  return { grant.mId,
           static_cast<std::uint32_t>(grant.mTokens),
           limits->mBurst,
           static_cast<std::uint32_t>(std::max<std::int64_t>(retry, 1)) };
}

void
shard_owner::HandleNotice(const instance_name& aFrom, shard_mask aShards)
{
  mAnnouncedHolders.insert(aFrom);
  const auto until = mScheduler.Now() + kInterimOwnerTime;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if ((aShards & Bit(shard)) != 0) {
      mShards[shard].mInterimOwnerUntil = until;
    }
  }
  if ((aShards & ~OwnedShards()) != 0) {
    // Other members have lost the same owner at about the same time: request
    // delegations from all of them.
    mWake.Set();
    return;
  }
  const auto shards = OwnedShards();
  if (shards != 0 && !mIsLeaving) {
    mScheduler.Spawn([this, aFrom, shards](yield_context aYield) {
      RequestFromPeer(aFrom, shards, aYield);
    });
  }
}

bool
shard_owner::Take(std::string_view aOrganisation, const rate_limits& aLimits)
{
  auto& shard = mShards[ShardOf(aOrganisation)];
  shard.mInUseUntil = mScheduler.Now() + kInUseTime;
  return shard.mIsOwned &&
         shard.mPool.Take(aOrganisation, aLimits, 1, mScheduler.Now()) > 0;
}

void
shard_owner::Leave(yield_context aYield)
{
  mIsLeaving = true;
  mWake.Set();
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if (mShards[shard].mIsOwned) {
      StopOwning(shard);
    }
  }
  const auto end =
    mScheduler.Now() + WithClockRateMargin(kTokenValidity) + kReleasePoll;
  while (mScheduler.Now() < end) {
    ReleaseDrained();
    mScheduler.SleepFor(kReleasePoll, aYield);
  }
  ReleaseDrained();
}

std::size_t
shard_owner::BucketCount() const
{
  std::size_t count = 0;
  for (const auto& shard : mShards) {
    count += shard.mPool.BucketCount();
  }
  return count;
}

void
shard_owner::UpdateOwnership()
{
  const auto used = mLimits.UsedShards();
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    const bool isMembershipOwner = mMembership->OwnerOf(shard) == Self().mName;
    const bool isInterimOwner =
      mScheduler.Now() < mShards[shard].mInterimOwnerUntil;
    const bool isOwner =
      (used & Bit(shard)) != 0 && (isMembershipOwner || isInterimOwner);
    if (isOwner && !mShards[shard].mIsOwned) {
      StartOwning(shard);
    } else if (!isOwner && mShards[shard].mIsOwned) {
      StopOwning(shard);
    }
  }
}

void
shard_owner::StartOwning(shard_index aShard)
{
  mShards[aShard].mIsOwned = true;
  mShards[aShard].mIsReleasing = false;
}

void
shard_owner::StopOwning(shard_index aShard)
{
  mShards[aShard].mIsOwned = false;
  mShards[aShard].mIsReleasing = true;
}

/// Releases the delegations of shards that are no longer owned, once no granted
/// token can be in use, so that members can delegate to the next owner without
/// waiting.
void
shard_owner::ReleaseDrained()
{
  const auto now = mScheduler.Now();
  std::map<instance_name, shard_mask> released;
  for (shard_index index = 0; index < kShardCount; ++index) {
    auto& shard = mShards[index];
    if (!shard.mIsReleasing || shard.mPool.HasReservations(now)) {
      continue;
    }
    for (const auto& name : shard.mPool.Sources()) {
      released[name] |= Bit(index);
    }
    shard.mPool.RemoveSources(now);
    shard.mIsReleasing = false;
  }
  for (const auto& [name, shards] : released) {
    const delegation_message message{
      delegation_kind::Release, Self().mBoot, ++mSequence, shards, 0
    };
    // A reply to an earlier request must not be counted after this.
    mAppliedSequence[name] = message.mSequence;
    if (name != Self().mName) {
      mChannel->Send(name, kDelegationService, Encode(message));
      continue;
    }
    for (shard_index shard = 0; shard < kShardCount; ++shard) {
      if ((shards & Bit(shard)) != 0) {
        mLocalFraction.Release(
          shard, { name, Self().mBoot }, message.mSequence, now);
      }
    }
  }
}

void
shard_owner::RequestFromAll(shard_mask aShards)
{
  if (aShards == 0) {
    return;
  }
  RequestFromSelf(aShards);
  for (const auto& name : LikelyHolders()) {
    mScheduler.Spawn([this, name, aShards](yield_context aYield) {
      RequestFromPeer(name, aShards, aYield);
    });
  }
}

delegation_message
shard_owner::NextRequest(shard_mask aShards)
{
  return { delegation_kind::Request,
           Self().mBoot,
           ++mSequence,
           aShards,
           aShards & ShardsInUse() };
}

void
shard_owner::RequestFromSelf(shard_mask aShards)
{
  const auto now = mScheduler.Now();
  const auto request = NextRequest(aShards);
  mAllotment.DisableIfIsolated();
  std::vector<unsigned> units;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if ((aShards & Bit(shard)) != 0) {
      units.push_back(mLocalFraction.Delegate(shard,
                                              { Self().mName, Self().mBoot },
                                              request.mSequence,
                                              true,
                                              request.Validity(shard),
                                              now));
    }
  }
  ApplyDelegations(Self().mName, request, units, now);
}

void
shard_owner::RequestFromPeer(const instance_name& aName,
                             shard_mask aShards,
                             yield_context aYield)
{
  const auto request = NextRequest(aShards);
  const auto sent = mScheduler.Now();
  const auto payload = mChannel->Call(
    aName, kDelegationService, Encode(request), kAnswerTimeout, aYield);
  if (!payload) {
    return;
  }
  mAllotment.RecordAnswer(sent);
  const auto reply = DecodeDelegationReply(*payload);
  if (reply) {
    ApplyDelegations(aName, request, reply->mUnits, sent);
  }
}

/// Counts the fractions that a member delegated in answer to a request.
void
shard_owner::ApplyDelegations(const instance_name& aName,
                              const delegation_message& aRequest,
                              const std::vector<unsigned>& aUnits,
                              steady_time aSent)
{
  const auto now = mScheduler.Now();
  auto& applied = mAppliedSequence[aName];
  if (aRequest.mSequence <= applied) {
    return;
  }
  applied = aRequest.mSequence;
  std::size_t next = 0;
  for (shard_index index = 0; index < kShardCount; ++index) {
    if ((aRequest.mShards & Bit(index)) == 0 || next >= aUnits.size()) {
      continue;
    }
    const auto units = aUnits[next++];
    const auto until = LastGrant(aSent, aRequest.Validity(index));
    // A reply without units does not shorten an earlier delegation.
    if (units > 0 && mShards[index].mIsOwned && now < until) {
      mShards[index].mPool.SetFraction(aName, units, until, now, now);
    }
  }
}

shard_mask
shard_owner::OwnedShards() const
{
  shard_mask shards = 0;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    shards |= mShards[shard].mIsOwned ? Bit(shard) : 0;
  }
  return shards;
}

shard_mask
shard_owner::ShardsInUse() const
{
  shard_mask shards = 0;
  for (shard_index index = 0; index < kShardCount; ++index) {
    const auto& shard = mShards[index];
    const bool isInUse = shard.mIsOwned && mScheduler.Now() < shard.mInUseUntil;
    shards |= isInUse ? Bit(index) : 0;
  }
  return shards;
}

/// Live members that hold units according to the table or their notices.
std::vector<instance_name>
shard_owner::LikelyHolders() const
{
  std::vector<instance_name> names;
  for (const auto& one : mMembership->LiveMembers()) {
    const bool isHolder = !mAllotment.HasBeenRead() ||
                          mAllotment.Table().Held(one.mName) > 0 ||
                          mAnnouncedHolders.count(one.mName) > 0;
    if (one.mName != Self().mName && isHolder) {
      names.push_back(one.mName);
    }
  }
  return names;
}

} // namespace cowslipline
