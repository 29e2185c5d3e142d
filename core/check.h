#pragma once

#include "core/log.h"
#include "core/result.h"

namespace cowslipline {

/// Logs the broken invariant with its place and aborts the process.
[[noreturn]] void
AbortOnInvariant(const char* aCondition,
                 const char* aMessage,
                 const char* aFile,
                 int aLine);

} // namespace cowslipline

/// Stops the process when the condition does not hold. Active in all builds:
/// continuing with broken state could run a request twice or exceed a rate.
#define COWSLIPLINE_INVARIANT(aCondition, aMessage)                            \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::cowslipline::AbortOnInvariant(                                         \
        #aCondition, aMessage, __FILE__, __LINE__);                            \
    }                                                                          \
  } while (false)

/// Returns the error early and logs what failed.
#define COWSLIPLINE_FAIL_IF(aCondition, aError, aMessage)                      \
  do {                                                                         \
    if (aCondition) {                                                          \
      ::cowslipline::Log(::cowslipline::log_level::Warn,                       \
                         "operation_failed",                                   \
                         { { "message", aMessage } });                         \
      return ::cowslipline::Fail(aError);                                      \
    }                                                                          \
  } while (false)

/// Returns the error of a failed result early.
#define COWSLIPLINE_PROPAGATE(aResult)                                         \
  do {                                                                         \
    if (!(aResult)) {                                                          \
      return ::cowslipline::Fail((aResult).error());                           \
    }                                                                          \
  } while (false)
