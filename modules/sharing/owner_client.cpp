#include "modules/sharing/owner_client.h"

#include "core/log.h"

#include <algorithm>
#include <limits>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Time to wait for the reply to the first request and to its repetition. A
// reply takes one round trip, a few milliseconds. An instance that has used up
// its CPU quota is paused for the rest of a period of a tenth of a second.
constexpr duration kFirstReplyTimeout = 50ms;
constexpr duration kSecondReplyTimeout = 100ms;

// Fraction of its equal share of the rate that an instance admits on its own
// when no owner replies. The owners do not count these requests.
constexpr double kLocalShareFraction = 0.5;

// Time to wait for an earlier owner to hand a quota over, for the first request
// and for its repetition. Together they are shorter than kFirstReplyTimeout,
// for which the instance that asks this one waits.
constexpr duration kHandoverReplyTimeout = 20ms;
constexpr int kHandoverRequests = 2;

// Instances that one takeover asks, those that others name included.
constexpr std::size_t kMaxHandoversAsked = 8;

// Steps of one decision: it is forwarded, not replied to, then taken over.
constexpr int kMaxDecisionSteps = 4;

constexpr std::size_t kMaxOwners = 2;

// Delay for callers of an organisation whose limit the owner does not know: as
// long as a new version takes to reach an instance in touch.
constexpr duration kUnknownLimitRetryAfter = 2s;

/// The item by which the owner of a target's limit is named.
std::string
SendPermitItem(const std::string& aTarget)
{
  return "sends to " + aTarget;
}

} // namespace

const char*
QuotaSourceName(quota_source aSource)
{
  switch (aSource) {
    case quota_source::Unlimited:
      return "unlimited";
    case quota_source::LocalOwner:
      return "own";
    case quota_source::RemoteOwner:
      return "owner";
    case quota_source::SecondOwner:
      return "second_owner";
    case quota_source::LocalShare:
      return "local_share";
  }
  return "unknown";
}

owner_client::owner_client(scheduler& aScheduler,
                           member_table& aMembers,
                           peer_link& aLink,
                           const owner_limits& aLimits,
                           std::uint64_t aFirstRequestId)
  : mScheduler(aScheduler)
  , mMembers(aMembers)
  , mLink(aLink)
  , mQuotas(aLimits.mQuotas)
  , mLocalShares(aLimits.mQuotas)
  , mRetries(aLimits.mRetries, aScheduler.Now())
  , mRecentRequests(aLimits.mRetries)
  , mNextId(aFirstRequestId)
{
}

void
owner_client::SetLimits(const owner_limits& aLimits)
{
  mQuotas.SetTolerance(aLimits.mQuotas);
  mLocalShares.SetTolerance(aLimits.mQuotas);
  mRetries.SetLimit(aLimits.mRetries);
}

std::vector<fleet_member>
owner_client::OwnersOf(const std::string& aItem) const
{
  std::vector<fleet_member> owners;
  for (const auto* owner :
       mMembers.OwnersOf(aItem, kMaxOwners, mScheduler.Now())) {
    owners.push_back(*owner);
  }
  return owners;
}

steady_time
owner_client::MembershipChangedAt()
{
  if (mMembers.Epoch() != mKnownEpoch) {
    mKnownEpoch = mMembers.Epoch();
    mMembershipChangedAt = mScheduler.Now();
  }
  return mMembershipChangedAt;
}

steady_time
owner_client::SoleOwnerSince(const owner_standing& aStanding)
{
  const auto since = MembershipChangedAt();
  return aStanding.mIsFirstOwner ? since : mScheduler.Now();
}

template<typename Request>
std::optional<owner_client::owner_decision>
owner_client::AskOwner(Request aRequest,
                       const udp_endpoint& aOwner,
                       duration aTimeout,
                       yield_context aYield)
{
  const auto id = mNextId++;
  aRequest.mId = id;
  const auto pending = std::make_shared<pending_request>();
  mPendingRequests.emplace(id, pending);
  mLink.Send(aRequest, aOwner);
  pending->mReplyArrived.Wait(mScheduler, aTimeout, aYield);
  mPendingRequests.erase(id);
  return pending->mDecision;
}

void
owner_client::MarkUnresponsive(const fleet_member& aOwner,
                               const std::string& aItem)
{
  mMembers.OnNoReply(aOwner, mScheduler.Now());
  Log(log_level::Warn,
      "owner_no_reply",
      { { "peer", aOwner.mName }, { "item", aItem } });
}

