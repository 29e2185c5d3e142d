#pragma once

namespace cowslipline {

/// Why an answer is this instance's own and not a target's. Each has a counter
/// and a name in the log.
enum class refusal_cause
{
  None,
  NoConfiguration,
  NoRoute,
  KeyMissing,
  KeyUnknown,
  ConfigurationStale,
  OverQuota,
  NoTarget,
  TargetsFull,
  TargetsLimited,
  TargetsEvacuated,
  AttemptsUsed,
  RetryBudgetSpent,
  CrashesTargets,
  OutcomeUnknown,
  DeadlinePassed,
  Leaving,
  Malformed,
  TooLarge,
  OverMemory,
  CallerSlow,
  CallerGone,
};

const char*
CauseName(refusal_cause aCause);

} // namespace cowslipline
