#include "modules/proxy/target_selection.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Owners that one send asks for a permit; each costs a round trip.
constexpr int kMaxPermitRequests = 4;

// A target whose owners do not reply is asked for again after this time.
constexpr duration kUnansweredRetry = 500ms;

target_run
RunOf(const target_entry& aTarget)
{
  return { aTarget.mId, aTarget.mStartedAtMs };
}

/// What a cold target of the service bears, by the configuration in force.
send_limit
ColdLimitOf(const proxy_services& aServices, const std::string& aService)
{
  const auto& routes = aServices.mView.mRoutes;
  const auto* service = routes ? routes->FindService(aService) : nullptr;
  if (service == nullptr || service->mColdRate <= 0) {
    return {};
  }
  const auto& bounds = aServices.mSettings.mBounds;
  return { service->mColdRate,
           service->mColdRate * bounds.mColdOvershoot + bounds.mColdSlack };
}

/// The limit that a send to the target needs a permit for, if any.
std::optional<send_limit>
LimitOf(const proxy_services& aServices,
        const send_limit& aCold,
        const target_entry& aTarget,
        steady_time aNow)
{
  const auto named = aServices.mLimits.RateOf(RunOf(aTarget));
  const auto cold = ColdLimitAt(aCold, aTarget.mColdUntil, aNow);
  if (!cold) {
    return named ? std::optional<send_limit>({ *named, 0 }) : std::nullopt;
  }
  return send_limit{ std::min(named.value_or(cold->mRate), cold->mRate),
                     cold->mMostPerSecond };
}

/// Whom a send may ask for a permit.
struct permit_scope
{
  bool mMayAsk = false;     ///< Owners of targets that limit their rate.
  bool mMayAskCold = false; ///< Owners of cold targets.
};

/// True if the target needs no permit, or if its owner may be asked for one.
bool
MayBeAsked(const proxy_services& aServices,
           const std::optional<send_limit>& aLimit,
           const target_entry& aTarget,
           int aPriority,
           const permit_scope& aScope,
           steady_time aNow)
{
  if (!aLimit) {
    return true;
  }
  const bool mayAsk =
    aLimit->mMostPerSecond > 0 ? aScope.mMayAskCold : aScope.mMayAsk;
  return mayAsk &&
         !aServices.mLimits.IsBlocked(RunOf(aTarget), aPriority, aNow);
}

/// The targets of a service that a send may go to now.
struct open_targets
{
  std::vector<const target_entry*> mEntries;
  std::vector<placement_candidate> mCandidates;
  /// Of the targets that are left out, the shortest time to a permit.
  duration mTimeToPermit = duration::max();
  bool mIsAnyLeftOut = false; ///< For want of a permit.
  bool mIsAnyEvacuated = false;
  bool mIsAnyFree = false; ///< One needs no permit.
};

/// A limited target may be chosen if aScope has it, unless it is known to
/// refuse. Targets of evacuated zones get no sends of any kind.
open_targets
FindOpenTargets(const proxy_services& aServices,
                const std::string& aService,
                int aPriority,
                const permit_scope& aScope,
                steady_time aNow)
{
  open_targets open;
  const auto cold = ColdLimitOf(aServices, aService);
  for (const auto* entry : aServices.mView.mTargets.Ready(aService)) {
    if (aServices.mView.mEvacuations.IsEvacuated(entry->mAvailabilityZone)) {
      open.mIsAnyEvacuated = true;
      continue;
    }
    const auto run = RunOf(*entry);
    const auto& limits = aServices.mLimits;
    const auto limit = LimitOf(aServices, cold, *entry, aNow);
    const bool isLeftOut =
      !MayBeAsked(aServices, limit, *entry, aPriority, aScope, aNow);
    open.mIsAnyFree = open.mIsAnyFree || !limit;
    if (isLeftOut) {
      open.mIsAnyLeftOut = true;
      open.mTimeToPermit =
        std::min(open.mTimeToPermit, limits.TimeToPermit(run, aPriority, aNow));
      continue;
    }
    open.mEntries.push_back(entry);
    open.mCandidates.push_back({ entry->mId,
                                 entry->mAvailabilityZone,
                                 entry->mSlots,
                                 cold.mRate > 0
                                   ? aNow < entry->mColdUntil
                                   : entry->mColdRemaining > duration(0) });
  }
  return open;
}

/// True when the target still is what it was before a reply was awaited, and
/// its zone has not been evacuated meanwhile.
bool
IsStillReady(const proxy_services& aServices, const target_entry& aTarget)
{
  const auto* entry = aServices.mView.mTargets.Find(aTarget.mId);
  return entry != nullptr && entry->mPhase == target_phase::Ready &&
         entry->mStartedAtMs == aTarget.mStartedAtMs &&
         entry->mService == aTarget.mService &&
         entry->mAddress == aTarget.mAddress &&
         !aServices.mView.mEvacuations.IsEvacuated(entry->mAvailabilityZone);
}

bool
GetPermit(proxy_services& aServices,
          const target_entry& aTarget,
          const send_limit& aLimit,
          int aPriority,
          yield_context aYield)
{
  const auto permit =
    aServices.mOwners.TakeSendPermit(aTarget.mId, aLimit, aPriority, aYield);
  const auto now = aServices.mScheduler.Now();
  const auto run = RunOf(aTarget);
  const char* decision = "no_reply";
  if (permit) {
    decision = permit->mIsGranted ? "granted" : "refused";
    aServices.mLimits.OnOwnerReply(run, now);
  }
  aServices.mMetrics
    .Counter("cowslipline_send_permits_total{decision=\"" +
             std::string(decision) + "\"}")
    .Add();
  if (permit && permit->mIsGranted) {
    return true;
  }
  aServices.mLimits.OnRefused(
    run, aPriority, permit ? permit->mRetryAfter : kUnansweredRetry, now);
  return false;
}

