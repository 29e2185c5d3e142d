#include "modules/health/cusum_detector.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

/// Limit of the score as a multiple of the threshold. While all targets share a
/// fault nothing is ejected; a higher score would delay the recovery
/// afterwards.
constexpr double kMaxScoreFactor = 1.5;

/// Log-likelihood of the counts at their observed rate, in nats.
double
LogLikelihood(double aTrials, double aFaults)
{
  if (aFaults <= 0 || aFaults >= aTrials) {
    return 0;
  }
  const double rate = aFaults / aTrials;
  return aFaults * std::log(rate) + (aTrials - aFaults) * std::log(1 - rate);
}

} // namespace

double
cusum_detector::LogLikelihoodRatio(double aTrials,
                                   double aFaults,
                                   const fault_rates& aRates) const
{
  return aFaults * std::log(aRates.mFaulty / aRates.mBaseline) +
         (aTrials - aFaults) *
           std::log((1 - aRates.mFaulty) / (1 - aRates.mBaseline));
}

void
cusum_detector::Add(const observation& aObservation,
                    const fault_rates& aRates,
                    steady_time aNow)
{
  if (mScore <= 0 && aObservation.mFaults == 0) {
    return;
  }
  if (mCounts.empty()) {
    mStarted = aNow;
  }
  // Successes from before the first fault may be reported late; they are no
  // evidence that the path of their instance is healthy.
  if (aObservation.mFaults > 0 || aObservation.mLastSuccess > mStarted) {
    auto& one = mCounts[aObservation.mInstance];
    one.mZone = aObservation.mZone;
    one.mTrials += aObservation.mTrials;
    one.mFaults += aObservation.mFaults;
  }
  mScore +=
    LogLikelihoodRatio(aObservation.mTrials, aObservation.mFaults, aRates);
  mScore = std::min(mScore, aRates.mThreshold * kMaxScoreFactor);
  if (mScore <= 0) {
    Reset(0);
  }
}

void
cusum_detector::Reset(double aScore)
{
  mScore = aScore;
  mCounts.clear();
}

cusum_detector::counts
cusum_detector::Total() const
{
  counts total;
  for (const auto& [name, one] : mCounts) {
    total.mTrials += one.mTrials;
    total.mFaults += one.mFaults;
  }
  return total;
}

ejection_evidence
cusum_detector::Evidence() const
{
  const auto total = Total();
  ejection_evidence evidence;
  evidence.mRequests = static_cast<std::uint64_t>(total.mTrials);
  evidence.mFailures = static_cast<std::uint64_t>(total.mFaults);
  evidence.mInstances = static_cast<std::uint32_t>(
    std::count_if(mCounts.begin(), mCounts.end(), [](const auto& aEntry) {
      return aEntry.second.mFaults > 0;
    }));
  evidence.mScore = mScore;
  return evidence;
}

std::optional<ejection_scope>
cusum_detector::DecideScope(const fault_rates& aRates) const
{
  ejection_scope scope;
  if (const auto instance = FindFailingInstance(aRates)) {
    scope.mInstance = *instance;
    return scope;
  }
  if (Evidence().mInstances < 2 && mCounts.size() > 1) {
    return std::nullopt;
  }
  scope.mZones = FindFailingZones(aRates);
  return scope;
}

double
cusum_detector::PathLikelihoodRatio(const counts& aInside,
                                    const fault_rates& aRates) const
{
  const auto total = Total();
  const double trials = total.mTrials - aInside.mTrials;
  const double faults = total.mFaults - aInside.mFaults;
  // The other paths must be healthy, not only better than these.
  const double othersHealthy =
    faults * std::log(aRates.mBaseline) +
    (trials - faults) * std::log(1 - aRates.mBaseline);
  // A faulty target fails on every path at mMinRatePerPath or more.
  const double sharedRate =
    std::clamp(total.mFaults / total.mTrials, aRates.mMinRatePerPath, 1 - 1e-9);
  const double targetFaulty =
    total.mFaults * std::log(sharedRate) +
    (total.mTrials - total.mFaults) * std::log(1 - sharedRate);
  return LogLikelihood(aInside.mTrials, aInside.mFaults) + othersHealthy -
         targetFaulty;
}

std::optional<instance_name>
cusum_detector::FindFailingInstance(const fault_rates& aRates) const
{
  for (const auto& [name, one] : mCounts) {
    if (one.mFaults > 0 && one.mTrials < Total().mTrials &&
        PathLikelihoodRatio(one, aRates) > aRates.mPathThreshold) {
      return name;
    }
  }
  return std::nullopt;
}

std::vector<std::string>
cusum_detector::FindFailingZones(const fault_rates& aRates) const
{
  std::map<std::string, counts> zones;
  for (const auto& [name, one] : mCounts) {
    zones[one.mZone].mTrials += one.mTrials;
    zones[one.mZone].mFaults += one.mFaults;
  }
  std::vector<std::pair<std::string, counts>> sorted(zones.begin(),
                                                     zones.end());
  std::sort(
    sorted.begin(), sorted.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mFaults * aRight.second.mTrials >
             aRight.second.mFaults * aLeft.second.mTrials;
    });
  double best = aRates.mPathThreshold;
  std::vector<std::string> failing;
  std::vector<std::string> names;
  counts inside;
  for (std::size_t i = 0; i + 1 < sorted.size(); ++i) {
    names.push_back(sorted[i].first);
    inside.mTrials += sorted[i].second.mTrials;
    inside.mFaults += sorted[i].second.mFaults;
    const double ratio = PathLikelihoodRatio(inside, aRates);
    if (ratio > best) {
      best = ratio;
      failing = names;
    }
  }
  return failing;
}

} // namespace cowslipline
