#pragma once

#include "modules/explain/line_tally.h"
#include "modules/explain/story.h"

#include <set>

namespace cowslipline {

/// Collects the circumstances of one request. Reads the logs twice: first for
/// the request's own line, then for what happened around it.
class request_story
{
public:
  request_story(std::string aId, std::chrono::milliseconds aWindow);

  /// First reading. aText is the line as it stands in the log.
  void FindRequest(std::string_view aText);
  /// True when at least one send is known.
  bool IsFound() const { return mIsEnded || !mSends.empty(); }

  /// Second reading.
  void AddCircumstance(const log_line& aLine);

  story Tell() const;

private:
  bool IsAround(const log_line& aLine) const;
  bool IsAboutTarget(const log_line& aLine) const;
  bool IsAboutOwner(const log_line& aLine) const;
  bool IsBelief(const log_line& aLine) const;
  void CountRequest(const log_line& aLine);
  std::string Headline() const;
  std::vector<std::string> Findings() const;

  std::string mId;
  std::int64_t mWindowMs;
  bool mIsEnded = false; ///< Its last line was found, not only sends.
  log_line mRequest;     ///< Without it, the last send.
  std::vector<logged_send> mSends;
  std::vector<log_line> mEvents;
  /// The last line of each kind before the window, by instance or target.
  std::map<std::string, log_line> mBefore;
  std::map<std::string, line_tally> mSendsOfTarget;
  line_tally mOrganisation; ///< Its requests before this one.
  line_tally mDeciders;     ///< Who decided about them.
  line_tally mService;      ///< Requests and repeats of the service.
};

} // namespace cowslipline
