#include "modules/explain/cause_text.h"

#include <map>

namespace cowslipline {

cause_text
DescribeCause(std::string_view aCause)
{
  static const std::map<std::string_view, cause_text> texts = {
    { "none", { "The target answered; the status is its own.", "" } },
    { "malformed", { "The request lacked an id or was malformed.", "" } },
    { "too_large", { "The request exceeded a limit.", "" } },
    { "caller_slow", { "The caller did not send its request in time.", "" } },
    { "key_missing",
      { "The request carried no key, or more than one.", "Issue a key." } },
    { "key_unknown",
      { "No organisation holds the key in the version in force.",
        "Compare the version with the one that issued the key." } },
    { "no_route",
      { "Host and path match no route in the version in force.",
        "Compare the version with the one that added the route." } },
    { "over_quota",
      { "The organisation's quota over the whole fleet was used.",
        "Raise the quota or talk to the sender." } },
    { "over_memory",
      { "Bodies in flight used the instance's memory.",
        "Give the instances more memory." } },
    { "configuration_stale",
      { "The instance could not prove that the key was still valid.",
        "Find out why it lost the store." } },
    { "no_configuration",
      { "The instance had not read the configuration yet.",
        "Find out why the store does not answer it." } },
    { "leaving", { "The instance was shutting down.", "" } },
    { "no_target",
      { "No ready target was left that had not been tried.",
        "Start targets of the service." } },
    { "targets_full",
      { "Every target had refused requests as full a moment before.",
        "Add targets." } },
    { "attempts_used",
      { "All sends that the route allows failed.",
        "Follow the targets of the sends." } },
    { "retry_budget_spent",
      { "The send failed, and the service's retry budget was used.",
        "Find the fault that makes most first sends fail." } },
    { "outcome_unknown",
      { "It must run at most once and the answer was lost; it may have run.",
        "Ask the service whether it ran." } },
    { "deadline_passed",
      { "No answer came before the deadline.",
        "Follow the targets whose sends are open." } },
    { "crashes_targets",
      { "Three targets went down under the same request.",
        "Keep the sender from repeating it." } },
    { "caller_gone", { "The caller left before the answer.", "" } },
  };
  const auto found = texts.find(aCause);
  return found == texts.end() ? cause_text() : found->second;
}

} // namespace cowslipline
