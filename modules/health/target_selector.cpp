#include "modules/health/target_selector.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// The own zone is preferred until it is this much more loaded than others.
constexpr double kOwnZoneLoadFactor = 1.2;
/// In shares of one target among equals.
constexpr double kSuspectExtraShare = 2;

bool
IsExcluded(const excluded_targets& aExcluded, const target_state& aState)
{
  return std::any_of(
    aExcluded.begin(), aExcluded.end(), [&](const target_choice& aChoice) {
      return aChoice.mTargetName == aState.mName;
    });
}

/// Mean latency of the targets that answered; only ratios matter when none
/// did.
double
TypicalSeconds(const service_state& aState)
{
  double sum = 0;
  int known = 0;
  for (const auto& one : aState.mTargets) {
    if (one->mLoad.LatencySeconds() > 0) {
      sum += one->mLoad.LatencySeconds();
      ++known;
    }
  }
  return known == 0 ? 1.0 : sum / known;
}

} // namespace

target_selector::target_selector(std::shared_ptr<scheduler> aScheduler,
                                 std::shared_ptr<membership> aMembership,
                                 std::shared_ptr<target_table> aTable,
                                 std::shared_ptr<ejection_log> aLog,
                                 std::shared_ptr<metrics> aMetrics,
                                 std::uint64_t aSeed)
  : mScheduler(std::move(aScheduler))
  , mMembership(std::move(aMembership))
  , mTable(std::move(aTable))
  , mLog(std::move(aLog))
  , mMetrics(std::move(aMetrics))
  , mRandom(aSeed)
{
}

result<target_choice>
target_selector::Choose(service_index aService,
                        const excluded_targets& aExcluded)
{
  auto* const state = mTable->Find(aService);
  if (state == nullptr) {
    return Fail(errc::NoTarget);
  }
  const auto& settings = mTable->SettingsOf(*state);
  const auto usage = EvaluateUsage(settings, *state, mScheduler->Now());
  auto candidates = FindCandidates(settings, *state, usage, aExcluded);
  if (candidates.empty()) {
    mMetrics->Counter("cowslipline_health_no_target_total").Add();
    return Fail(errc::NoTarget);
  }
  const auto isFull = [&](const candidate& aCandidate) {
    const auto& one = *state->mTargets[aCandidate.mTarget];
    return one.mInFlight >= one.mLimit.Value();
  };
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isFull),
                   candidates.end());
  if (candidates.empty()) {
    mMetrics->Counter("cowslipline_health_overloaded_total").Add();
    return Fail(errc::Overloaded);
  }
  const auto suspect = PickSuspect(candidates);
  const auto picked =
    suspect ? *suspect : PickByLoad(PreferOwnZone(std::move(candidates)));
  ++state->mTargets[picked]->mInFlight;
  return target_choice{ aService,
                        picked,
                        state->mName,
                        state->mTargets[picked]->mName,
                        mTable->Refresh() };
}

std::vector<target_selector::candidate>
target_selector::FindCandidates(const service& aSettings,
                                const service_state& aState,
                                const service_usage& aUsage,
                                const excluded_targets& aExcluded)
{
  const auto now = mScheduler->Now();
  const auto& zone = mMembership->Self().mAvailabilityZone;
  const auto typical = TypicalSeconds(aState);
  std::vector<candidate> candidates;
  for (target_index i = 0; i < aState.mTargets.size(); ++i) {
    const auto& state = *aState.mTargets[i];
    if (!aUsage.mIsInUse[i] || IsExcluded(aExcluded, state)) {
      continue;
    }
    candidates.push_back({ i,
                           state.mLoad.Score(state.mInFlight, typical, now),
                           state.WeightAt(now),
                           aSettings.mTargets[i].mAvailabilityZone == zone,
                           now < state.mSuspectUntil });
  }
  return candidates;
}

std::vector<target_selector::candidate>
target_selector::PreferOwnZone(std::vector<candidate> aCandidates)
{
  double local = 0;
  double remote = 0;
  // A zone whose targets are in slow start must not get all its traffic there.
  double localWeight = 0;
  std::size_t locals = 0;
  for (const auto& one : aCandidates) {
    (one.mIsLocal ? local : remote) += one.mLoad;
    localWeight += one.mIsLocal ? one.mWeight : 0;
    locals += one.mIsLocal ? 1 : 0;
  }
  const auto remotes = aCandidates.size() - locals;
  if (locals == 0 || remotes == 0) {
    return aCandidates;
  }
  const double localMean = local / static_cast<double>(locals);
  const double remoteMean = remote / static_cast<double>(remotes);
  const bool isTooLoaded = localMean > remoteMean * kOwnZoneLoadFactor;
  if (isTooLoaded ||
      mRandom.Unit() >= localWeight / static_cast<double>(locals)) {
    return aCandidates;
  }
  aCandidates.erase(std::remove_if(aCandidates.begin(),
                                   aCandidates.end(),
                                   [](const candidate& aCandidate) {
                                     return !aCandidate.mIsLocal;
                                   }),
                    aCandidates.end());
  return aCandidates;
}

