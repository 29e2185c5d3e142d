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

/// Rates that each test decides between, by reason.
constexpr std::array<fault_rates, kFaultKinds> kRates = { {
  { 0.001, 0.1, 18.8, 6, 0.1 },
  // A target that refuses connections refuses all: a single success elsewhere
  // points at the path.
  { 0.001, 0.5, 20, 2, 0.95 },
  { 0.01, 0.5, 12, 6, 0.3 },
} };

/// Trials that the lowest ordinary rate counts for while nothing is known.
constexpr double kPriorTrials = 1000;
constexpr duration kRecentHalfLife = std::chrono::seconds(2);
constexpr duration kOrdinaryHalfLife = std::chrono::minutes(5);
/// A fault is shared when the other targets fail at this share of the rate.
constexpr double kSharedShare = 0.25;
constexpr double kSharedLowestRate = 0.05;
/// An ejection that is this young is withdrawn when the fault turns out to be
/// shared: the first target to trip was only the unluckiest.
constexpr duration kWithdrawAge = std::chrono::seconds(3);
/// Share of the threshold from which a target is suspect.
constexpr double kSuspectShare = 0.25;
/// Half of the time for which instances keep a target suspect.
constexpr duration kSuspectInterval = kSuspectTime / 2;
constexpr duration kQuestionAge = std::chrono::seconds(1);
constexpr duration kSlowBucketAge = std::chrono::milliseconds(250);
/// Buckets that make three times the median.
const std::size_t kSlowBuckets =
  static_cast<std::size_t>(std::ceil(std::log2(3.0) * kBucketsPerDoubling));

constexpr duration kFirstEjection = std::chrono::seconds(5);
constexpr duration kLongestEjection = std::chrono::seconds(300);
constexpr duration kRepeatWithin = std::chrono::minutes(5);
constexpr std::uint32_t kLargestRepeats = 6;

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

service_detector::watched_target&
service_detector::WatchedOf(std::uint32_t aTarget)
{
  auto& one = mTargets[aTarget];
  if (one.mRecent.empty()) {
    one.mRecent.assign(kFaultKinds, decayed_share(kRecentHalfLife));
    one.mOrdinary.assign(kFaultKinds, decayed_share(kOrdinaryHalfLife));
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
    auto& watched = WatchedOf(one.mTarget);
    Expire(watched, aNow);
    // Attempts from before the ejection end after it.
    if (!IsCovered(watched, aFrom, aZone)) {
      AddCounts(aFrom, aZone, one, aNow);
      Decide(one.mTarget, aNow, decisions);
      Suspect(one.mTarget, aNow);
    }
  }
  return decisions;
}

void
service_detector::Expire(watched_target& aTarget, steady_time aNow)
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
service_detector::IsCovered(const watched_target& aTarget,
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
  auto& watched = WatchedOf(aEvidence.mTarget);
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
    auto& test = watched.mTests.at(kind);
    // What a target does while it is under suspicion is not ordinary.
    if (test.Score() < rates.mThreshold / 2) {
      watched.mOrdinary[kind].Add(trials.at(kind), faults.at(kind), aNow);
    }
    watched.mRecent[kind].Add(trials.at(kind), faults.at(kind), aNow);
    test.Add(
      { aFrom, aZone, trials.at(kind), faults.at(kind), counts.mLastSuccess },
      rates,
      aNow);
  }
  watched.mLatencies.Add(counts, aNow);
}

