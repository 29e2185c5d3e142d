#include "modules/limits/token_client.h"

#include "core/check.h"
#include "modules/limits/limit_constants.h"
#include "modules/limits/next_owner.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

/// A lost message must leave time for another attempt within the 50 ms that a
/// request waits.
constexpr duration kRequestTimeout = std::chrono::milliseconds(20);
/// Reports wait so long for a request that carries them.
constexpr duration kReportDelay = std::chrono::milliseconds(20);
constexpr duration kNoAuthorityPause = std::chrono::milliseconds(20);
constexpr duration kFailurePause = std::chrono::milliseconds(5);
constexpr duration kOwnerCacheTime = std::chrono::milliseconds(100);
/// Tokens are asked ahead for about one round trip and 100 ms of recent use.
constexpr double kAskAheadSeconds = 0.105;
constexpr double kRecentUseSeconds = 1.0;
constexpr duration kIdleTime = std::chrono::seconds(10);
constexpr duration kLongestRetryAfter = std::chrono::seconds(1);

} // namespace

token_client::token_client(scheduler& aScheduler,
                           std::shared_ptr<peer_channel> aChannel,
                           std::shared_ptr<membership> aMembership,
                           const organisation_limits& aLimits,
                           allotment_table& aTable,
                           fraction_holder& aHolder,
                           shard_owner& aOwner)
  : mScheduler(aScheduler)
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mLimits(aLimits)
  , mTable(aTable)
  , mHolder(aHolder)
  , mOwner(aOwner)
{
}

result<void>
token_client::Admit(const std::string& aOrganisation,
                    duration aWait,
                    yield_context aYield)
{
  const auto limits = mLimits.Find(aOrganisation);
  COWSLIPLINE_PROPAGATE(limits);
  if (limits->mRate <= 0) {
    return Fail(errc::RateLimited);
  }
  auto& use = mUses[aOrganisation];
  if (use.mWaiters.empty() && Take(aOrganisation, *limits, use)) {
    AskAhead(aOrganisation, *limits, use);
    return {};
  }
  const auto now = mScheduler.Now();
  if (aWait > duration(0) && use.mDryUntil <= now + aWait &&
      WaitForToken(aOrganisation, use, aWait, aYield)) {
    return {};
  }
  const bool hasAuthority =
    mHolder.Units() > 0 || !LinkFor(aOrganisation).IsAvoided(now);
  return Fail(hasAuthority ? errc::RateLimited : errc::NotReady);
}

duration
token_client::RetryAfter(const std::string& aOrganisation) const
{
  const auto limits = mLimits.Find(aOrganisation);
  if (!limits || limits->mRate <= 0) {
    return kLongestRetryAfter;
  }
  const auto between =
    duration(static_cast<duration::rep>(1e6 / limits->mRate) + 1);
  const auto found = mUses.find(aOrganisation);
  const auto dry = found == mUses.end()
                     ? duration(0)
                     : found->second.mDryUntil - mScheduler.Now();
  return std::max(dry, std::min(between, kLongestRetryAfter));
}

void
token_client::DropIdle()
{
  const auto now = mScheduler.Now();
  for (auto next = mUses.begin(); next != mUses.end();) {
    const auto current = next++;
    auto& use = current->second;
    ReportFinished(current->first, use);
    const bool isIdle = use.mWaiters.empty() && use.mTokens.IsEmpty() &&
                        !use.mIsRetryPlanned && use.mDryUntil < now &&
                        now - use.mUsedAt > kIdleTime;
    if (isIdle) {
      mUses.erase(current);
    }
  }
}

bool
token_client::Take(const std::string& aOrganisation,
                   const rate_limits& aLimits,
                   use& aUse)
{
  mTable.CheckIsolation();
  const auto now = mScheduler.Now();
  const bool isTaken = aUse.mTokens.Take(aLimits, now) ||
                       mOwner.Take(aOrganisation, aLimits) ||
                       mHolder.Take(aOrganisation, aLimits, now);
  if (isTaken) {
    NoteUse(aUse);
  }
  ReportFinished(aOrganisation, aUse);
  return isTaken;
}

void
token_client::NoteUse(use& aUse) const
{
  aUse.mPerSecond = RecentUse(aUse) + 1 / kRecentUseSeconds;
  aUse.mUsedAt = mScheduler.Now();
}

double
token_client::RecentUse(const use& aUse) const
{
  const auto age = InSeconds(mScheduler.Now() - aUse.mUsedAt);
  return aUse.mPerSecond * std::exp(-age / kRecentUseSeconds);
}

