#include "modules/sharing/quota_client.h"

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

} // namespace

quota_client::quota_client(scheduler& aScheduler,
                           member_table& aMembers,
                           peer_link& aLink,
                           std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mMembers(aMembers)
  , mLink(aLink)
  , mBuckets(aScheduler.Now())
  , mLocalShares(aScheduler.Now())
  , mNextId(aSeed)
{
}

quota_admission
quota_client::Admit(const std::string& aOrganisation,
                    const quota_limit& aLimit,
                    yield_context aYield)
{
  if (aLimit.mRate <= 0) {
    return { { true, duration(0) }, quota_source::Unlimited };
  }
  const auto ownItself = [&] {
    return quota_admission{ mBuckets.Admit(aOrganisation,
                                           aLimit,
                                           mMembers.Epoch(),
                                           mScheduler.Now()),
                            quota_source::Owner };
  };
  // Copied: the table may change while the reply is awaited.
  std::vector<fleet_member> owners;
  for (const auto* owner :
       mMembers.OwnersOf(aOrganisation, 2, mScheduler.Now())) {
    owners.push_back(*owner);
  }
  const auto& self = mMembers.Self().mName;
  if (owners[0].mName == self) {
    return ownItself();
  }
  // Asked twice: a datagram is lost now and then.
  for (const auto wait : { kFirstWait, kSecondWait }) {
    if (const auto decision = Ask(aOrganisation, owners[0], wait, aYield)) {
      return { *decision, quota_source::Peer };
    }
  }
  mMembers.OnNoReply(owners[0].mName, mScheduler.Now());
  if (owners.size() > 1 && owners[1].mName == self) {
    return ownItself();
  }
  if (owners.size() > 1) {
    if (const auto decision =
          Ask(aOrganisation, owners[1], kSecondWait, aYield)) {
      return { *decision, quota_source::SecondOwner };
    }
    mMembers.OnNoReply(owners[1].mName, mScheduler.Now());
  }
  const double part =
    kLocalPart / static_cast<double>(mMembers.Count(mScheduler.Now()));
  return { mLocalShares.Admit(aOrganisation,
                              { aLimit.mRate * part, 1 },
                              0,
                              mScheduler.Now()),
           quota_source::LocalShare };
}

std::optional<quota_decision>
quota_client::Ask(const std::string& aOrganisation,
                  const fleet_member& aOwner,
                  duration aWait,
                  yield_context aYield)
{
  const auto id = mNextId++;
  const auto question = std::make_shared<pending_question>();
  mPending.emplace(id, question);
  mLink.Send(quota_question{ id, aOrganisation }, aOwner.mAddress);
  question->mAnswered.Wait(mScheduler, aWait, aYield);
  mPending.erase(id);
  return question->mDecision;
}

void
quota_client::OnQuestion(const quota_question& aQuestion,
                         const quota_limit& aLimit,
                         const udp_endpoint& aFrom)
{
  const auto decision = mBuckets.Admit(
    aQuestion.mOrganisation, aLimit, mMembers.Epoch(), mScheduler.Now());
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
    decision.mRetryAfter);
  mLink.Send(quota_answer{ aQuestion.mId,
                           decision.mIsAdmitted,
                           static_cast<std::uint32_t>(wait.count()) },
             aFrom);
}

void
quota_client::OnAnswer(const quota_answer& aAnswer)
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
quota_client::Prune()
{
  mBuckets.Prune(mScheduler.Now());
  mLocalShares.Prune(mScheduler.Now());
}

} // namespace cowslipline
