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

/// From then on the owner no longer grants from a cession: tokens granted
/// before must have expired when the cession ends.
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
                         allotment_table& aTable,
                         fraction_holder& aHolder)
  : mScheduler(aScheduler)
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mLimits(aLimits)
  , mTable(aTable)
  , mHolder(aHolder)
{
}

void
shard_owner::Run(yield_context aYield)
{
  auto nextFull = mScheduler.Now();
  while (!mIsLeaving) {
    UpdateOwnership();
    const auto now = mScheduler.Now();
    // A shard that is no longer in use needs its long cession before the short
    // one ends, or its fractions would return empty.
    const auto inUse = ShardsInUse();
    const bool isFull = now >= nextFull || OwnedShards() != mAskedShards ||
                        (mShardsLastInUse & ~inUse) != 0;
    mShardsLastInUse = inUse;
    if (isFull) {
      nextFull = now + kCessionPeriod;
      mAskedShards = OwnedShards();
    }
    AskAll(isFull ? mAskedShards : inUse);
    SleepUntilNextRound(std::min(now + kCessionPeriodInUse, nextFull), aYield);
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
    reply.mItems.push_back(Answer(aFrom, item));
  }
  return reply;
}

token_reply_item
shard_owner::Answer(const instance_name& aFrom, const token_request_item& aItem)
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
  mNoticed.insert(aFrom);
  const auto until = mScheduler.Now() + kInvitationTime;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if ((aShards & Bit(shard)) != 0) {
      mShards[shard].mInvitedUntil = until;
    }
  }
  if ((aShards & ~OwnedShards()) != 0) {
    // The others have lost the same owner at about the same time.
    mWake.Set();
    return;
  }
  const auto shards = OwnedShards();
  if (shards != 0 && !mIsLeaving) {
    mScheduler.Spawn([this, aFrom, shards](yield_context aYield) {
      AskPeer(aFrom, shards, aYield);
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
    const bool isNamed = mMembership->OwnerOf(shard) == Self().mName;
    const bool isInvited = mScheduler.Now() < mShards[shard].mInvitedUntil;
    const bool isOwner = (used & Bit(shard)) != 0 && (isNamed || isInvited);
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

/// Tells the members of shards that are no longer owned that their fractions
/// are not counted any more, so that they can cede them to the next owner
/// without waiting.
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
    const cede_message message{
      cede_kind::Release, Self().mBoot, ++mSequence, shards, 0
    };
    // A reply to an earlier request must not be counted after this.
    mAppliedSequence[name] = message.mSequence;
    if (name != Self().mName) {
      mChannel->Send(name, kCedeService, Encode(message));
      continue;
    }
    for (shard_index shard = 0; shard < kShardCount; ++shard) {
      if ((shards & Bit(shard)) != 0) {
        mHolder.Release(shard, { name, Self().mBoot }, message.mSequence, now);
      }
    }
  }
}

void
shard_owner::AskAll(shard_mask aShards)
{
  if (aShards == 0) {
    return;
  }
  AskSelf(aShards);
  for (const auto& name : MembersToAsk()) {
    mScheduler.Spawn([this, name, aShards](yield_context aYield) {
      AskPeer(name, aShards, aYield);
    });
  }
}

cede_message
shard_owner::NextRequest(shard_mask aShards)
{
  return { cede_kind::Request,
           Self().mBoot,
           ++mSequence,
           aShards,
           aShards & ShardsInUse() };
}

void
shard_owner::AskSelf(shard_mask aShards)
{
  const auto now = mScheduler.Now();
  const auto request = NextRequest(aShards);
  mTable.CheckIsolation();
  std::vector<unsigned> units;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if ((aShards & Bit(shard)) != 0) {
      units.push_back(mHolder.Cede(shard,
                                   { Self().mName, Self().mBoot },
                                   request.mSequence,
                                   true,
                                   request.Validity(shard),
                                   now));
    }
  }
  Count(Self().mName, request, units, now);
}

void
shard_owner::AskPeer(const instance_name& aName,
                     shard_mask aShards,
                     yield_context aYield)
{
  const auto request = NextRequest(aShards);
  const auto sent = mScheduler.Now();
  const auto payload = mChannel->Call(
    aName, kCedeService, Encode(request), kAnswerTimeout, aYield);
  if (!payload) {
    return;
  }
  mTable.NoteAnswer(sent);
  const auto reply = DecodeCedeReply(*payload);
  if (reply) {
    Count(aName, request, reply->mUnits, sent);
  }
}

/// Counts the fractions that a member ceded in answer to a request.
void
shard_owner::Count(const instance_name& aName,
                   const cede_message& aRequest,
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
    // Without units an earlier cession still lasts until its end.
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

/// Live members that hold units as far as this instance knows.
std::vector<instance_name>
shard_owner::MembersToAsk() const
{
  std::vector<instance_name> names;
  for (const auto& one : mMembership->LiveMembers()) {
    const bool isHolder = !mTable.HasBeenRead() ||
                          mTable.Table().Held(one.mName) > 0 ||
                          mNoticed.count(one.mName) > 0;
    if (one.mName != Self().mName && isHolder) {
      names.push_back(one.mName);
    }
  }
  return names;
}

} // namespace cowslipline
