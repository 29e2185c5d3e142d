#pragma once

#include "modules/health/ejection.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// Hypotheses and thresholds of a CUSUM test for one kind of fault.
struct fault_rates
{
  double mBaseline = 0;  ///< Share of faults of a healthy target, 0 to 1.
  double mFaulty = 0;    ///< Share of faults to detect, 0 to 1.
  double mThreshold = 0; ///< Score at which the test signals, in nats.
  /// Log-likelihood ratio above which a network path is considered faulty and
  /// not the target, in nats.
  double mPathThreshold = 0;
  /// Lowest share of faults, 0 to 1, that a faulty target shows on every path.
  double mMinRatePerPath = 0;
};

/// Trials and faults of one kind that one instance reports.
struct observation
{
  instance_name mInstance;
  std::string mZone;
  std::uint32_t mTrials = 0;
  std::uint32_t mFaults = 0;
  steady_time mLastSuccess{};
};

/// CUSUM test (Page's test) for one kind of fault at one target: the cumulative
/// sum of the log-likelihood ratio, bounded below by zero. Also keeps the
/// counts of each instance since the score last left zero, to tell a faulty
/// target from a faulty network path.
class cusum_detector
{
public:
  void Add(const observation& aObservation,
           const fault_rates& aRates,
           steady_time aNow);

  double Score() const { return mScore; }

  /// Instances for which the target should be ejected once the score has
  /// reached the threshold. Empty while only one of several instances has seen
  /// faults and its path is not proven faulty.
  std::optional<ejection_scope> DecideScope(const fault_rates& aRates) const;

  ejection_evidence Evidence() const;

  /// Removes the counts and sets the score to aScore.
  void Reset(double aScore);

private:
  struct counts
  {
    std::string mZone;
    double mTrials = 0;
    double mFaults = 0;
  };

  /// Log-likelihood ratio of the counts, faulty against healthy, in nats.
  double LogLikelihoodRatio(double aTrials,
                            double aFaults,
                            const fault_rates& aRates) const;
  counts Total() const;
  /// Log-likelihood ratio, in nats, of a fault of the paths with the counts
  /// aInside against a fault of the target.
  double PathLikelihoodRatio(const counts& aInside,
                             const fault_rates& aRates) const;
  std::optional<instance_name> FindFailingInstance(
    const fault_rates& aRates) const;
  std::vector<std::string> FindFailingZones(const fault_rates& aRates) const;

  double mScore = 0;
  /// Time of the first report with a fault since the score left zero.
  steady_time mStarted{};
  std::map<instance_name, counts> mCounts;
};

} // namespace cowslipline
