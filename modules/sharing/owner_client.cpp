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

constexpr std::size_t kMaxOwners = 2;

/// The item by which the owner of a target's limit is named.
std::string
SendPermitItem(const std::string& aTarget)
{
  return "sends to " + aTarget;
}

} // namespace

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
owner_client::SoleOwnerSince(const std::string& aOrganisation)
{
  const auto since = MembershipChangedAt();
  return mMembers.IsFirstOwner(aOrganisation) ? since : mScheduler.Now();
}

template<typename Request>
std::optional<quota_decision>
owner_client::AskOwner(Request aRequest,
                       const fleet_member& aOwner,
                       duration aTimeout,
                       yield_context aYield)
{
  const auto id = mNextId++;
  aRequest.mId = id;
  const auto pending = std::make_shared<pending_request>();
  mPendingRequests.emplace(id, pending);
  mLink.Send(aRequest, aOwner.mAddress);
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
                    const quota_limit& aLimit,
                    yield_context aYield)
{
  if (aLimit.mRate <= 0) {
    return { { true, duration(0) }, quota_source::Unlimited, {} };
  }
  const auto owners = OwnersOf(aOrganisation);
  const auto& self = mMembers.Self().mName;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    const auto& owner = owners[i];
    std::optional<quota_decision> decision;
    auto source =
      i == 0 ? quota_source::RemoteOwner : quota_source::SecondOwner;
    if (owner.mName == self) {
      decision = mQuotas.Admit(
        aOrganisation, aLimit, SoleOwnerSince(aOrganisation), mScheduler.Now());
      source = quota_source::LocalOwner;
    } else {
      const quota_request request{ 0, aOrganisation };
      decision = AskOwner(request, owner, kFirstReplyTimeout, aYield);
      // Repeated once because a datagram may be lost.
      if (!decision) {
        decision = AskOwner(request, owner, kSecondReplyTimeout, aYield);
      }
    }
    if (decision) {
      return { *decision, source, owner.mName };
    }
    MarkUnresponsive(owner, aOrganisation);
  }
  const double localShare =
    kLocalShareFraction / static_cast<double>(mMembers.Count(mScheduler.Now()));
  return { mLocalShares.Admit(aOrganisation,
                              { aLimit.mRate * localShare, 0 },
                              mScheduler.Now(),
                              mScheduler.Now()),
           quota_source::LocalShare,
           self };
}

bool
owner_client::TakeRetry(const std::string& aService, yield_context aYield)
{
  const auto requests = mRecentRequests.TakeCount(aService, mScheduler.Now());
  const auto owners = OwnersOf("retries of " + aService);
  if (owners[0].mName == mMembers.Self().mName) {
    return mRetries.TakeToken(
      aService, requests, mMembers.Epoch(), mScheduler.Now());
  }
  const auto decision = AskOwner(retry_request{ 0, aService, requests },
                                 owners[0],
                                 kFirstReplyTimeout,
                                 aYield);
  if (!decision) {
    MarkUnresponsive(owners[0], aService);
    return false;
  }
  return decision->mIsAdmitted;
}

std::optional<permit_decision>
owner_client::TakeSendPermit(const std::string& aTarget,
                             double aRate,
                             int aPriority,
                             yield_context aYield)
{
  const auto item = SendPermitItem(aTarget);
  for (const auto& owner : OwnersOf(item)) {
    if (owner.mName == mMembers.Self().mName) {
      return mSendPermits.Take(
        { aTarget, aRate, aPriority, mMembers.IsFirstOwner(item) },
        mScheduler.Now());
    }
    const send_permit_request request{
      0, aTarget, aRate, static_cast<std::uint32_t>(std::max(aPriority, 0))
    };
    const auto decision = AskOwner(request, owner, kFirstReplyTimeout, aYield);
    if (decision) {
      return permit_decision{ decision->mIsAdmitted, decision->mRetryAfter };
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
      mMembers.IsFirstOwner(SendPermitItem(aRequest.mTarget)) },
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
                            const quota_limit& aLimit,
                            const udp_endpoint& aFrom)
{
  const auto& organisation = aRequest.mOrganisation;
  const auto decision = mQuotas.Admit(
    organisation, aLimit, SoleOwnerSince(organisation), mScheduler.Now());
  const auto retryAfter =
    std::chrono::duration_cast<std::chrono::milliseconds>(decision.mRetryAfter);
  mLink.Send(owner_reply{ aRequest.mId,
                          decision.mIsAdmitted,
                          static_cast<std::uint32_t>(retryAfter.count()) },
             aFrom);
}

void
owner_client::OnPeerRequest(const retry_request& aRequest,
                            const udp_endpoint& aFrom)
{
  const bool isGranted = mRetries.TakeToken(aRequest.mService,
                                            aRequest.mRequestsSinceLast,
                                            mMembers.Epoch(),
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
    quota_decision{ aReply.mIsAdmitted,
                    std::chrono::milliseconds(aReply.mRetryAfterMs) };
  found->second->mReplyArrived.Set();
}

void
owner_client::Prune()
{
  // Records a membership change also while no requests arrive; otherwise it
  // would be dated to the next request.
  MembershipChangedAt();
  mQuotas.Prune(mScheduler.Now());
  mLocalShares.Prune(mScheduler.Now());
  mSendPermits.Prune(mScheduler.Now());
}

} // namespace cowslipline
