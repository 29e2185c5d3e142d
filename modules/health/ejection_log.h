#pragma once

#include "core/time.h"
#include "modules/health/ejection.h"

#include <deque>
#include <string>
#include <vector>

namespace cowslipline {

enum class ejection_action : std::uint8_t
{
  Ejected,
  BreakerOpened, ///< The circuit breaker of this instance opened.
  Drained,       ///< The target announced that it is draining.
  Returned,
};

/// Name of the action in log lines and the admin interface.
std::string_view
NameOf(ejection_action aAction);

/// One change of a target's use, with the evidence, for log lines and
/// /explain/target.
struct ejection_record
{
  wall_milliseconds mTime = 0;
  std::string mService;
  std::string mTarget;
  ejection_action mAction = ejection_action::Ejected;
  /// Reason and scope, such as "errors, fleet".
  std::string mReason;
  ejection_evidence mEvidence;
  /// Instance that made the decision.
  instance_name mDecidedBy;
  /// Time at which the target returns to use; equal to mTime for a return.
  wall_milliseconds mReturns = 0;
};

/// Keeps the last 1024 changes of target use at this instance, oldest first,
/// and writes each one to the log. Operators use it to find out why a target is
/// out of use.
class ejection_log
{
public:
  void Add(ejection_record aRecord);

  /// Returns the records of one target, oldest first.
  std::vector<ejection_record> Explain(std::string_view aService,
                                       std::string_view aTarget) const;

private:
  std::deque<ejection_record> mRecords;
};

} // namespace cowslipline