quota_admission
owner_client::Admit(const std::string& aOrganisation,
                    const stated_limit& aLimit,
                    yield_context aYield)
{
  const auto limit =
    mLimits
      .Latest(aOrganisation, { aLimit.mVersion, aLimit.mLimit }, std::nullopt)
      .value_or(aLimit);
  if (limit.mLimit.mRate <= 0) {
    return {
      { true, duration(0) }, quota_source::Unlimited, {}, limit.mVersion
    };
  }
  const auto owners = OwnersOf(aOrganisation);
  const auto& self = mMembers.Self().mName;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    const auto& owner = owners[i];
    std::optional<owner_decision> decision;
    auto source =
      i == 0 ? quota_source::RemoteOwner : quota_source::SecondOwner;
    if (owner.mName == self) {
      decision = DecideAsOwner(aOrganisation, limit, std::nullopt, aYield);
      source = quota_source::LocalOwner;
    } else {
      const quota_request request{ 0, aOrganisation, limit };
      decision = AskOwner(request, owner.mAddress, kFirstReplyTimeout, aYield);
      // Repeated once because a datagram may be lost.
      if (!decision) {
        decision =
          AskOwner(request, owner.mAddress, kSecondReplyTimeout, aYield);
      }
    }
    if (decision) {
      return { decision->mDecision, source, owner.mName, decision->mVersion };
    }
    MarkUnresponsive(owner, aOrganisation);
  }
  const double localShare =
    kLocalShareFraction / static_cast<double>(mMembers.Count(mScheduler.Now()));
  return { mLocalShares.Admit(aOrganisation,
                              { limit.mLimit.mRate * localShare, 0 },
                              mScheduler.Now(),
                              mScheduler.Now()),
           quota_source::LocalShare,
           self,
           limit.mVersion };
}

bool
owner_client::TakeRetry(const std::string& aService,
                        retry_use aUse,
                        yield_context aYield)
{
  const auto requests = mRecentRequests.TakeCount(aService, mScheduler.Now());
  const auto owners = OwnersOf("retries of " + aService);
  if (owners[0].mName == mMembers.Self().mName) {
    return mRetries.TakeToken(
      aService, requests, mMembers.Epoch(), aUse, mScheduler.Now());
  }
  const auto decision = AskOwner(
    retry_request{ 0, aService, requests, static_cast<std::uint8_t>(aUse) },
    owners[0].mAddress,
    kFirstReplyTimeout,
    aYield);
  if (!decision) {
    MarkUnresponsive(owners[0], aService);
    return false;
  }
  return decision->mDecision.mIsAdmitted;
}

std::optional<permit_decision>
owner_client::TakeSendPermit(const std::string& aTarget,
                             const send_limit& aLimit,
                             int aPriority,
                             yield_context aYield)
{
  const auto item = SendPermitItem(aTarget);
  for (const auto& owner : OwnersOf(item)) {
    if (owner.mName == mMembers.Self().mName) {
      return mSendPermits.Take({ aTarget,
                                 aLimit.mRate,
                                 aPriority,
                                 mMembers.IsFirstOwner(item),
                                 aLimit.mMostPerSecond },
                               mScheduler.Now());
    }
    const send_permit_request request{ 0,
                                       aTarget,
                                       aLimit.mRate,
                                       static_cast<std::uint32_t>(
                                         std::max(aPriority, 0)),
                                       aLimit.mMostPerSecond };
    const auto decision =
      AskOwner(request, owner.mAddress, kFirstReplyTimeout, aYield);
    if (decision) {
      return permit_decision{ decision->mDecision.mIsAdmitted,
                              decision->mDecision.mRetryAfter };
    }
    MarkUnresponsive(owner, item);
  }
  return std::nullopt;
}

void
owner_client::OnPeerRequest(const send_permit_request& aRequest,
                            const udp_endpoint& aFrom)
{
  const auto decision = mSendPermits.Take(
    { aRequest.mTarget,
      aRequest.mRate,
      static_cast<int>(
        std::min(aRequest.mPriority,
                 static_cast<std::uint32_t>(std::numeric_limits<int>::max()))),
      mMembers.IsFirstOwner(SendPermitItem(aRequest.mTarget)),
      aRequest.mMostPerSecond },
    mScheduler.Now());
  const auto retryAfter =
    std::chrono::duration_cast<std::chrono::milliseconds>(decision.mRetryAfter);
  mLink.Send(owner_reply{ aRequest.mId,
                          decision.mIsGranted,
                          static_cast<std::uint32_t>(retryAfter.count()) },
             aFrom);
}

