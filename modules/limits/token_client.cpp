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
/// How long reports wait for a token request that can carry them.
constexpr duration kReportDelay = std::chrono::milliseconds(20);
constexpr duration kNoFractionPause = std::chrono::milliseconds(20);
constexpr duration kFailurePause = std::chrono::milliseconds(5);
constexpr duration kOwnerCacheTime = std::chrono::milliseconds(100);
/// Tokens are prefetched for about one round trip and 100 ms of recent use.
constexpr double kPrefetchSeconds = 0.105;
constexpr double kRecentUseSeconds = 1.0;
constexpr duration kIdleTime = std::chrono::seconds(10);
constexpr duration kLongestRetryAfter = std::chrono::seconds(1);

} // namespace

token_client::token_client(scheduler& aScheduler,
                           std::shared_ptr<peer_channel> aChannel,
                           std::shared_ptr<membership> aMembership,
                           const organisation_limits& aLimits,
                           allotment_manager& aAllotment,
                           local_fraction& aLocalFraction,
                           shard_owner& aOwner)
  : mScheduler(aScheduler)
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mLimits(aLimits)
  , mAllotment(aAllotment)
  , mLocalFraction(aLocalFraction)
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
  auto& state = mOrganisationStates[aOrganisation];
  if (state.mWaiters.empty() && Take(aOrganisation, *limits, state)) {
    Prefetch(aOrganisation, *limits, state);
    return {};
  }
  const auto now = mScheduler.Now();
  if (aWait > duration(0) && state.mNoTokenUntil <= now + aWait &&
      WaitForToken(aOrganisation, state, aWait, aYield)) {
    return {};
  }
  const bool hasTokenSource =
    mLocalFraction.Units() > 0 || !LinkFor(aOrganisation).IsAvoided(now);
  return Fail(hasTokenSource ? errc::RateLimited : errc::NotReady);
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
  const auto found = mOrganisationStates.find(aOrganisation);
  const auto untilToken = found == mOrganisationStates.end()
                            ? duration(0)
                            : found->second.mNoTokenUntil - mScheduler.Now();
  return std::max(untilToken, std::min(between, kLongestRetryAfter));
}

void
token_client::DropIdle()
{
  const auto now = mScheduler.Now();
  for (auto next = mOrganisationStates.begin();
       next != mOrganisationStates.end();) {
    const auto current = next++;
    auto& state = current->second;
    ReportFinished(current->first, state);
    const bool isIdle = state.mWaiters.empty() && state.mTokens.IsEmpty() &&
                        !state.mIsRetryPlanned && state.mNoTokenUntil < now &&
                        now - state.mUsedAt > kIdleTime;
    if (isIdle) {
      mOrganisationStates.erase(current);
    }
  }
}

bool
token_client::Take(const std::string& aOrganisation,
                   const rate_limits& aLimits,
                   organisation_state& aState)
{
  mAllotment.DisableIfIsolated();
  const auto now = mScheduler.Now();
  const bool isTaken = aState.mTokens.Take(aLimits, now) ||
                       mOwner.Take(aOrganisation, aLimits) ||
                       mLocalFraction.Take(aOrganisation, aLimits, now);
  if (isTaken) {
    NoteUse(aState);
  }
  ReportFinished(aOrganisation, aState);
  return isTaken;
}

void
token_client::NoteUse(organisation_state& aState) const
{
  aState.mPerSecond = RecentUse(aState) + 1 / kRecentUseSeconds;
  aState.mUsedAt = mScheduler.Now();
}

double
token_client::RecentUse(const organisation_state& aState) const
{
  const auto age = InSeconds(mScheduler.Now() - aState.mUsedAt);
  return aState.mPerSecond * std::exp(-age / kRecentUseSeconds);
}

bool
token_client::WaitForToken(const std::string& aOrganisation,
                           organisation_state& aState,
                           duration aWait,
                           yield_context aYield)
{
  waiter self;
  self.mDeadline = mScheduler.Now() + aWait;
  // Tasks may run before Spawn() returns, so the waiter must be queued first.
  aState.mWaiters.push_back(&self);
  PlanRetry(aOrganisation, aState);
  while (self.mState == wait_state::Waiting) {
    const auto left = self.mDeadline - mScheduler.Now();
    if (!self.mDone.Wait(mScheduler, left, aYield)) {
      break;
    }
  }
  const auto found =
    std::find(aState.mWaiters.begin(), aState.mWaiters.end(), &self);
  if (found != aState.mWaiters.end()) {
    aState.mWaiters.erase(found);
  }
  return self.mState == wait_state::Admitted;
}

void
token_client::ServeWaiters(const std::string& aOrganisation,
                           organisation_state& aState)
{
  const auto limits = mLimits.Find(aOrganisation);
  while (limits && !aState.mWaiters.empty() &&
         Take(aOrganisation, *limits, aState)) {
    auto* first = aState.mWaiters.front();
    aState.mWaiters.pop_front();
    first->mState = wait_state::Admitted;
    first->mDone.Set();
  }
}

/// Refuses at once the waiters whose deadline ends before a token is expected.
void
token_client::RefuseLateWaiters(organisation_state& aState)
{
  for (auto* one : aState.mWaiters) {
    if (one->mDeadline < aState.mNoTokenUntil) {
      one->mState = wait_state::Refused;
      one->mDone.Set();
    }
  }
}

