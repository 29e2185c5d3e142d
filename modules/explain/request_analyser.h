#pragma once

#include "modules/explain/diagnosis.h"
#include "modules/explain/frequency_table.h"

#include <set>

namespace cowslipline {

/// Diagnoses one request in two passes over the logs: the first finds the
/// request's own lines, the second the events and requests related to it, for
/// which its time, targets and organisation must be known.
class request_analyser
{
public:
  /// aWindow: how long before the request's start and after its last line other
  /// lines count as related.
  request_analyser(std::string aId, std::chrono::milliseconds aWindow);

  /// First pass. aText is the unparsed line: most lines do not contain the id
  /// and need no parsing.
  void CollectRequestLine(std::string_view aText);
  /// True when the request's final line or at least one send was found.
  bool IsFound() const { return mHasFinalLine || !mSends.empty(); }

  /// Second pass.
  void AddRelatedLine(const log_line& aLine);

  diagnosis Diagnose() const;

private:
  bool IsInWindow(const log_line& aLine) const;
  bool IsAboutTarget(const log_line& aLine) const;
  bool IsAboutQuotaOwner(const log_line& aLine) const;
  bool IsRelated(const log_line& aLine) const;
  void CountRequest(const log_line& aLine);
  std::string Headline() const;
  std::vector<std::string> Findings() const;

  std::string mId;
  std::int64_t mWindowMs;
  bool mHasFinalLine = false; ///< False when only `sent` lines were found.
  log_line mRequest; ///< The final line or, without one, the last `sent`.
  std::vector<logged_send> mSends;
  std::vector<log_line> mEvents;
  /// The last state event before the window, by instance and target.
  std::map<std::string, log_line> mStateBeforeWindow;
  /// Outcomes of sends within the window, of all requests, by target of this
  /// request.
  std::map<std::string, frequency_table> mSendsOfTarget;
  /// Requests of the organisation up to this one, admitted and refused by
  /// quota.
  frequency_table mOrganisationRequests;
  /// The instances that decided on those by quota.
  frequency_table mQuotaDeciders;
  /// Requests to the service up to this one, and their repeats.
  frequency_table mServiceRequests;
};

} // namespace cowslipline