std::uint32_t
service_detector::CountSlow(std::uint32_t aTarget,
                            const evidence_counts& aCounts,
                            steady_time aNow)
{
  auto& watched = WatchedOf(aTarget);
  if (aNow - watched.mSlowBucketFrom >= kSlowBucketAge) {
    latency_weights others{};
    for (const auto& [name, one] : mTargets) {
      if (name != aTarget) {
        one.mLatencies.AddTo(others);
      }
    }
    const auto median = MedianBucket(others);
    watched.mSlowBucket = median ? *median + kSlowBuckets : kLatencyBuckets;
    watched.mSlowBucketFrom = aNow;
  }
  std::uint32_t slow = 0;
  for (auto i = watched.mSlowBucket; i < kLatencyBuckets; ++i) {
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
  double faults = kPriorTrials * rates.mOrdinary;
  for (const auto& [name, one] : mTargets) {
    if (name != aTarget) {
      trials += one.mOrdinary[kind].Trials(aNow);
      faults += one.mOrdinary[kind].Faults(aNow);
    }
  }
  rates.mOrdinary = std::max(rates.mOrdinary, faults / trials);
  // A service that fails often by itself needs a clear difference.
  rates.mFaulty = std::min(0.95, std::max(rates.mFaulty, rates.mOrdinary * 3));
  rates.mOrdinary = std::min(rates.mOrdinary, rates.mFaulty / 2);
  return rates;
}

bool
service_detector::IsShared(std::uint32_t aTarget,
                           ejection_reason aReason,
                           steady_time aNow) const
{
  const auto kind = IndexOf(aReason);
  const auto& own = mTargets.at(aTarget).mRecent[kind];
  const double ownRate = own.Faults(aNow) / std::max(own.Trials(aNow), 1e-9);
  const double lowest = std::max(kSharedLowestRate, ownRate * kSharedShare);
  double trials = 0;
  double faults = 0;
  std::size_t others = 0;
  std::size_t failing = 0;
  for (const auto& [name, one] : mTargets) {
    // Without recent requests a target is out of use or gone.
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
service_detector::Suspect(std::uint32_t aTarget, steady_time aNow)
{
  auto& watched = mTargets.at(aTarget);
  if (!watched.mActive.empty() ||
      aNow - watched.mSuspected < kSuspectInterval) {
    return;
  }
  // Slow targets are found fast enough without more requests.
  for (const auto reason :
       { ejection_reason::Errors, ejection_reason::ConnectFailures }) {
    const auto threshold = kRates.at(IndexOf(reason)).mThreshold;
    if (watched.mTests.at(IndexOf(reason)).Score() >=
          threshold * kSuspectShare &&
        !IsShared(aTarget, reason, aNow)) {
      watched.mSuspected = aNow;
      mSuspects.push_back(aTarget);
      return;
    }
  }
}

bool
service_detector::IsConfirmed(watched_target& aTarget, steady_time aNow)
{
  if (aNow - aTarget.mAsked > kQuestionAge) {
    aTarget.mAsked = aNow;
    mHasQuestion = true;
  }
  return aNow - aTarget.mAsked >= kAnswerTime;
}

std::vector<ejection>
service_detector::Review(steady_time aNow)
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
    const auto& test = mTargets.at(aTarget).mTests.at(IndexOf(reason));
    if (test.Score() < rates.mThreshold) {
      continue;
    }
    if (IsShared(aTarget, reason, aNow)) {
      Withdraw(reason, aNow, aDecisions);
      continue;
    }
    if (!IsConfirmed(mTargets.at(aTarget), aNow)) {
      return;
    }
    if (auto scope = test.DecideScope(rates)) {
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
  auto& watched = mTargets.at(aTarget);
  const bool isRepeat = watched.mLastEnd != steady_time{} &&
                        aNow - watched.mLastEnd < kRepeatWithin;
  watched.mRepeats =
    isRepeat ? std::min(watched.mRepeats + 1, kLargestRepeats) : 0;
  const auto length =
    std::min(kFirstEjection * (1 << watched.mRepeats), kLongestEjection);
  watched.mLastEnd = aNow + length;

  ejection made;
  made.mService = mService;
  made.mTarget = aTarget;
  made.mSequence = ++mSequence;
  made.mReason = aReason;
  made.mScope = std::move(aScope);
  made.mEvidence = watched.mTests.at(IndexOf(aReason)).Evidence();
  made.mSeverity =
    static_cast<double>(made.mEvidence.mFailures) /
    static_cast<double>(std::max<std::uint64_t>(1, made.mEvidence.mRequests));
  made.mTimeLeft =
    std::chrono::duration_cast<std::chrono::milliseconds>(length);
  watched.mActive.push_back({ made, aNow + length });
  for (auto& test : watched.mTests) {
    test.Reset(0);
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
      if (active.mEjection.mReason == aReason && age < kWithdrawAge &&
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
    Expire(one, aNow);
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
