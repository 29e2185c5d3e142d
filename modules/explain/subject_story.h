#pragma once

#include "modules/explain/line_tally.h"
#include "modules/explain/story.h"

namespace cowslipline {

/// What happened to a target: changes of its entry and use, and its sends by
/// outcome in each second.
class target_story
{
public:
  explicit target_story(std::string aId)
    : mId(std::move(aId))
  {
  }

  void Add(const log_line& aLine);
  bool IsFound() const { return !mEvents.empty() || !mSeconds.empty(); }
  story Tell() const;

private:
  std::string mId;
  std::vector<log_line> mEvents;
  std::map<std::int64_t, line_tally> mSeconds; ///< By Unix time.
};

/// What happened to the requests of an organisation: causes and deciders in
/// each second, and owners that did not reply.
class organisation_story
{
public:
  explicit organisation_story(std::string aName)
    : mName(std::move(aName))
  {
  }

  void Add(const log_line& aLine);
  bool IsFound() const { return !mEvents.empty() || !mSeconds.empty(); }
  story Tell() const;

private:
  struct second
  {
    line_tally mCauses;
    line_tally mDeciders;
  };

  std::string mName;
  std::vector<log_line> mEvents;
  std::map<std::int64_t, second> mSeconds; ///< By Unix time.
};

} // namespace cowslipline
