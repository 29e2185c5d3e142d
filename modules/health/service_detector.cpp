#include "modules/health/service_detector.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

constexpr std::array<ejection_reason, kFaultKinds> kReasons = {
  ejection_reason::Errors,
  ejection_reason::ConnectFailures,
  ejection_reason::Slow,
};

/// Parameters of the detector for each reason, in the order of kReasons.
constexpr std::array<fault_rates, kFaultKinds> kRates = { {
  { 0.001, 0.1, 18.8, 6, 0.1 },
  // A target that refuses connections refuses all of them, so a single success
  // of another instance indicates a faulty path.
  { 0.001, 0.5, 20, 2, 0.95 },
  { 0.01, 0.5, 12, 6, 0.3 },
} };

/// Weight of the configured healthy rate against observed trials, in trials.
constexpr double kPriorTrials = 1000;
constexpr duration kRecentHalfLife = std::chrono::seconds(2);
constexpr duration kBaselineHalfLife = std::chrono::minutes(5);
/// A fault is shared when the other targets fail at this share of the target's
/// rate or more, but at least at kMinSharedRate.
constexpr double kSharedRateShare = 0.25;
constexpr double kMinSharedRate = 0.05;
/// An ejection younger than this is withdrawn when the fault turns out to be
/// shared: the target was only the first to reach the threshold.
constexpr duration kMaxWithdrawalAge = std::chrono::seconds(3);
/// Share of the threshold at which a target becomes suspect.
constexpr double kSuspectThresholdShare = 0.25;
/// Interval between notices of the same suspect: half of the time for which
/// instances keep it suspect.
constexpr duration kSuspectNoticeInterval = kSuspectTime / 2;
constexpr duration kEvidenceRequestInterval = std::chrono::seconds(1);
constexpr duration kSlowBucketInterval = std::chrono::milliseconds(250);
/// Number of latency buckets that make a factor of three.
const std::size_t kSlowBuckets =
  static_cast<std::size_t>(std::ceil(std::log2(3.0) * kBucketsPerDoubling));

constexpr duration kFirstEjection = std::chrono::seconds(5);
constexpr duration kMaxEjection = std::chrono::seconds(300);
constexpr duration kRepeatWithin = std::chrono::minutes(5);
constexpr std::uint32_t kMaxRepeatCount = 6;

std::size_t
IndexOf(ejection_reason aReason)
{
  return static_cast<std::size_t>(aReason);
}

} // namespace

service_detector::service_detector(std::uint32_t aService,
                                   std::uint64_t aSequence)
  : mService(aService)
  , mSequence(aSequence)
{
}

service_detector::monitored_target&
service_detector::FindOrAddTarget(std::uint32_t aTarget)
{
  auto& one = mTargets[aTarget];
  if (one.mRecent.empty()) {
    one.mRecent.assign(kFaultKinds, decayed_counts(kRecentHalfLife));
    one.mBaseline.assign(kFaultKinds, decayed_counts(kBaselineHalfLife));
  }
  return one;
}

std::vector<ejection>
service_detector::Add(const instance_name& aFrom,
                      const std::string& aZone,
                      const service_evidence& aEvidence,
                      steady_time aNow)
{
  mLastEvidence = aNow;
  std::vector<ejection> decisions;
  for (const auto& one : aEvidence.mTargets) {
    auto& monitored = FindOrAddTarget(one.mTarget);
    RemoveExpired(monitored, aNow);
    // Attempts that began before the ejection may end after it; ignore them.
    if (!IsEjectedFor(monitored, aFrom, aZone)) {
      AddCounts(aFrom, aZone, one, aNow);
      Decide(one.mTarget, aNow, decisions);
      CheckSuspect(one.mTarget, aNow);
    }
  }
  return decisions;
}

void
service_detector::RemoveExpired(monitored_target& aTarget, steady_time aNow)
{
  auto& active = aTarget.mActive;
  active.erase(std::remove_if(active.begin(),
                              active.end(),
                              [&](const active_ejection& aOne) {
                                return aOne.mExpires <= aNow;
                              }),
               active.end());
}

bool
service_detector::IsEjectedFor(const monitored_target& aTarget,
                               const instance_name& aFrom,
                               const std::string& aZone) const
{
  return std::any_of(aTarget.mActive.begin(),
                     aTarget.mActive.end(),
                     [&](const active_ejection& aOne) {
                       return aOne.mEjection.mScope.Includes(aFrom, aZone);
                     });
}