target_selection
NoTarget(refusal_cause aCause, const open_targets& aOpen)
{
  target_selection none;
  none.mCause = aCause;
  if (aCause == refusal_cause::TargetsLimited) {
    none.mTimeToPermit = aOpen.mTimeToPermit;
  }
  return none;
}

/// True when a target that another instance has lent may be sent to.
bool
MaySendTo(const proxy_services& aServices,
          const send_request& aRequest,
          const target_entry& aTarget,
          const permit_scope& aScope)
{
  const auto& tried = aRequest.mPlacement.mTried;
  const auto now = aServices.mScheduler.Now();
  return aTarget.mPhase == target_phase::Ready &&
         aTarget.mService == aRequest.mService &&
         !aServices.mView.mEvacuations.IsEvacuated(aTarget.mAvailabilityZone) &&
         std::find(tried.begin(), tried.end(), aTarget.mId) == tried.end() &&
         MayBeAsked(aServices,
                    LimitOf(aServices,
                            ColdLimitOf(aServices, aRequest.mService),
                            aTarget,
                            now),
                    aTarget,
                    aRequest.mPriority,
                    aScope,
                    now);
}

/// Chooses the target, without a permit. Waits for the replies of the
/// instances that lend slots, if slots are lent for the service.
target_selection
ChooseTarget(proxy_services& aServices,
             const send_request& aRequest,
             open_targets& aOpen,
             const permit_scope& aScope,
             yield_context aYield)
{
  target_selection selection;
  if (aServices.mSlots.AreLentFor(aOpen.mCandidates)) {
    auto slot = aServices.mSlots.Borrow({ aRequest.mService,
                                          aRequest.mPlacement,
                                          aRequest.mPriority,
                                          aScope.mMayAsk,
                                          aRequest.mTimeLeft },
                                        aOpen.mCandidates,
                                        aYield);
    const auto* entry =
      slot ? aServices.mView.mTargets.Find(slot->Target()) : nullptr;
    if (entry != nullptr && MaySendTo(aServices, aRequest, *entry, aScope)) {
      selection.mTarget = *entry;
      selection.mSlot = std::move(*slot);
      return selection;
    }
    // The directory may have changed while replies were awaited.
    aOpen = FindOpenTargets(aServices,
                            aRequest.mService,
                            aRequest.mPriority,
                            aScope,
                            aServices.mScheduler.Now());
  }
  const auto chosen = aServices.mChooser.Choose(aOpen.mCandidates,
                                                aRequest.mPlacement,
                                                aServices.mEvidence,
                                                aServices.mScheduler.Now());
  if (!chosen) {
    return NoTarget(aOpen.mIsAnyLeftOut ? refusal_cause::TargetsLimited
                                        : refusal_cause::NoTarget,
                    aOpen);
  }
  // A copy: the directory may change while a reply is awaited.
  selection.mTarget = *aOpen.mEntries[*chosen];
  return selection;
}

} // namespace

std::vector<placement_candidate>
FindCandidates(const proxy_services& aServices, const slot_query& aQuery)
{
  return FindOpenTargets(aServices,
                         aQuery.mService,
                         aQuery.mPriority,
                         { aQuery.mMayUseLimited, aQuery.mMayUseLimited },
                         aServices.mScheduler.Now())
    .mCandidates;
}

target_selection
SelectTarget(proxy_services& aServices,
             const send_request& aRequest,
             yield_context aYield)
{
  bool isColdRefused = false;
  for (int asked = 0;; ++asked) {
    const auto now = aServices.mScheduler.Now();
    const bool mayAsk = !aRequest.mIsHedge && asked < kMaxPermitRequests;
    const permit_scope scope{ mayAsk, mayAsk && !isColdRefused };
    auto open = FindOpenTargets(
      aServices, aRequest.mService, aRequest.mPriority, scope, now);
    if (open.mIsAnyEvacuated && !open.mIsAnyLeftOut &&
        open.mCandidates.empty()) {
      return NoTarget(refusal_cause::TargetsEvacuated, open);
    }
    if (open.mIsAnyLeftOut && open.mCandidates.empty()) {
      return NoTarget(refusal_cause::TargetsLimited, open);
    }
    if (load_balancer::AreAllFull(open.mCandidates, aServices.mEvidence, now)) {
      return NoTarget(refusal_cause::TargetsFull, open);
    }
    auto selection = ChooseTarget(aServices, aRequest, open, scope, aYield);
    if (!selection.mTarget) {
      return selection;
    }
    const auto& target = *selection.mTarget;
    const auto limit = LimitOf(
      aServices, ColdLimitOf(aServices, aRequest.mService), target, now);
    if (!limit ||
        (GetPermit(aServices, target, *limit, aRequest.mPriority, aYield) &&
         IsStillReady(aServices, target))) {
      return selection;
    }
    // A warm target costs no further round trip.
    isColdRefused =
      isColdRefused || (limit->mMostPerSecond > 0 && open.mIsAnyFree);
  }
}

} // namespace cowslipline
