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
  Held,    ///< Local hold of this instance.
  Drained, ///< The target announced that it is leaving.
  Returned,
};

/// Log and admin name of an action.
std::string_view
NameOf(ejection_action aAction);

/// One entry of the answer to "why is this target out of use?".
struct ejection_record
{
  wall_milliseconds mTime = 0;
  std::string mService;
  std::string mTarget;
  ejection_action mAction = ejection_action::Ejected;
  /// Reason and scope in words, such as "errors, fleet".
  std::string mReason;
  ejection_evidence mEvidence;
  /// The instance that decided.
  instance_name mDecidedBy;
  /// When the target returns; equal to mTime for a return.
  wall_milliseconds mReturns = 0;
};

/// The latest ejections and returns at this instance, oldest first. Bounded;
/// each addition is also a log line.
class ejection_log
{
public:
  void Add(ejection_record aRecord);

  std::vector<ejection_record> Explain(std::string_view aService,
                                       std::string_view aTarget) const;

private:
  std::deque<ejection_record> mRecords;
};

} // namespace cowslipline
