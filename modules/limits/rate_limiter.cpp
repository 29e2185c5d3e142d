#include "modules/limits/rate_limiter.h"

#include "core/check.h"
#include "modules/limits/limit_constants.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/next_owner.h"

#include <algorithm>
#include <set>

namespace cowslipline {

namespace {

constexpr duration kMaintenancePeriod = std::chrono::seconds(1);
constexpr duration kDelegationCheckPeriod = std::chrono::milliseconds(100);
constexpr duration kPingTimeout = std::chrono::seconds(1);

} // namespace

std::shared_ptr<rate_limiter>
rate_limiter::Create(limiter_services aServices)
{
  return std::shared_ptr<rate_limiter>(new rate_limiter(std::move(aServices)));
}

rate_limiter::rate_limiter(limiter_services aServices)
  : mServices(std::move(aServices))
  , mScheduler(*mServices.mScheduler)
  , mLimits(mServices.mSnapshots)
  , mAllotment(mScheduler,
               mServices.mStore,
               mServices.mMembership,
               mLocalFraction)
  , mOwner(mScheduler,
           mServices.mChannel,
           mServices.mMembership,
           mLimits,
           mAllotment,
           mLocalFraction)
  , mClient(mScheduler,
            mServices.mChannel,
            mServices.mMembership,
            mLimits,
            mAllotment,
            mLocalFraction,
            mOwner)
{
  mAllotment.OnUnitsGained([this] { SendNotices(); });
}

void
rate_limiter::Start()
{
  const auto self = shared_from_this();
  // The channel must not keep the limiter alive, which holds the channel.
  const std::weak_ptr<rate_limiter> weak = self;
  using method = result<std::string> (rate_limiter::*)(const instance_name&,
                                                       std::string_view);
  const auto handle = [&](const char* aService, method aMethod) {
    mServices.mChannel->Handle(
      aService,
      [weak, aMethod](const instance_name& aFrom,
                      std::string_view aPayload,
                      yield_context) -> result<std::string> {
        const auto limiter = weak.lock();
        return limiter ? ((*limiter).*aMethod)(aFrom, aPayload)
                       : Fail(errc::NotReady);
      });
  };
  handle(kDelegationService, &rate_limiter::HandleDelegationMessage);
  handle(kTokenService, &rate_limiter::HandleTokens);
  mScheduler.Spawn(
    [self](yield_context aYield) { self->mAllotment.Run(aYield); });
  mScheduler.Spawn([self](yield_context aYield) { self->mOwner.Run(aYield); });
  mScheduler.Spawn([self](yield_context aYield) { self->Maintain(aYield); });
  mScheduler.Spawn(
    [self](yield_context aYield) { self->WatchDelegations(aYield); });
}

result<void>
rate_limiter::Admit(std::string_view aOrganisation,
                    duration aWait,
                    yield_context aYield)
{
  const auto outcome = mClient.Admit(std::string(aOrganisation), aWait, aYield);
  auto& counters = *mServices.mMetrics;
  if (outcome) {
    counters.Counter("cowslipline_limits_admitted_total").Add();
  } else if (outcome.error() == errc::RateLimited) {
    counters.Counter("cowslipline_limits_refused_total").Add();
  } else {
    counters.Counter("cowslipline_limits_not_ready_total").Add();
  }
  return outcome;
}

duration
rate_limiter::SuggestedRetryDelay(std::string_view aOrganisation) const
{
  return mClient.RetryAfter(std::string(aOrganisation));
}

result<void>
rate_limiter::Leave(yield_context aYield)
{
  mHasLeft = true;
  mLocalFraction.StopDelegating();
  mOwner.Leave(aYield);
  return mAllotment.Leave(aYield);
}

std::size_t
rate_limiter::OrganisationCount() const
{
  return mClient.OrganisationStateCount() + mOwner.BucketCount() +
         mLocalFraction.BucketCount();
}

void
rate_limiter::Maintain(yield_context aYield)
{
  const auto lookup = [this](std::string_view aName) {
    return mLimits.Find(aName).value_or(rate_limits{});
  };
  while (!mHasLeft) {
    mScheduler.SleepFor(kMaintenancePeriod, aYield);
    mClient.DropIdle();
    mLocalFraction.DropIdle(lookup, mScheduler.Now());
    if (mLocalFraction.Units() > 0 && mAllotment.NeedsPing()) {
      Ping(aYield);
    }
  }
}

/// Notifies the next owner when the owner of a shard has released its
/// delegation or no longer renews it. Membership detects a failure only after 3
/// s.
void
rate_limiter::WatchDelegations(yield_context aYield)
{
  while (!mHasLeft) {
    mScheduler.SleepFor(kDelegationCheckPeriod, aYield);
    for (const auto& [failed, shards] :
         mLocalFraction.TakeEndedDelegations(mScheduler.Now())) {
      if (mLocalFraction.Units() > 0) {
        NotifyNextOwners(failed, shards);
      }
    }
  }
}

void
rate_limiter::NotifyNextOwners(const instance_name& aFailed, shard_mask aShards)
{
  std::map<instance_name, shard_mask> shardsByOwner;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if ((aShards & mLimits.UsedShards() & (shard_mask{ 1 } << shard)) != 0) {
      shardsByOwner[NextOwner(*mServices.mMembership, shard, aFailed)] |=
        shard_mask{ 1 } << shard;
    }
  }
  const auto& self = mServices.mMembership->Self();
  for (const auto& [name, shards] : shardsByOwner) {
    if (name == self.mName) {
      mOwner.HandleNotice(name, shards);
    } else if (!name.empty()) {
      mServices.mChannel->Send(
        name,
        kDelegationService,
        Encode(delegation_message{
          delegation_kind::Notice, self.mBoot, 0, shards, 0 }));
    }
  }
}

