#include "modules/proxy/refusal_cause.h"

namespace cowslipline {

const char*
CauseName(refusal_cause aCause)
{
  switch (aCause) {
    case refusal_cause::None:
      return "none";
    case refusal_cause::NoConfiguration:
      return "no_configuration";
    case refusal_cause::NoRoute:
      return "no_route";
    case refusal_cause::KeyMissing:
      return "key_missing";
    case refusal_cause::KeyUnknown:
      return "key_unknown";
    case refusal_cause::ConfigurationStale:
      return "configuration_stale";
    case refusal_cause::OverQuota:
      return "over_quota";
    case refusal_cause::NoTarget:
      return "no_target";
    case refusal_cause::TargetsFull:
      return "targets_full";
    case refusal_cause::TargetsLimited:
      return "targets_limited";
    case refusal_cause::TargetsEvacuated:
      return "targets_evacuated";
    case refusal_cause::AttemptsUsed:
      return "attempts_used";
    case refusal_cause::RetryBudgetSpent:
      return "retry_budget_spent";
    case refusal_cause::CrashesTargets:
      return "crashes_targets";
    case refusal_cause::OutcomeUnknown:
      return "outcome_unknown";
    case refusal_cause::DeadlinePassed:
      return "deadline_passed";
    case refusal_cause::Leaving:
      return "leaving";
    case refusal_cause::Malformed:
      return "malformed";
    case refusal_cause::TooLarge:
      return "too_large";
    case refusal_cause::OverMemory:
      return "over_memory";
    case refusal_cause::CallerSlow:
      return "caller_slow";
    case refusal_cause::CallerGone:
      return "caller_gone";
  }
  return "unknown";
}

} // namespace cowslipline
