#include "modules/proxy/slot_lending.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A reply takes one round trip, a few milliseconds also between zones. Waiting
// longer than about a fifth of the time that a request runs would cost more
// than the wait behind another request that it saves.
constexpr duration kReplyTimeout = 30ms;

// An owner that missed two replies in a row has probably ended, or is paused;
// until its registration ends it is asked twice a second.
constexpr int kMostMisses = 2;
constexpr duration kSilence = 500ms;

// A lease ends by itself after this time at the latest. Requests take less
// except at silent targets, which their timeouts make the detector avoid.
constexpr duration kLongestLease = 5s;

// A return names this many leases: the last ones again, since it may be lost.
constexpr std::size_t kReturnedAtOnce = 3;

// Other zones without a free slot are not asked again for this time.
constexpr duration kOtherZonesPause = 100ms;

} // namespace

borrowed_slot&
borrowed_slot::operator=(borrowed_slot&& aOther) noexcept
{
  if (this != &aOther) {
    Return();
    mLender = std::move(aOther.mLender);
    mId = aOther.mId;
    mOwner = aOther.mOwner;
    mTarget = std::move(aOther.mTarget);
    aOther.mTarget.clear();
  }
  return *this;
}

void
borrowed_slot::Return()
{
  if (!IsLent()) {
    return;
  }
  mTarget.clear();
  if (const auto lender = mLender.lock()) {
    lender->Return(mId, mOwner);
  }
}

slot_lending::slot_lending(scheduler& aScheduler,
                           member_table& aMembers,
                           peer_link& aLink,
                           load_balancer& aChooser,
                           const outlier_detector& aDetector,
                           metrics& aMetrics,
                           candidate_finder aFindCandidates,
                           std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mMembers(aMembers)
  , mLink(aLink)
  , mChooser(aChooser)
  , mDetector(aDetector)
  , mMetrics(aMetrics)
  , mFindCandidates(std::move(aFindCandidates))
  , mRandom(aSeed)
  , mNextId(mRandom.Next() >> 1)
{
}

void
slot_lending::Count(const char* aResult)
{
  mMetrics
    .Counter("cowslipline_slots_borrowed_total{result=\"" +
             std::string(aResult) + "\"}")
    .Add();
}

slot_reply
slot_lending::Lend(const slot_query& aQuery,
                   const slot_group& aGroup,
                   std::uint64_t aId)
{
  const auto now = mScheduler.Now();
  const auto candidates = mFindCandidates(aQuery);
  const auto chosen = mChooser.ChooseToLend(
    candidates, aGroup, aQuery.mPlacement, mDetector, mLeases, now);
  if (!chosen) {
    return { aId, {}, true };
  }
  const auto& target = candidates[chosen->mIndex].mId;
  const auto length =
    std::clamp<duration>(aQuery.mTimeLeft, 0ms, kLongestLease);
  mLeases.Lend(aId, target, now + length, now);
  return { aId, std::string(target), chosen->mIsFull };
}

std::optional<slot_lending::offer>
slot_lending::Ask(const slot_query& aQuery,
                  const std::string& aZone,
                  const slot_group& aGroup,
                  yield_context aYield)
{
  const auto now = mScheduler.Now();
  const auto item =
    "slots of " + aQuery.mService + '/' + std::to_string(aGroup.mIndex);
  const auto* found = mMembers.OwnerIn(aZone, item, now);
  if (found == nullptr) {
    return std::nullopt;
  }
  const auto id = mNextId++;
  if (found->mName == mMembers.Self().mName) {
    const auto reply = Lend(aQuery, aGroup, id);
    return offer{ { weak_from_this(), id, udp_endpoint(), reply.mTarget },
                  reply.mIsFull };
  }
  // A copy: the table may change while the reply is awaited.
  const auto owner = *found;
  if (const auto silent = mSilent.find(owner.mName);
      silent != mSilent.end() && now < silent->second.mUntil) {
    return std::nullopt;
  }
  slot_request request;
  request.mId = id;
  request.mService = aQuery.mService;
  request.mGroup = aGroup.mIndex;
  request.mGroups = aGroup.mCount;
  request.mLeaseMs = static_cast<std::uint32_t>(
    std::clamp<duration>(aQuery.mTimeLeft, 0ms, kLongestLease) / 1ms);
  request.mPriority = static_cast<std::uint32_t>(std::max(aQuery.mPriority, 0));
  request.mIsRepeatable = aQuery.mPlacement.mIsRepeatable;
  request.mMayUseLimited = aQuery.mMayUseLimited;
  request.mTried = aQuery.mPlacement.mTried;
  const auto pending = std::make_shared<pending_request>();
  mPending.emplace(id, pending);
  mLink.Send(request, owner.mAddress);
  pending->mReplyArrived.Wait(mScheduler, kReplyTimeout, aYield);
  mPending.erase(id);
  if (!pending->mReply) {
    auto& silent = mSilent[owner.mName];
    if (++silent.mMisses >= kMostMisses) {
      silent.mUntil = mScheduler.Now() + kSilence;
    }
    return std::nullopt;
  }
  mSilent.erase(owner.mName);
  return offer{
    { weak_from_this(), id, owner.mAddress, pending->mReply->mTarget },
    pending->mReply->mIsFull
  };
}

bool
slot_lending::AreLentFor(
  const std::vector<placement_candidate>& aCandidates) const
{
  return mMostSlots > 0 &&
         std::all_of(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const placement_candidate& aCandidate) {
                       return aCandidate.mSlots <= mMostSlots;
                     });
}

