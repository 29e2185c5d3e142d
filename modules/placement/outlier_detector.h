#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// How one exchange with a target ended.
enum class exchange_outcome
{
  Served,      ///< A complete response that isn't a failure of the target.
  Failed,      ///< The target reported a failure of its own (5xx).
  Broken,      ///< Connection reset, or a truncated or unusable response.
  TimedOut,    ///< No response before the deadline.
  Shed,        ///< The target reported that it didn't run the request.
  Unreachable, ///< No connection could be opened.
  Misdirected, ///< The address now belongs to another target.
  Abandoned,   ///< The caller disconnected; says nothing about the target.
};

/// Name of the outcome as it is written out, e.g. "timed_out".
const char*
OutcomeName(exchange_outcome aOutcome);

/// Whether a target gets requests. A trial corresponds to the half-open state
/// of a circuit breaker.
enum class target_use
{
  InUse,
  Trial,      ///< Avoidance is over; requests test whether it has recovered.
  EarlyTrial, ///< Avoided, but open to repeatable requests as a test.
  Avoided,    ///< Gets no requests while enough others are left.
};

/// Passive outlier detection: counts recent outcomes of each target, avoids
/// failing targets for seconds and tests them with trial requests. One instance
/// sends a target a request only every few seconds, too few to notice a fault
/// by itself, so outcomes that other instances report count as well.
class outlier_detector
{
public:
  /// Records an outcome that this instance observed or another one reported.
  /// aAge: time since the request was sent. True when it should be reported to
  /// the other instances: it changes the use of the target, or adds to the
  /// failures that all of them count.
  bool Observe(std::string_view aTarget,
               exchange_outcome aOutcome,
               steady_time aNow,
               duration aAge = duration(0));

  target_use UseOf(std::string_view aTarget, steady_time aNow) const;

  /// True when the target failed again after the failure that started its
  /// avoidance. The load balancer's floor share does not count such a target.
  bool IsFailureConfirmed(std::string_view aTarget) const;

  /// True for 250 ms after the target last shed a request: it is full.
  bool IsFull(std::string_view aTarget, steady_time aNow) const;

  /// Decayed failures minus half the decayed successes; 0 for unknown targets.
  /// Decides which targets are avoided when the floor share requires that some
  /// stay in use.
  double FailureScore(std::string_view aTarget, steady_time aNow) const;

  /// Removes targets without an outcome in the last 60 s.
  void Prune(steady_time aNow);

private:
  struct record
  {
    double mFailures = 0;  ///< Decays exponentially.
    double mSuccesses = 0; ///< Decays exponentially.
    steady_time mUpdated;
    steady_time mAvoidedSince; ///< Start of the last avoidance.
    steady_time mAvoidedUntil;
    steady_time mFullUntil;
    steady_time mTrialFrom;
    bool mIsOnTrial = false; ///< Avoided, or not yet recovered.
    bool mIsFailureConfirmed = false;
    int mFailedTrials = 0;
    int mTrialSuccesses = 0;
  };

  static void Decay(record& aRecord, steady_time aNow);
  /// Starts an avoidance of aBaseLength, doubled for each failed trial. False
  /// when the failure falls into an avoidance before its trials begin, or is
  /// that of a request that was sent before the last avoidance began.
  bool Avoid(record& aRecord,
             duration aBaseLength,
             steady_time aSentAt,
             steady_time aNow);

  std::unordered_map<std::string, record> mRecords;
};

} // namespace cowslipline