void
owner_client::OnPeerRequest(const quota_request& aRequest,
                            const configured_limit& aOwn,
                            const udp_endpoint& aFrom)
{
  const auto& organisation = aRequest.mOrganisation;
  const auto now = mScheduler.Now();
  if (aRequest.mLimit &&
      mLimits.Learn(organisation, *aRequest.mLimit, aOwn, now)) {
    LogLaterLimit(organisation, *aRequest.mLimit, aOwn);
  }
  const auto limit = mLimits.Latest(organisation, aOwn, aRequest.mLimit);
  if (!limit) {
    Log(log_level::Warn,
        "quota_limit_unknown",
        { { "organisation", organisation },
          { "version", std::to_string(aOwn.mVersion) } });
    Reply(aRequest.mId, { { false, kUnknownLimitRetryAfter } }, aFrom);
    return;
  }
  if (const auto decision = DecideIfHeld(organisation, *limit)) {
    Reply(aRequest.mId, *decision, aFrom);
    return;
  }
  mScheduler.Spawn(
    [this, request = aRequest, limit = *limit, aFrom](yield_context aYield) {
      Reply(request.mId,
            DecideAsOwner(request.mOrganisation, limit, aFrom, aYield),
            aFrom);
    });
}

void
owner_client::LogLaterLimit(const std::string& aOrganisation,
                            const stated_limit& aLater,
                            const configured_limit& aOwn)
{
  if (aOwn.mLimit && aOwn.mLimit->mRate == aLater.mLimit.mRate &&
      aOwn.mLimit->mBurst == aLater.mLimit.mBurst) {
    return;
  }
  Log(log_level::Info,
      "quota_limit_learned",
      { { "organisation", aOrganisation },
        { "rate", std::to_string(aLater.mLimit.mRate) },
        { "version", std::to_string(aLater.mVersion) },
        { "own_rate",
          aOwn.mLimit ? std::to_string(aOwn.mLimit->mRate) : "unknown" },
        { "own_version", std::to_string(aOwn.mVersion) } });
}

void
owner_client::Reply(std::uint64_t aRequestId,
                    const owner_decision& aDecision,
                    const udp_endpoint& aTo)
{
  const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDecision.mDecision.mRetryAfter);
  mLink.Send(owner_reply{ aRequestId,
                          aDecision.mDecision.mIsAdmitted,
                          static_cast<std::uint32_t>(retryAfter.count()),
                          aDecision.mVersion },
             aTo);
}

owner_standing
owner_client::StandingOf(const std::string& aOrganisation)
{
  return { mMembers.IsFirstOwner(aOrganisation), mMembers.Epoch() };
}

std::optional<owner_client::owner_decision>
owner_client::DecideIfHeld(const std::string& aOrganisation,
                           const stated_limit& aLimit)
{
  const auto now = mScheduler.Now();
  const auto standing = StandingOf(aOrganisation);
  const auto place = mHoldings.PlaceOf(aOrganisation, standing, now);
  if (!std::holds_alternative<quota_held>(place) ||
      mTakeovers.count(aOrganisation) > 0) {
    return std::nullopt;
  }
  mHoldings.Hold(aOrganisation, standing, now);
  return owner_decision{
    mQuotas.Admit(aOrganisation, aLimit.mLimit, SoleOwnerSince(standing), now),
    aLimit.mVersion
  };
}

owner_client::owner_decision
owner_client::DecideAsOwner(const std::string& aOrganisation,
                            const stated_limit& aLimit,
                            const std::optional<udp_endpoint>& aAskedBy,
                            yield_context aYield)
{
  for (int step = 0; step < kMaxDecisionSteps; ++step) {
    if (const auto decision = DecideIfHeld(aOrganisation, aLimit)) {
      return *decision;
    }
    const auto running = mTakeovers.find(aOrganisation);
    if (running != mTakeovers.end()) {
      const auto awaited = running->second;
      awaited->mFinished.Wait(
        mScheduler, kHandoverRequests * kHandoverReplyTimeout, aYield);
      continue;
    }
    const auto place = mHoldings.PlaceOf(
      aOrganisation, StandingOf(aOrganisation), mScheduler.Now());
    const auto* handed = std::get_if<quota_handed_over>(&place);
    // The instance that took it over does not hold it if it asks this one.
    if (handed != nullptr && aAskedBy != handed->mTo) {
      const auto decision = AskOwner(quota_request{ 0, aOrganisation, aLimit },
                                     handed->mTo,
                                     kFirstReplyTimeout,
                                     aYield);
      if (decision) {
        return *decision;
      }
      mHoldings.Forget(aOrganisation);
      continue;
    }
    TakeOver(aOrganisation, aYield);
  }
  return { { false, kFirstReplyTimeout }, aLimit.mVersion };
}

void
owner_client::RequestHandover(takeover& aTaking,
                              const std::string& aOrganisation,
                              const udp_endpoint& aFrom)
{
  auto& asked = aTaking.mAsked;
  const bool isKnown =
    std::find(asked.begin(), asked.end(), aFrom) != asked.end();
  if (isKnown || aFrom.port() == 0 || aFrom == mLink.LocalAddress() ||
      asked.size() >= kMaxHandoversAsked) {
    return;
  }
  asked.push_back(aFrom);
  const auto id = mNextId++;
  aTaking.mAwaited.emplace(id, aFrom);
  mLink.Send(quota_handover_request{ id, aOrganisation }, aFrom);
}