/// Tells the shard owners that this instance has units to delegate.
void
rate_limiter::SendNotices()
{
  std::set<instance_name> owners;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if (((mLimits.UsedShards() >> shard) & 1U) != 0) {
      owners.insert(mServices.mMembership->OwnerOf(shard));
    }
  }
  const auto& self = mServices.mMembership->Self();
  for (const auto& owner : owners) {
    if (owner != self.mName) {
      mServices.mChannel->Send(
        owner,
        kDelegationService,
        Encode(
          delegation_message{ delegation_kind::Notice, self.mBoot, 0, 0, 0 }));
    }
  }
}

/// Checks that a peer hears this instance while the store is unavailable and no
/// other calls are made.
void
rate_limiter::Ping(yield_context aYield)
{
  const auto members = mServices.mMembership->LiveMembers();
  const auto& self = mServices.mMembership->Self();
  const auto sent = mScheduler.Now();
  const auto start =
    static_cast<std::size_t>(InSeconds(sent.time_since_epoch()));
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto& one = members[(start + i) % members.size()];
    if (one.mName == self.mName) {
      continue;
    }
    const auto answer = mServices.mChannel->Call(
      one.mName,
      kDelegationService,
      Encode(
        delegation_message{ delegation_kind::Notice, self.mBoot, 0, 0, 0 }),
      kPingTimeout,
      aYield);
    if (answer) {
      mAllotment.RecordAnswer(sent);
    }
    return;
  }
}

result<std::string>
rate_limiter::HandleDelegationMessage(const instance_name& aFrom,
                                      std::string_view aPayload)
{
  const auto message = DecodeDelegationMessage(aPayload);
  COWSLIPLINE_PROPAGATE(message);
  switch (message->mKind) {
    case delegation_kind::Request:
      return Encode(Delegate(aFrom, *message));
    case delegation_kind::Release:
      Release(aFrom, *message);
      break;
    case delegation_kind::Notice:
      mOwner.HandleNotice(aFrom, message->mShards);
      break;
  }
  return std::string();
}

delegation_reply
rate_limiter::Delegate(const instance_name& aFrom,
                       const delegation_message& aMessage)
{
  mAllotment.DisableIfIsolated();
  const auto now = mScheduler.Now();
  delegation_reply reply;
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if (((aMessage.mShards >> shard) & 1U) != 0) {
      const bool isPreferred = mServices.mMembership->OwnerOf(shard) == aFrom;
      reply.mUnits.push_back(mLocalFraction.Delegate(shard,
                                                     { aFrom, aMessage.mBoot },
                                                     aMessage.mSequence,
                                                     isPreferred,
                                                     aMessage.Validity(shard),
                                                     now));
    }
  }
  return reply;
}

void
rate_limiter::Release(const instance_name& aFrom,
                      const delegation_message& aMessage)
{
  for (shard_index shard = 0; shard < kShardCount; ++shard) {
    if (((aMessage.mShards >> shard) & 1U) != 0) {
      mLocalFraction.Release(
        shard, { aFrom, aMessage.mBoot }, aMessage.mSequence, mScheduler.Now());
    }
  }
}

result<std::string>
rate_limiter::HandleTokens(const instance_name& aFrom,
                           std::string_view aPayload)
{
  const auto request = DecodeTokenRequest(aPayload);
  COWSLIPLINE_PROPAGATE(request);
  return Encode(mOwner.HandleRequest(aFrom, *request));
}

} // namespace cowslipline
