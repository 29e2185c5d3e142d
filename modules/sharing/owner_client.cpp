#include "modules/sharing/owner_client.h"

#include "core/log.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A reply takes two one-way latencies, a few milliseconds. An instance whose
// processor share is used up stands still for the rest of a tenth of a second.
constexpr duration kFirstWait = 50ms;
constexpr duration kSecondWait = 100ms;

// Part of an instance's equal share of the rate that it admits on its own. The
// owner does not count these.
constexpr double kLocalPart = 0.5;

constexpr std::size_t kOwners = 2;

} // namespace

owner_client::owner_client(scheduler& aScheduler,
                           member_table& aMembers,
                           peer_link& aLink,
                           const owner_limits& aLimits,
                           std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mMembers(aMembers)
  , mLink(aLink)
  , mQuotas(aLimits.mQuotas)
  , mLocalShares(aLimits.mQuotas)
  , mRetries(aLimits.mRetries, aScheduler.Now())
  , mRequests(aLimits.mRetries)
  , mNextId(aSeed)
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
       mMembers.OwnersOf(aItem, kOwners, mScheduler.Now())) {
    owners.push_back(*owner);
  }
  return owners;
}

steady_time
owner_client::MembersSince()
{
  if (mMembers.Epoch() != mKnownEpoch) {
    mKnownEpoch = mMembers.Epoch();
    mMembersSince = mScheduler.Now();
  }
  return mMembersSince;
}

steady_time
owner_client::OwnedSince(const std::string& aOrganisation)
{
  const auto since = MembersSince();
  return mMembers.IsFirstOwner(aOrganisation) ? since : mScheduler.Now();
}

template<typename Question>
std::optional<quota_decision>
owner_client::Ask(Question aQuestion,
                  const fleet_member& aOwner,
                  duration aWait,
                  yield_context aYield)
{
  const auto id = mNextId++;
  aQuestion.mId = id;
  const auto question = std::make_shared<pending_question>();
  mPending.emplace(id, question);
  mLink.Send(aQuestion, aOwner.mAddress);
  question->mAnswered.Wait(mScheduler, aWait, aYield);
  mPending.erase(id);
  return question->mDecision;
}

void
owner_client::PassOver(const fleet_member& aOwner, const std::string& aItem)
{
  mMembers.OnNoReply(aOwner.mName, mScheduler.Now());
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
    auto source = i == 0 ? quota_source::Peer : quota_source::SecondOwner;
    if (owner.mName == self) {
      decision = mQuotas.Admit(
        aOrganisation, aLimit, OwnedSince(aOrganisation), mScheduler.Now());
      source = quota_source::Owner;
    } else {
      const quota_question question{ 0, aOrganisation };
      decision = Ask(question, owner, kFirstWait, aYield);
      // Asked twice: a datagram is lost now and then.
      if (!decision) {
        decision = Ask(question, owner, kSecondWait, aYield);
      }
    }
    if (decision) {
      return { *decision, source, owner.mName };
    }
    PassOver(owner, aOrganisation);
  }
  const double part =
    kLocalPart / static_cast<double>(mMembers.Count(mScheduler.Now()));
  return { mLocalShares.Admit(aOrganisation,
                              { aLimit.mRate * part, 0 },
                              mScheduler.Now(),
                              mScheduler.Now()),
           quota_source::LocalShare,
           self };
}

bool
owner_client::TakeRetry(const std::string& aService, yield_context aYield)
{
  const auto requests = mRequests.TakeCount(aService, mScheduler.Now());
  const auto owners = OwnersOf("retries of " + aService);
  if (owners[0].mName == mMembers.Self().mName) {
    return mRetries.TakeToken(
      aService, requests, mMembers.Epoch(), mScheduler.Now());
  }
  const auto decision =
    Ask(retry_question{ 0, aService, requests }, owners[0], kFirstWait, aYield);
  if (!decision) {
    PassOver(owners[0], aService);
    return false;
  }
  return decision->mIsAdmitted;
}

void
owner_client::OnQuestion(const quota_question& aQuestion,
                         const quota_limit& aLimit,
                         const udp_endpoint& aFrom)
{
  const auto& organisation = aQuestion.mOrganisation;
  const auto decision = mQuotas.Admit(
    organisation, aLimit, OwnedSince(organisation), mScheduler.Now());
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(decision.mRetryAfter);
  mLink.Send(owner_answer{ aQuestion.mId,
                           decision.mIsAdmitted,
                           static_cast<std::uint32_t>(wait.count()) },
             aFrom);
}

void
owner_client::OnQuestion(const retry_question& aQuestion,
                         const udp_endpoint& aFrom)
{
  const bool isGranted = mRetries.TakeToken(aQuestion.mService,
                                            aQuestion.mRequests,
                                            mMembers.Epoch(),
                                            mScheduler.Now());
  mLink.Send(owner_answer{ aQuestion.mId, isGranted, 0 }, aFrom);
}

void
owner_client::OnAnswer(const owner_answer& aAnswer)
{
  const auto found = mPending.find(aAnswer.mId);
  if (found == mPending.end()) {
    return;
  }
  found->second->mDecision =
    quota_decision{ aAnswer.mIsAdmitted,
                    std::chrono::milliseconds(aAnswer.mRetryAfterMs) };
  found->second->mAnswered.Set();
}

void
owner_client::Prune()
{
  // Without requests a change would be noticed with the next one only.
  MembersSince();
  mQuotas.Prune(mScheduler.Now());
  mLocalShares.Prune(mScheduler.Now());
}

} // namespace cowslipline