bool
token_client::WaitForToken(const std::string& aOrganisation,
                           use& aUse,
                           duration aWait,
                           yield_context aYield)
{
  waiter self;
  self.mDeadline = mScheduler.Now() + aWait;
  // Tasks may start before Spawn() returns, so the waiter must be known first.
  aUse.mWaiters.push_back(&self);
  PlanRetry(aOrganisation, aUse);
  while (self.mState == wait_state::Waiting) {
    const auto left = self.mDeadline - mScheduler.Now();
    if (!self.mDone.Wait(mScheduler, left, aYield)) {
      break;
    }
  }
  const auto found =
    std::find(aUse.mWaiters.begin(), aUse.mWaiters.end(), &self);
  if (found != aUse.mWaiters.end()) {
    aUse.mWaiters.erase(found);
  }
  return self.mState == wait_state::Admitted;
}

void
token_client::ServeWaiters(const std::string& aOrganisation, use& aUse)
{
  const auto limits = mLimits.Find(aOrganisation);
  while (limits && !aUse.mWaiters.empty() &&
         Take(aOrganisation, *limits, aUse)) {
    auto* first = aUse.mWaiters.front();
    aUse.mWaiters.pop_front();
    first->mState = wait_state::Admitted;
    first->mDone.Set();
  }
}

/// Refuses at once what cannot be admitted in time.
void
token_client::RefuseLateWaiters(use& aUse)
{
  for (auto* one : aUse.mWaiters) {
    if (one->mDeadline < aUse.mDryUntil) {
      one->mState = wait_state::Refused;
      one->mDone.Set();
    }
  }
}

void
token_client::AskAhead(const std::string& aOrganisation,
                       const rate_limits& aLimits,
                       use& aUse)
{
  const auto target = AheadTarget(aLimits, aUse);
  const auto now = mScheduler.Now();
  if (target >= 1 && aUse.mDryUntil <= now &&
      aUse.mTokens.Count(now) < target / 2) {
    Ask(aOrganisation);
  }
}

double
token_client::AheadTarget(const rate_limits& aLimits, const use& aUse) const
{
  return std::min(RecentUse(aUse) * kAskAheadSeconds, aLimits.mBurst / 2);
}

std::uint32_t
token_client::Wanted(const std::string& aOrganisation, const use& aUse) const
{
  const auto limits = mLimits.Find(aOrganisation).value_or(rate_limits{});
  const auto target = AheadTarget(limits, aUse);
  const double held = aUse.mTokens.Count(mScheduler.Now());
  const auto ahead = target < 1 ? 0 : std::ceil(std::max(target - held, 0.0));
  return static_cast<std::uint32_t>(aUse.mWaiters.size()) +
         static_cast<std::uint32_t>(ahead);
}

void
token_client::ReportFinished(const std::string& aOrganisation, use& aUse)
{
  const auto now = mScheduler.Now();
  for (const auto& grant : aUse.mTokens.Finished(now)) {
    auto& link = LinkTo(grant.mOwner);
    link.Report(aOrganisation, grant.mOwnerBoot, grant.mReport, now);
    StartWork(link);
  }
}

owner_link&
token_client::LinkTo(const instance_name& aOwner)
{
  return mLinks.try_emplace(aOwner, aOwner).first->second;
}

owner_link&
token_client::LinkFor(const std::string& aOrganisation)
{
  const auto shard = ShardOf(aOrganisation);
  auto& link = LinkTo(OwnerOf(shard));
  return link.IsAvoided(mScheduler.Now()) ? LinkTo(NextOwnerOf(shard)) : link;
}

const instance_name&
token_client::OwnerOf(shard_index aShard)
{
  auto& cached = mOwners[aShard];
  const auto now = mScheduler.Now();
  if (cached.mUntil <= now) {
    cached = { mMembership->OwnerOf(aShard), {}, now + kOwnerCacheTime, {} };
  }
  return cached.mName;
}

const instance_name&
token_client::NextOwnerOf(shard_index aShard)
{
  auto& cached = mOwners[aShard];
  const auto now = mScheduler.Now();
  if (cached.mNextUntil <= now) {
    cached.mNextName = NextOwner(*mMembership, aShard, cached.mName);
    cached.mNextUntil = now + kOwnerCacheTime;
  }
  return cached.mNextName;
}

void
token_client::Ask(const std::string& aOrganisation)
{
  auto& link = LinkFor(aOrganisation);
  link.Want(aOrganisation);
  StartWork(link);
}

void
token_client::PlanRetry(const std::string& aOrganisation, use& aUse)
{
  if (aUse.mIsRetryPlanned) {
    return;
  }
  if (aUse.mDryUntil <= mScheduler.Now()) {
    Ask(aOrganisation);
    return;
  }
  aUse.mIsRetryPlanned = true;
  mScheduler.Spawn([this, aOrganisation, &aUse](yield_context aYield) {
    while (mScheduler.Now() < aUse.mDryUntil && !aUse.mWaiters.empty()) {
      mScheduler.SleepFor(aUse.mDryUntil - mScheduler.Now(), aYield);
    }
    aUse.mIsRetryPlanned = false;
    ServeWaiters(aOrganisation, aUse);
    if (!aUse.mWaiters.empty()) {
      Ask(aOrganisation);
    }
  });
}

