#include "modules/health/target_selector.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// The own zone is preferred until its mean load exceeds that of the other
/// zones by this factor.
constexpr double kOwnZoneLoadFactor = 1.2;
/// Additional requests of a suspect target, in shares of one among equal
/// targets.
constexpr double kSuspectExtraShare = 2;

bool
IsExcluded(const excluded_targets& aExcluded, const target_state& aState)
{
  return std::any_of(
    aExcluded.begin(), aExcluded.end(), [&](const target_choice& aChoice) {
      return aChoice.mTargetName == aState.mName;
    });
}

/// Mean latency in seconds of the targets with a known latency. 1 when there is
/// none: then only the ratios of the loads matter.
double
MeanLatencySeconds(const service_state& aState)
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
    suspect ? *suspect : PickLessLoaded(PreferOwnZone(std::move(candidates)));
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
  const auto typical = MeanLatencySeconds(aState);
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
  double localLoad = 0;
  double remoteLoad = 0;
  // When targets of the own zone are in slow start, part of its traffic must go
  // to other zones.
  double localWeight = 0;
  std::size_t localCount = 0;
  for (const auto& one : aCandidates) {
    (one.mIsLocal ? localLoad : remoteLoad) += one.mLoad;
    localWeight += one.mIsLocal ? one.mWeight : 0;
    localCount += one.mIsLocal ? 1 : 0;
  }
  const auto remoteCount = aCandidates.size() - localCount;
  if (localCount == 0 || remoteCount == 0) {
    return aCandidates;
  }
  const double localMean = localLoad / static_cast<double>(localCount);
  const double remoteMean = remoteLoad / static_cast<double>(remoteCount);
  const bool isTooLoaded = localMean > remoteMean * kOwnZoneLoadFactor;
  if (isTooLoaded ||
      mRandom.Unit() >= localWeight / static_cast<double>(localCount)) {
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
  // Targets in slow start get no additional requests.
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
target_selector::DrawByWeight(const std::vector<candidate>& aCandidates)
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
target_selector::PickLessLoaded(const std::vector<candidate>& aCandidates)
{
  if (aCandidates.size() == 1) {
    return aCandidates.front().mTarget;
  }
  const auto first = DrawByWeight(aCandidates);
  auto others = aCandidates;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(first));
  const auto& left = aCandidates[first];
  const auto& right = others[DrawByWeight(others)];
  // A target in slow start has little load and would always be picked, so
  // compare loads only when both have full weight.
  const bool isInSlowStart = left.mWeight < 1 || right.mWeight < 1;
  return isInSlowStart || left.mLoad <= right.mLoad ? left.mTarget
                                                    : right.mTarget;
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
  if (state->mBreaker.Record(aReport.mOutcome, now)) {
    LogBreakerOpened(service, *state);
    state->mInUseSince =
      std::max(state->mInUseSince, state->mBreaker.OpenUntil());
  }
  if (mObserver) {
    mObserver(service, *state, aReport);
  }
}

void
target_selector::LogBreakerOpened(const service_state& aService,
                                  const target_state& aTarget)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTarget.mBreaker.OpenUntil() - mScheduler->Now());
  ejection_record record;
  record.mTime = mScheduler->WallNow();
  record.mService = aService.mName;
  record.mTarget = aTarget.mName;
  record.mAction = ejection_action::BreakerOpened;
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