void
owner_client::TakeOver(const std::string& aOrganisation, yield_context aYield)
{
  const auto taking = std::make_shared<takeover>();
  mTakeovers[aOrganisation] = taking;
  std::string previous;
  for (const auto& owner :
       mMembers.PreviousOwnersOf(aOrganisation, mScheduler.Now())) {
    RequestHandover(*taking, aOrganisation, owner.mAddress);
    previous += previous.empty() ? owner.mName : ' ' + owner.mName;
  }
  if (const auto holder = mHoldings.HandedOverTo(aOrganisation)) {
    RequestHandover(*taking, aOrganisation, *holder);
  }
  for (int i = 0; i < kHandoverRequests; ++i) {
    const auto deadline = mScheduler.Now() + kHandoverReplyTimeout;
    while (!taking->mAwaited.empty() && mScheduler.Now() < deadline) {
      taking->mReplyArrived.Wait(
        mScheduler, deadline - mScheduler.Now(), aYield);
    }
    for (const auto& [id, address] : taking->mAwaited) {
      mLink.Send(quota_handover_request{ id, aOrganisation }, address);
    }
  }
  const auto now = mScheduler.Now();
  const auto standing = StandingOf(aOrganisation);
  mQuotas.Resume(aOrganisation, taking->mStates, SoleOwnerSince(standing), now);
  mHoldings.Hold(aOrganisation, standing, now);
  mTakeovers.erase(aOrganisation);
  taking->mFinished.Set();
  Log(log_level::Info,
      "quota_taken_over",
      { { "organisation", aOrganisation },
        { "previous", previous },
        { "asked", std::to_string(taking->mAsked.size()) },
        { "states", std::to_string(taking->mStates.size()) },
        { "silent", std::to_string(taking->mAwaited.size()) } });
}

void
owner_client::OnPeerRequest(const quota_handover_request& aRequest,
                            const configured_limit& aOwn,
                            const udp_endpoint& aFrom)
{
  const auto& organisation = aRequest.mOrganisation;
  const auto now = mScheduler.Now();
  quota_handover reply{ aRequest.mId, std::nullopt, {} };
  // If both take it over at once, each begins on its own.
  if (mTakeovers.count(organisation) == 0) {
    const auto holder = mHoldings.HandedOverTo(organisation);
    if (holder && *holder != aFrom) {
      reply.mHeldBy = *holder;
    }
    reply.mState = mHoldings.HandedOverState(organisation, aFrom, now);
    if (!reply.mState) {
      reply.mState = mQuotas.Release(organisation, now);
      mHoldings.HandOver(organisation, aFrom, reply.mState, now);
    }
    reply.mLimit = mLimits.Learned(organisation, aOwn);
  }
  mLink.Send(reply, aFrom);
}

void
owner_client::OnReply(
  const quota_handover& aReply,
  const std::function<configured_limit(std::string_view)>& aOwn)
{
  for (const auto& [organisation, taking] : mTakeovers) {
    if (taking->mAwaited.erase(aReply.mId) > 0) {
      if (aReply.mState) {
        taking->mStates.push_back(*aReply.mState);
      }
      if (aReply.mLimit) {
        mLimits.Learn(
          organisation, *aReply.mLimit, aOwn(organisation), mScheduler.Now());
      }
      RequestHandover(*taking, organisation, aReply.mHeldBy);
      taking->mReplyArrived.Set();
      return;
    }
  }
}

void
owner_client::OnPeerRequest(const retry_request& aRequest,
                            const udp_endpoint& aFrom)
{
  const bool isGranted =
    mRetries.TakeToken(aRequest.mService,
                       aRequest.mRequestsSinceLast,
                       mMembers.Epoch(),
                       static_cast<retry_use>(aRequest.mUse),
                       mScheduler.Now());
  mLink.Send(owner_reply{ aRequest.mId, isGranted, 0 }, aFrom);
}

void
owner_client::OnReply(const owner_reply& aReply)
{
  const auto found = mPendingRequests.find(aReply.mId);
  if (found == mPendingRequests.end()) {
    return;
  }
  found->second->mDecision =
    owner_decision{ { aReply.mIsAdmitted,
                      std::chrono::milliseconds(aReply.mRetryAfterMs) },
                    aReply.mVersion };
  found->second->mReplyArrived.Set();
}

void
owner_client::Prune()
{
  // Records a membership change also while no requests arrive; otherwise it
  // would be dated to the next request.
  MembershipChangedAt();
  mQuotas.Prune(mScheduler.Now());
  mLimits.Prune(mScheduler.Now());
  mHoldings.Prune(mScheduler.Now());
  mLocalShares.Prune(mScheduler.Now());
  mSendPermits.Prune(mScheduler.Now());
}

} // namespace cowslipline
