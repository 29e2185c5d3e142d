#include "modules/health/fault_test.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

/// A higher score would only delay the recovery of a shared fault.
constexpr double kLargestScoreFactor = 1.5;
/// Log-likelihood of the counts at their own rate.
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
fault_test::ScoreOf(double aTrials,
                    double aFaults,
                    const fault_rates& aRates) const
{
  return aFaults * std::log(aRates.mFaulty / aRates.mOrdinary) +
         (aTrials - aFaults) *
           std::log((1 - aRates.mFaulty) / (1 - aRates.mOrdinary));
}

void
fault_test::Add(const observation& aObservation,
                const fault_rates& aRates,
                steady_time aNow)
{
  if (mScore <= 0 && aObservation.mFaults == 0) {
    return;
  }
  if (mCounts.empty()) {
    mStarted = aNow;
  }
  // Successes from before the first fault arrive late and must not speak for
  // the path of their instance.
  if (aObservation.mFaults > 0 || aObservation.mLastSuccess > mStarted) {
    auto& one = mCounts[aObservation.mInstance];
    one.mZone = aObservation.mZone;
    one.mTrials += aObservation.mTrials;
    one.mFaults += aObservation.mFaults;
  }
  mScore += ScoreOf(aObservation.mTrials, aObservation.mFaults, aRates);
  mScore = std::min(mScore, aRates.mThreshold * kLargestScoreFactor);
  if (mScore <= 0) {
    Reset(0);
  }
}

void
fault_test::Reset(double aScore)
{
  mScore = aScore;
  mCounts.clear();
}

fault_test::counts
fault_test::Total() const
{
  counts total;
  for (const auto& [name, one] : mCounts) {
    total.mTrials += one.mTrials;
    total.mFaults += one.mFaults;
  }
  return total;
}

ejection_evidence
fault_test::Evidence() const
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
fault_test::DecideScope(const fault_rates& aRates) const
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
fault_test::RatioOf(const counts& aInside, const fault_rates& aRates) const
{
  const auto total = Total();
  const double trials = total.mTrials - aInside.mTrials;
  const double faults = total.mFaults - aInside.mFaults;
  // The others have to look healthy, not only better.
  const double ordinary = faults * std::log(aRates.mOrdinary) +
                          (trials - faults) * std::log(1 - aRates.mOrdinary);
  // A target that fails everywhere fails at least at the lowest rate.
  const double common = std::clamp(
    total.mFaults / total.mTrials, aRates.mLowestEverywhere, 1 - 1e-9);
  const double everywhere =
    total.mFaults * std::log(common) +
    (total.mTrials - total.mFaults) * std::log(1 - common);
  return LogLikelihood(aInside.mTrials, aInside.mFaults) + ordinary -
         everywhere;
}

std::optional<instance_name>
fault_test::FindFailingInstance(const fault_rates& aRates) const
{
  for (const auto& [name, one] : mCounts) {
    if (one.mFaults > 0 && one.mTrials < Total().mTrials &&
        RatioOf(one, aRates) > aRates.mPathRatio) {
      return name;
    }
  }
  return std::nullopt;
}

std::vector<std::string>
fault_test::FindFailingZones(const fault_rates& aRates) const
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
  double best = aRates.mPathRatio;
  std::vector<std::string> failing;
  std::vector<std::string> names;
  counts inside;
  for (std::size_t i = 0; i + 1 < sorted.size(); ++i) {
    names.push_back(sorted[i].first);
    inside.mTrials += sorted[i].second.mTrials;
    inside.mFaults += sorted[i].second.mFaults;
    const double ratio = RatioOf(inside, aRates);
    if (ratio > best) {
      best = ratio;
      failing = names;
    }
  }
  return failing;
}

} // namespace cowslipline
