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
  Served,      ///< A whole answer that is no failure of the target.
  Failed,      ///< The target's own failure (5xx).
  Broken,      ///< Reset, truncated, garbled or otherwise unusable.
  TimedOut,    ///< No answer within the time it had.
  Shed,        ///< The target says that it did not run the request.
  Unreachable, ///< No connection could be opened.
  Misdirected, ///< Another target has the address.
  Abandoned,   ///< The caller left; says nothing about the target.
};

const char*
OutcomeName(exchange_outcome aOutcome);

enum class target_use
{
  InUse,
  Trial,      ///< Was avoided; requests find out whether it is well again.
  EarlyTrial, ///< As above, by requests that lose nothing when it fails.
  Avoided,    ///< Gets no requests while others are left.
};

/// What the fleet has seen of each target lately. One instance sends a target
/// a request every few seconds, too few to notice a fault by itself, so the
/// failures of other instances count as well.
class target_records
{
public:
  /// An outcome of this instance, or one that another instance reports.
  /// True when other instances should be told: it changes the use of the
  /// target, or adds to failures that all of them count.
  bool Observe(std::string_view aTarget,
               exchange_outcome aOutcome,
               steady_time aNow);

  target_use UseOf(std::string_view aTarget, steady_time aNow) const;

  /// True when more than one failure speaks against the target: it is not
  /// sound, and the floor does not count it.
  bool IsConfirmed(std::string_view aTarget) const;

  /// True while the target answers that it is full.
  bool IsFull(std::string_view aTarget, steady_time aNow) const;

  /// Higher for targets that failed more lately. Orders avoided targets when
  /// the floor requires some of them.
  double Suspicion(std::string_view aTarget, steady_time aNow) const;

  /// Forgets targets that had no outcome for a while.
  void Prune(steady_time aNow);

private:
  struct record
  {
    double mFailures = 0;  ///< Decays.
    double mSuccesses = 0; ///< Decays.
    steady_time mUpdated;
    steady_time mAvoidedUntil;
    steady_time mFullUntil;
    steady_time mTrialFrom;
    bool mIsOnTrial = false; ///< Avoided, or not yet proven well again.
    bool mIsConfirmed = false;
    int mFailedTrials = 0;
    int mTrialSuccesses = 0;
  };

  static void Decay(record& aRecord, steady_time aNow);
  bool Avoid(record& aRecord, duration aShortest, steady_time aNow);

  std::unordered_map<std::string, record> mRecords;
};

} // namespace cowslipline
