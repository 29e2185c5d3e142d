#pragma once

#include "modules/explain/log_line.h"
#include "modules/explain/log_source.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace cowslipline {

struct request_subject
{
  std::string mId; ///< Of one attempt of a caller.
};
struct target_subject
{
  std::string mId;
};
struct organisation_subject
{
  std::string mName;
};
using story_subject =
  std::variant<request_subject, target_subject, organisation_subject>;

/// What the logs tell of a subject.
struct story
{
  std::string mHeadline;
  std::vector<std::string> mFindings; ///< Sentences, the cause first.
  /// In the order of time. Equal lines of several instances within a second
  /// are one, with the number of instances in its field `instances`.
  std::vector<log_line> mEvents;
  std::size_t mUnreadable = 0; ///< Lines that are no log lines.
  std::size_t mDropped = 0;    ///< Lines that instances dropped under load.
};

/// Reads the logs and tells the subject's story. aWindow: how far around a
/// request other lines count as its circumstances; the whole logs count for
/// targets and organisations. Fails with errc::NotFound when no line speaks of
/// the subject, or with the error of the source.
result<story>
Explain(log_source& aSource,
        const story_subject& aSubject,
        std::chrono::milliseconds aWindow);

} // namespace cowslipline
