#pragma once

#include "modules/explain/log_line.h"
#include "modules/explain/log_source.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace cowslipline {

/// Subject of a diagnosis: a request.
struct request_subject
{
  std::string mId; ///< Request id, which names one attempt of a caller.
};
/// Subject of a diagnosis: a target of a service.
struct target_subject
{
  std::string mId;
};
/// Subject of a diagnosis: all requests of an organisation.
struct organisation_subject
{
  std::string mName;
};
using diagnosis_subject =
  std::variant<request_subject, target_subject, organisation_subject>;

/// What the logs show about a subject, for output to an engineer.
struct diagnosis
{
  std::string mHeadline;
  std::vector<std::string> mFindings; ///< Sentences, the cause first.
  /// Sorted by time. The same event reported by several instances within a
  /// second is one entry, with the number of instances in its field
  /// `instances`.
  std::vector<log_line> mEvents;
  std::size_t mUnreadableLines = 0; ///< Lines that are not log lines.
  std::size_t mDroppedLines = 0; ///< Lines that instances dropped under load.
};

/// Reads the logs and diagnoses the subject. aWindow is the time before and
/// after a request in which other lines count as related to it; for targets and
/// organisations the whole logs count. Fails with errc::NotFound when no line
/// mentions the subject, or with the error of the source.
result<diagnosis>
Explain(log_source& aSource,
        const diagnosis_subject& aSubject,
        std::chrono::milliseconds aWindow);

} // namespace cowslipline