void
service_detector::AddCounts(const instance_name& aFrom,
                            const std::string& aZone,
                            const target_evidence& aEvidence,
                            steady_time aNow)
{
  auto& monitored = FindOrAddTarget(aEvidence.mTarget);
  const auto& counts = aEvidence.mCounts;
  const std::array<std::uint32_t, kFaultKinds> trials = {
    counts.mSuccesses + counts.mFailures, counts.Attempts(), counts.mSuccesses
  };
  const std::array<std::uint32_t, kFaultKinds> faults = {
    counts.mFailures,
    counts.mConnectFailures,
    CountSlow(aEvidence.mTarget, counts, aNow)
  };
  for (const auto reason : kReasons) {
    const auto kind = IndexOf(reason);
    const auto rates = RatesOf(aEvidence.mTarget, reason, aNow);
    auto& detector = monitored.mFaultDetectors.at(kind);
    // A target with a raised score is not a sample of healthy behaviour.
    if (detector.Score() < rates.mThreshold / 2) {
      monitored.mBaseline[kind].Add(trials.at(kind), faults.at(kind), aNow);
    }
    monitored.mRecent[kind].Add(trials.at(kind), faults.at(kind), aNow);
    detector.Add(
      { aFrom, aZone, trials.at(kind), faults.at(kind), counts.mLastSuccess },
      rates,
      aNow);
  }
  monitored.mLatencies.Add(counts, aNow);
}

std::uint32_t
service_detector::CountSlow(std::uint32_t aTarget,
                            const evidence_counts& aCounts,
                            steady_time aNow)
{
  auto& monitored = FindOrAddTarget(aTarget);
  if (aNow - monitored.mSlowBucketUpdated >= kSlowBucketInterval) {
    histogram_weights others{};
    for (const auto& [name, one] : mTargets) {
      if (name != aTarget) {
        one.mLatencies.AddTo(others);
      }
    }
    const auto median = MedianBucket(others);
    monitored.mSlowBucket = median ? *median + kSlowBuckets : kLatencyBuckets;
    monitored.mSlowBucketUpdated = aNow;
  }
  std::uint32_t slow = 0;
  for (auto i = monitored.mSlowBucket; i < kLatencyBuckets; ++i) {
    slow += aCounts.mLatencies.at(i);
  }
  return slow;
}

fault_rates
service_detector::RatesOf(std::uint32_t aTarget,
                          ejection_reason aReason,
                          steady_time aNow) const
{
  const auto kind = IndexOf(aReason);
  auto rates = kRates.at(kind);
  double trials = kPriorTrials;
  double faults = kPriorTrials * rates.mBaseline;
  for (const auto& [name, one] : mTargets) {
    if (name != aTarget) {
      trials += one.mBaseline[kind].Trials(aNow);
      faults += one.mBaseline[kind].Faults(aNow);
    }
  }
  rates.mBaseline = std::max(rates.mBaseline, faults / trials);
  // A service that often fails by itself requires a rate three times as high.
  rates.mFaulty = std::min(0.95, std::max(rates.mFaulty, rates.mBaseline * 3));
  rates.mBaseline = std::min(rates.mBaseline, rates.mFaulty / 2);
  return rates;
}

bool
service_detector::IsSharedFault(std::uint32_t aTarget,
                                ejection_reason aReason,
                                steady_time aNow) const
{
  const auto kind = IndexOf(aReason);
  const auto& own = mTargets.at(aTarget).mRecent[kind];
  const double ownRate = own.Faults(aNow) / std::max(own.Trials(aNow), 1e-9);
  const double lowest = std::max(kMinSharedRate, ownRate * kSharedRateShare);
  double trials = 0;
  double faults = 0;
  std::size_t others = 0;
  std::size_t failing = 0;
  for (const auto& [name, one] : mTargets) {
    // A target without recent requests is out of use or removed.
    if (name == aTarget || one.mRecent[kind].Trials(aNow) < 1) {
      continue;
    }
    ++others;
    trials += one.mRecent[kind].Trials(aNow);
    faults += one.mRecent[kind].Faults(aNow);
    failing += one.mRecent[kind].Faults(aNow) >= 0.5 ? 1 : 0;
  }
  return failing * 2 > others && faults >= trials * lowest;
}

