#include "modules/explain/cause_description.h"

#include <map>

namespace cowslipline {

cause_description
DescribeCause(std::string_view aCause)
{
  static const std::map<std::string_view, cause_description> descriptions = {
    { "none", { "The target answered; the status is the target's.", "" } },
    { "malformed", { "The request lacked an id or was malformed.", "" } },
    { "too_large", { "The request exceeded a limit.", "" } },
    { "caller_slow", { "The caller did not send its request in time.", "" } },
    { "key_missing",
      { "The request carried no API key, or more than one.",
        "Issue an API key." } },
    { "key_unknown",
      { "The key belongs to no organisation in the configuration in force.",
        "Compare its version with the one that issued the key." } },
    { "no_route",
      { "Host and path match no route in the configuration in force.",
        "Compare its version with the one that added the route." } },
    { "over_quota",
      { "The organisation's fleet-wide quota was used up.",
        "Raise the quota or ask the caller to send less." } },
    { "over_memory",
      { "Request bodies in flight used up the instance's memory limit.",
        "Give the instances more memory." } },
    { "configuration_stale",
      { "The instance could not prove that the key was still valid.",
        "Find out why the instance lost the store." } },
    { "no_configuration",
      { "The instance had not read the configuration yet.",
        "Find out why the store does not answer the instance." } },
    { "leaving", { "The instance was shutting down.", "" } },
    { "no_target",
      { "Every ready target had already been tried, or none was ready.",
        "Start targets of the service." } },
    { "targets_evacuated",
      { "Every ready target of the service is in an evacuated zone.",
        "Look for zone_evacuated; start targets elsewhere, or lift it." } },
    { "targets_limited",
      { "The targets limit the rate of requests, and it is used up by requests "
        "that are more urgent or came first.",
        "Find out why the targets name a limit, or add targets." } },
    { "targets_full",
      { "Every target had recently refused a request as overloaded.",
        "Add targets." } },
    { "attempts_used",
      { "All sends that the route allows failed.",
        "Look into the targets of these sends." } },
    { "retry_budget_spent",
      { "The send failed, and the service's retry budget was used up.",
        "Find the fault that makes most first sends fail." } },
    { "outcome_unknown",
      { "The request must run at most once and its answer was lost; it may "
        "have run.",
        "Ask the service whether the request ran." } },
    { "deadline_passed",
      { "No answer came before the deadline.",
        "Look into the targets whose sends have the outcome open." } },
    { "crashes_targets",
      { "Three targets went down while they ran the same request.",
        "Stop the caller from repeating the request." } },
    { "caller_gone", { "The caller disconnected before the answer.", "" } },
  };
  const auto found = descriptions.find(aCause);
  return found == descriptions.end() ? cause_description() : found->second;
}

} // namespace cowslipline