std::optional<target_index>
target_selector::PickSuspect(const std::vector<candidate>& aCandidates)
{
  // Only for targets at full weight: a slow start must stay slow.
  for (const auto& one : aCandidates) {
    const double share =
      kSuspectExtraShare / static_cast<double>(aCandidates.size());
    if (one.mIsSuspect && one.mWeight >= 1 && mRandom.Unit() < share) {
      return one.mTarget;
    }
  }
  return std::nullopt;
}

std::size_t
target_selector::Draw(const std::vector<candidate>& aCandidates)
{
  double total = 0;
  for (const auto& one : aCandidates) {
    total += one.mWeight;
  }
  double left = mRandom.Unit() * total;
  for (std::size_t i = 0; i + 1 < aCandidates.size(); ++i) {
    left -= aCandidates[i].mWeight;
    if (left < 0) {
      return i;
    }
  }
  return aCandidates.size() - 1;
}

target_index
target_selector::PickByLoad(const std::vector<candidate>& aCandidates)
{
  if (aCandidates.size() == 1) {
    return aCandidates.front().mTarget;
  }
  const auto first = Draw(aCandidates);
  auto others = aCandidates;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(first));
  const auto& left = aCandidates[first];
  const auto& right = others[Draw(others)];
  // Least load would undo the slow start: an idle target always wins.
  const bool isRamping = left.mWeight < 1 || right.mWeight < 1;
  return isRamping || left.mLoad <= right.mLoad ? left.mTarget : right.mTarget;
}

target_state*
target_selector::EndAttempt(const target_choice& aChoice)
{
  auto* const service = mTable->FindByName(aChoice.mServiceName);
  auto* const state =
    service == nullptr ? nullptr : service->FindTarget(aChoice.mTargetName);
  if (state != nullptr && state->mInFlight > 0) {
    --state->mInFlight;
  }
  return state;
}

void
target_selector::Report(const attempt_report& aReport)
{
  auto* const state = EndAttempt(aReport.mChoice);
  if (state == nullptr) {
    return;
  }
  auto& service = *mTable->FindByName(aReport.mChoice.mServiceName);
  const auto now = mScheduler->Now();
  const auto slots = mTable->SettingsOf(service).mSlotsPerTarget;
  state->mLimit.Record(aReport.mOutcome, slots);
  state->mLoad.Record(aReport.mOutcome, aReport.mLatency, now);
  if (state->mHold.Record(aReport.mOutcome, now)) {
    RecordHold(service, *state);
    state->mInUseSince = std::max(state->mInUseSince, state->mHold.Until());
  }
  if (mObserver) {
    mObserver(service, *state, aReport);
  }
}

void
target_selector::RecordHold(const service_state& aService,
                            const target_state& aTarget)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTarget.mHold.Until() - mScheduler->Now());
  ejection_record record;
  record.mTime = mScheduler->WallNow();
  record.mService = aService.mName;
  record.mTarget = aTarget.mName;
  record.mAction = ejection_action::Held;
  record.mReason = "consecutive hard failures, this instance";
  record.mDecidedBy = mMembership->Self().mName;
  record.mReturns = record.mTime + left.count();
  mLog->Add(std::move(record));
  mMetrics->Counter("cowslipline_health_local_holds_total").Add();
}

void
target_selector::Abandon(const target_choice& aChoice)
{
  EndAttempt(aChoice);
}

std::uint32_t
target_selector::CapacityOf(service_index aService)
{
  const auto* const state = mTable->Find(aService);
  if (state == nullptr) {
    return 0;
  }
  const auto usage =
    EvaluateUsage(mTable->SettingsOf(*state), *state, mScheduler->Now());
  std::uint32_t capacity = 0;
  for (std::size_t i = 0; i < state->mTargets.size(); ++i) {
    capacity += usage.mIsInUse[i] ? state->mTargets[i]->mLimit.Value() : 0;
  }
  return capacity;
}

bool
target_selector::IsInUse(std::string_view aService, std::string_view aTarget)
{
  const auto* const state = mTable->FindByName(aService);
  if (state == nullptr) {
    return false;
  }
  const auto usage =
    EvaluateUsage(mTable->SettingsOf(*state), *state, mScheduler->Now());
  for (std::size_t i = 0; i < state->mTargets.size(); ++i) {
    if (state->mTargets[i]->mName == aTarget) {
      return usage.mIsInUse[i];
    }
  }
  return false;
}

std::vector<ejection_record>
target_selector::Explain(std::string_view aService,
                         std::string_view aTarget) const
{
  return mLog->Explain(aService, aTarget);
}

} // namespace cowslipline