std::optional<borrowed_slot>
slot_lending::Borrow(const slot_query& aQuery,
                     const std::vector<placement_candidate>& aCandidates,
                     yield_context aYield)
{
  const auto& ownZone = mMembers.Self().mAvailabilityZone;
  std::vector<std::pair<std::string, std::uint64_t>> zoneSlots;
  std::vector<std::string_view> ownTargets;
  for (const auto& candidate : aCandidates) {
    const auto& zone = candidate.mAvailabilityZone;
    const auto known =
      std::find_if(zoneSlots.begin(), zoneSlots.end(), [&](const auto& aEntry) {
        return aEntry.first == zone;
      });
    if (known != zoneSlots.end()) {
      known->second += candidate.mSlots;
    } else {
      zoneSlots.emplace_back(zone, candidate.mSlots);
    }
    if (zone == ownZone) {
      ownTargets.push_back(candidate.mId);
    }
  }
  if (ownTargets.empty()) {
    return std::nullopt;
  }
  const auto own =
    std::find_if(zoneSlots.begin(), zoneSlots.end(), [&](const auto& aEntry) {
      return aEntry.first == ownZone;
    });
  const auto count = SlotGroupCount(own->second);
  zoneSlots.erase(own);
  // Groups get requests by the number of their targets.
  auto group = SlotGroupOf(ownTargets[mRandom.Below(ownTargets.size())], count);
  auto first = Ask(aQuery, ownZone, group, aYield);
  if (!first) {
    Count("no_reply");
    return std::nullopt;
  }
  if (!first->mIsFull) {
    Count("free");
    return std::move(first->mSlot);
  }
  if (count > 1) {
    const auto step = 1 + mRandom.Below(count - 1);
    group.mIndex = static_cast<std::uint32_t>((group.mIndex + step) % count);
    auto second = Ask(aQuery, ownZone, group, aYield);
    if (second && second->mSlot.IsLent() &&
        (!second->mIsFull || !first->mSlot.IsLent())) {
      first = std::move(second);
    }
  }
  const auto now = mScheduler.Now();
  if (first->mIsFull && !zoneSlots.empty() && now >= mOtherZonesFullUntil) {
    const auto& [zone, slots] = zoneSlots[mRandom.Below(zoneSlots.size())];
    const auto groups = SlotGroupCount(slots);
    auto other =
      Ask(aQuery,
          zone,
          { static_cast<std::uint32_t>(mRandom.Below(groups)), groups },
          aYield);
    if (other && other->mSlot.IsLent() && !other->mIsFull) {
      Count("other_zone");
      return std::move(other->mSlot);
    }
    mOtherZonesFullUntil = now + kOtherZonesPause;
  }
  if (!first->mSlot.IsLent()) {
    Count("none");
    return std::nullopt;
  }
  Count(first->mIsFull ? "full" : "second_group");
  return std::move(first->mSlot);
}

void
slot_lending::OnPeerRequest(const slot_request& aRequest,
                            const udp_endpoint& aFrom)
{
  slot_query query;
  query.mService = aRequest.mService;
  query.mPlacement = { aRequest.mIsRepeatable, aRequest.mTried };
  constexpr std::uint32_t kLeastUrgent = 1'000'000;
  query.mPriority =
    static_cast<int>(std::min(aRequest.mPriority, kLeastUrgent));
  query.mMayUseLimited = aRequest.mMayUseLimited;
  query.mTimeLeft = std::chrono::milliseconds(aRequest.mLeaseMs);
  mLink.Send(Lend(query, { aRequest.mGroup, aRequest.mGroups }, aRequest.mId),
             aFrom);
}

void
slot_lending::OnReply(const slot_reply& aReply, const udp_endpoint& aFrom)
{
  const auto found = mPending.find(aReply.mId);
  if (found == mPending.end()) {
    // Too late: the request has gone elsewhere.
    if (!aReply.mTarget.empty()) {
      Return(aReply.mId, aFrom);
    }
    return;
  }
  found->second->mReply = aReply;
  found->second->mReplyArrived.Set();
}

void
slot_lending::OnReturn(const slot_return& aReturn)
{
  for (const auto id : aReturn.mIds) {
    mLeases.Return(id);
  }
}

void
slot_lending::Return(std::uint64_t aId, const udp_endpoint& aOwner)
{
  if (aOwner.port() == 0) {
    mLeases.Return(aId);
    return;
  }
  auto& last = mReturned[aOwner];
  last.insert(last.begin(), aId);
  last.resize(std::min(last.size(), kReturnedAtOnce));
  mLink.Send(slot_return{ last }, aOwner);
}

void
slot_lending::Prune()
{
  mLeases.Prune(mScheduler.Now());
  mReturned.clear();
  for (auto entry = mSilent.begin(); entry != mSilent.end();) {
    const bool isOver = entry->second.mMisses >= kMostMisses &&
                        mScheduler.Now() >= entry->second.mUntil;
    entry = isOver ? mSilent.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