void
token_client::StartWork(owner_link& aLink)
{
  if (aLink.mIsBusy) {
    return;
  }
  aLink.mIsBusy = true;
  mScheduler.Spawn([this, &aLink](yield_context aYield) {
    Work(aLink, aYield);
    aLink.mIsBusy = false;
  });
}

void
token_client::Work(owner_link& aLink, yield_context aYield)
{
  while (aLink.HasWanting() || aLink.HasReports()) {
    if (aLink.HasWanting()) {
      Exchange(aLink, aYield);
    } else {
      WorkOnReports(aLink, aYield);
    }
  }
}

void
token_client::WorkOnReports(owner_link& aLink, yield_context aYield)
{
  const auto due = aLink.OldestReport() + kReportDelay;
  if (mScheduler.Now() < due) {
    aLink.mWork.Wait(mScheduler, due - mScheduler.Now(), aYield);
    return;
  }
  token_request request;
  aLink.AddReports(request, mScheduler.Now());
  if (request.mItems.empty()) {
    return;
  }
  if (aLink.Owner() == mMembership->Self().mName) {
    mOwner.HandleRequest(aLink.Owner(), request);
  } else {
    mChannel->Send(aLink.Owner(), kTokenService, Encode(request));
  }
}

token_request
token_client::Collect(owner_link& aLink)
{
  token_request request;
  for (const auto& organisation : aLink.TakeWanting()) {
    const auto found = mUses.find(organisation);
    const auto wanted =
      found == mUses.end() ? 0 : Wanted(organisation, found->second);
    if (wanted > 0) {
      request.mItems.push_back({ organisation, wanted, {} });
    }
  }
  if (!request.mItems.empty()) {
    aLink.AddReports(request, mScheduler.Now());
  }
  return request;
}

void
token_client::Exchange(owner_link& aLink, yield_context aYield)
{
  const auto request = Collect(aLink);
  if (request.mItems.empty()) {
    return;
  }
  const auto sent = mScheduler.Now();
  if (aLink.Owner() == mMembership->Self().mName) {
    Apply(aLink, request, mOwner.HandleRequest(aLink.Owner(), request), sent);
    return;
  }
  const auto payload = mChannel->Call(
    aLink.Owner(), kTokenService, Encode(request), kRequestTimeout, aYield);
  const auto reply = payload ? DecodeTokenReply(*payload)
                             : result<token_reply>(Fail(payload.error()));
  if (reply) {
    mTable.NoteAnswer(sent);
    Apply(aLink, request, *reply, sent);
    return;
  }
  aLink.NoteFailure(mScheduler.Now());
  // An unreachable owner fails at once; without a pause the waiting requests
  // would be asked for in a busy loop.
  mScheduler.SleepFor(kFailurePause, aYield);
  AskAgain(request);
}

void
token_client::Apply(owner_link& aLink,
                    const token_request& aRequest,
                    const token_reply& aReply,
                    steady_time aSent)
{
  aLink.NoteReply(aReply.mOwnerBoot);
  const auto count = std::min(aRequest.mItems.size(), aReply.mItems.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (aRequest.mItems[i].mWanted > 0) {
      ApplyItem(aLink,
                aRequest.mItems[i].mOrganisation,
                aReply.mOwnerBoot,
                aReply.mItems[i],
                aSent);
    }
  }
}

void
token_client::ApplyItem(const owner_link& aLink,
                        const std::string& aOrganisation,
                        std::uint64_t aOwnerBoot,
                        const token_reply_item& aItem,
                        steady_time aSent)
{
  auto& use = mUses[aOrganisation];
  const auto now = mScheduler.Now();
  if (aItem.mTokens > 0) {
    use.mTokens.Add(aLink.Owner(), aOwnerBoot, aItem, aSent + kTokenValidity);
    use.mDryUntil = now;
  } else if (aItem.mRetryMilliseconds > 0) {
    use.mDryUntil = now + std::chrono::milliseconds(aItem.mRetryMilliseconds);
  } else {
    use.mDryUntil = now + kNoAuthorityPause;
  }
  ServeWaiters(aOrganisation, use);
  RefuseLateWaiters(use);
  if (!use.mWaiters.empty()) {
    PlanRetry(aOrganisation, use);
  }
}

void
token_client::AskAgain(const token_request& aRequest)
{
  for (const auto& item : aRequest.mItems) {
    const auto found = mUses.find(item.mOrganisation);
    if (found != mUses.end() && !found->second.mWaiters.empty()) {
      Ask(item.mOrganisation);
    }
  }
}

} // namespace cowslipline