void
service_detector::CheckSuspect(std::uint32_t aTarget, steady_time aNow)
{
  auto& monitored = mTargets.at(aTarget);
  if (!monitored.mActive.empty() ||
      aNow - monitored.mSuspectNoticeSent < kSuspectNoticeInterval) {
    return;
  }
  // Slow targets are detected fast enough without more requests.
  for (const auto reason :
       { ejection_reason::Errors, ejection_reason::ConnectFailures }) {
    const auto threshold = kRates.at(IndexOf(reason)).mThreshold;
    if (monitored.mFaultDetectors.at(IndexOf(reason)).Score() >=
          threshold * kSuspectThresholdShare &&
        !IsSharedFault(aTarget, reason, aNow)) {
      monitored.mSuspectNoticeSent = aNow;
      mSuspects.push_back(aTarget);
      return;
    }
  }
}

bool
service_detector::HasFreshEvidence(monitored_target& aTarget, steady_time aNow)
{
  if (aNow - aTarget.mEvidenceRequested > kEvidenceRequestInterval) {
    aTarget.mEvidenceRequested = aNow;
    mNeedsEvidence = true;
  }
  return aNow - aTarget.mEvidenceRequested >= kEvidenceReplyTime;
}

std::vector<ejection>
service_detector::DecideAll(steady_time aNow)
{
  std::vector<ejection> decisions;
  for (const auto& [name, one] : mTargets) {
    Decide(name, aNow, decisions);
  }
  return decisions;
}

void
service_detector::Decide(std::uint32_t aTarget,
                         steady_time aNow,
                         std::vector<ejection>& aDecisions)
{
  for (const auto reason : kReasons) {
    const auto rates = RatesOf(aTarget, reason, aNow);
    const auto& detector =
      mTargets.at(aTarget).mFaultDetectors.at(IndexOf(reason));
    if (detector.Score() < rates.mThreshold) {
      continue;
    }
    if (IsSharedFault(aTarget, reason, aNow)) {
      Withdraw(reason, aNow, aDecisions);
      continue;
    }
    if (!HasFreshEvidence(mTargets.at(aTarget), aNow)) {
      return;
    }
    if (auto scope = detector.DecideScope(rates)) {
      aDecisions.push_back(Eject(aTarget, reason, std::move(*scope), aNow));
      return;
    }
  }
}

ejection
service_detector::Eject(std::uint32_t aTarget,
                        ejection_reason aReason,
                        ejection_scope aScope,
                        steady_time aNow)
{
  auto& monitored = mTargets.at(aTarget);
  const bool isRepeat = monitored.mLastEjectionEnd != steady_time{} &&
                        aNow - monitored.mLastEjectionEnd < kRepeatWithin;
  monitored.mRepeatCount =
    isRepeat ? std::min(monitored.mRepeatCount + 1, kMaxRepeatCount) : 0;
  const auto length =
    std::min(kFirstEjection * (1 << monitored.mRepeatCount), kMaxEjection);
  monitored.mLastEjectionEnd = aNow + length;

  ejection made;
  made.mService = mService;
  made.mTarget = aTarget;
  made.mSequence = ++mSequence;
  made.mReason = aReason;
  made.mScope = std::move(aScope);
  made.mEvidence = monitored.mFaultDetectors.at(IndexOf(aReason)).Evidence();
  made.mSeverity =
    static_cast<double>(made.mEvidence.mFailures) /
    static_cast<double>(std::max<std::uint64_t>(1, made.mEvidence.mRequests));
  made.mTimeLeft =
    std::chrono::duration_cast<std::chrono::milliseconds>(length);
  monitored.mActive.push_back({ made, aNow + length });
  for (auto& detector : monitored.mFaultDetectors) {
    detector.Reset(0);
  }
  return made;
}

void
service_detector::Withdraw(ejection_reason aReason,
                           steady_time aNow,
                           std::vector<ejection>& aDecisions)
{
  for (auto& [name, one] : mTargets) {
    for (auto& active : one.mActive) {
      const auto age = active.mEjection.mTimeLeft - (active.mExpires - aNow);
      if (active.mEjection.mReason == aReason && age < kMaxWithdrawalAge &&
          active.mExpires > aNow) {
        active.mExpires = aNow;
        aDecisions.push_back(active.mEjection);
        aDecisions.back().mTimeLeft = std::chrono::milliseconds(0);
      }
    }
  }
}

std::vector<ejection>
service_detector::Active(steady_time aNow)
{
  std::vector<ejection> found;
  for (auto& [name, one] : mTargets) {
    RemoveExpired(one, aNow);
    for (const auto& active : one.mActive) {
      found.push_back(active.mEjection);
      found.back().mTimeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(active.mExpires -
                                                              aNow);
    }
  }
  return found;
}

} // namespace cowslipline