void
token_client::Prefetch(const std::string& aOrganisation,
                       const rate_limits& aLimits,
                       organisation_state& aState)
{
  const auto target = PrefetchTarget(aLimits, aState);
  const auto now = mScheduler.Now();
  if (target >= 1 && aState.mNoTokenUntil <= now &&
      aState.mTokens.Count(now) < target / 2) {
    RequestTokens(aOrganisation);
  }
}

double
token_client::PrefetchTarget(const rate_limits& aLimits,
                             const organisation_state& aState) const
{
  return std::min(RecentUse(aState) * kPrefetchSeconds, aLimits.mBurst / 2);
}

std::uint32_t
token_client::Wanted(const std::string& aOrganisation,
                     const organisation_state& aState) const
{
  const auto limits = mLimits.Find(aOrganisation).value_or(rate_limits{});
  const auto target = PrefetchTarget(limits, aState);
  const double held = aState.mTokens.Count(mScheduler.Now());
  const auto prefetched =
    target < 1 ? 0 : std::ceil(std::max(target - held, 0.0));
  return static_cast<std::uint32_t>(aState.mWaiters.size()) +
         static_cast<std::uint32_t>(prefetched);
}

void
token_client::ReportFinished(const std::string& aOrganisation,
                             organisation_state& aState)
{
  const auto now = mScheduler.Now();
  for (const auto& grant : aState.mTokens.Finished(now)) {
    auto& link = LinkTo(grant.mOwner);
    link.AddReport(aOrganisation, grant.mOwnerBoot, grant.mReport, now);
    StartServing(link);
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
token_client::RequestTokens(const std::string& aOrganisation)
{
  auto& link = LinkFor(aOrganisation);
  link.AddWanting(aOrganisation);
  StartServing(link);
}

void
token_client::PlanRetry(const std::string& aOrganisation,
                        organisation_state& aState)
{
  if (aState.mIsRetryPlanned) {
    return;
  }
  if (aState.mNoTokenUntil <= mScheduler.Now()) {
    RequestTokens(aOrganisation);
    return;
  }
  aState.mIsRetryPlanned = true;
  mScheduler.Spawn([this, aOrganisation, &aState](yield_context aYield) {
    while (mScheduler.Now() < aState.mNoTokenUntil &&
           !aState.mWaiters.empty()) {
      mScheduler.SleepFor(aState.mNoTokenUntil - mScheduler.Now(), aYield);
    }
    aState.mIsRetryPlanned = false;
    ServeWaiters(aOrganisation, aState);
    if (!aState.mWaiters.empty()) {
      RequestTokens(aOrganisation);
    }
  });
}

void
token_client::StartServing(owner_link& aLink)
{
  if (aLink.mIsBusy) {
    return;
  }
  aLink.mIsBusy = true;
  mScheduler.Spawn([this, &aLink](yield_context aYield) {
    Serve(aLink, aYield);
    aLink.mIsBusy = false;
  });
}

void
token_client::Serve(owner_link& aLink, yield_context aYield)
{
  while (aLink.HasWanting() || aLink.HasReports()) {
    if (aLink.HasWanting()) {
      RequestFromOwner(aLink, aYield);
    } else {
      SendReports(aLink, aYield);
    }
  }
}

void
token_client::SendReports(owner_link& aLink, yield_context aYield)
{
  const auto due = aLink.OldestReport() + kReportDelay;
  if (mScheduler.Now() < due) {
    aLink.mAdded.Wait(mScheduler, due - mScheduler.Now(), aYield);
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
token_client::BuildRequest(owner_link& aLink)
{
  token_request request;
  for (const auto& organisation : aLink.TakeWanting()) {
    const auto found = mOrganisationStates.find(organisation);
    const auto wanted = found == mOrganisationStates.end()
                          ? 0
                          : Wanted(organisation, found->second);
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
token_client::RequestFromOwner(owner_link& aLink, yield_context aYield)
{
  const auto request = BuildRequest(aLink);
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
    mAllotment.RecordAnswer(sent);
    Apply(aLink, request, *reply, sent);
    return;
  }
  aLink.NoteFailure(mScheduler.Now());
  // Calls to an unreachable owner fail at once; without a pause the retries for
  // waiting requests would be a busy loop.
  mScheduler.SleepFor(kFailurePause, aYield);
  RetryTokens(request);
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
  auto& state = mOrganisationStates[aOrganisation];
  const auto now = mScheduler.Now();
  if (aItem.mTokens > 0) {
    state.mTokens.Add(aLink.Owner(), aOwnerBoot, aItem, aSent + kTokenValidity);
    state.mNoTokenUntil = now;
  } else if (aItem.mRetryMilliseconds > 0) {
    state.mNoTokenUntil =
      now + std::chrono::milliseconds(aItem.mRetryMilliseconds);
  } else {
    state.mNoTokenUntil = now + kNoFractionPause;
  }
  ServeWaiters(aOrganisation, state);
  RefuseLateWaiters(state);
  if (!state.mWaiters.empty()) {
    PlanRetry(aOrganisation, state);
  }
}

void
token_client::RetryTokens(const token_request& aRequest)
{
  for (const auto& item : aRequest.mItems) {
    const auto found = mOrganisationStates.find(item.mOrganisation);
    if (found != mOrganisationStates.end() && !found->second.mWaiters.empty()) {
      RequestTokens(item.mOrganisation);
    }
  }
}

} // namespace cowslipline
