#pragma once

#include <system_error>

namespace cowslipline {

/// Errors that services return to each other. Each names what went wrong, not
/// where; the log line of the caller adds the place.
enum class errc
{
  StoreUnavailable = 1,
  StoreConflict,
  StoreAnswerLost,
  StoreValueTooLarge,
  PeerUnreachable,
  PeerTimeout,
  PeerRejected,
  MessageMalformed,
  Timeout,
  Canceled,
  NotFound,
  NotReady,
  RateLimited,
  Overloaded,
  NoTarget,
  RecordsFull,
  ConfigurationInvalid,
  SettingsInvalid,
  ServiceMissing,
  Duplicate,
  InputOutput,
  TooLarge,
  HistoryLost,
};

/// The category "cowslipline"; messages are short English phrases.
const std::error_category&
ErrorCategory();

std::error_code
make_error_code(errc aError);

} // namespace cowslipline

namespace std {
template<>
struct is_error_code_enum<cowslipline::errc> : true_type
{
};
} // namespace std
