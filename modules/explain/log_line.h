#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// One parsed line of an instance's structured log (docs/logging.md).
struct log_line
{
  std::int64_t mTimeMs = 0; ///< Unix time, from the instance's clock.
  std::string mInstance;
  std::string mEvent;
  /// All other fields.
  std::map<std::string, std::string, std::less<>> mFields;

  /// Empty when the line has no such field.
  std::string_view Field(std::string_view aName) const;
  /// Zero when the field is missing or not a number.
  std::int64_t Number(std::string_view aName) const;
};

/// One attempt to send a request to a target, as logged in the field
/// `attempts`.
struct logged_send
{
  std::string mTarget;
  std::string mOutcome;
  std::string mReason; ///< Empty when none was logged.
};

/// Returns nullopt when the text is not a log line. Text before the first
/// brace, such as the time and host that a collector adds, is skipped.
std::optional<log_line>
ParseLogLine(std::string_view aText);

/// Parses a field `attempts`, such as "i-1=broken(reset by peer) i-2=served".
/// Skips a rest without "=".
std::vector<logged_send>
ParseSends(std::string_view aAttempts);

} // namespace cowslipline
