#pragma once

#include "modules/health/ejection.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// What a test decides between, and when.
struct fault_rates
{
  double mOrdinary = 0;  ///< Share of faults of a healthy target.
  double mFaulty = 0;    ///< Share of faults that is to be detected.
  double mThreshold = 0; ///< Score that decides, in nats.
  /// Log-likelihood ratio from which a path is blamed, not the target.
  double mPathRatio = 0;
  /// Lowest share of faults on every path when the target itself is faulty.
  double mLowestEverywhere = 0;
};

/// Counts that one instance reports.
struct observation
{
  instance_name mInstance;
  std::string mZone;
  std::uint32_t mTrials = 0;
  std::uint32_t mFaults = 0;
  steady_time mLastSuccess{};
};

/// Sequential test of one kind of fault at one target: the cumulative sum of
/// the log-likelihood ratio, never below zero. It also keeps who saw what
/// since the score last left zero, to tell a faulty target from a faulty path.
class fault_test
{
public:
  void Add(const observation& aObservation,
           const fault_rates& aRates,
           steady_time aNow);

  double Score() const { return mScore; }

  /// Whose path is at fault, once the score has reached the threshold. Empty
  /// while the evidence supports no scope.
  std::optional<ejection_scope> DecideScope(const fault_rates& aRates) const;

  ejection_evidence Evidence() const;

  /// Forgets the evidence; the score starts at aScore.
  void Reset(double aScore);

private:
  struct counts
  {
    std::string mZone;
    double mTrials = 0;
    double mFaults = 0;
  };

  double ScoreOf(double aTrials,
                 double aFaults,
                 const fault_rates& aRates) const;
  counts Total() const;
  /// Log-likelihood ratio of a fault of these paths alone against a fault of
  /// the target.
  double RatioOf(const counts& aInside, const fault_rates& aRates) const;
  std::optional<instance_name> FindFailingInstance(
    const fault_rates& aRates) const;
  std::vector<std::string> FindFailingZones(const fault_rates& aRates) const;

  double mScore = 0;
  /// First fault since the score left zero.
  steady_time mStarted{};
  std::map<instance_name, counts> mCounts;
};

} // namespace cowslipline
