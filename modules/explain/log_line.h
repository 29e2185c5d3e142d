#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// One line of an instance's log (docs/logging.md).
struct log_line
{
  std::int64_t mTimeMs = 0; ///< Unix time by the clock of the instance.
  std::string mInstance;
  std::string mEvent;
  std::map<std::string, std::string, std::less<>> mFields; ///< The others.

  /// Empty when the line has no such field.
  std::string_view Field(std::string_view aName) const;
  /// Zero when the field is missing or no number.
  std::int64_t Number(std::string_view aName) const;
};

/// One send of a request to a target, from the field `attempts`.
struct logged_send
{
  std::string mTarget;
  std::string mOutcome;
  std::string mReason;
};

/// Nothing when the text holds no log line. Text before the first brace, such
/// as the time and host that a collector adds, is skipped.
std::optional<log_line>
ParseLogLine(std::string_view aText);

std::vector<logged_send>
ParseSends(std::string_view aAttempts);

} // namespace cowslipline
