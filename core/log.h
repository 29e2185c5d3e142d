#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cowslipline {

enum class log_level
{
  Debug,
  Info,
  Warn,
  Error,
};

using log_field = std::pair<std::string_view, std::string>;

enum class log_stream
{
  Output,
  Error,
};

/// Sends log lines to standard error, or to standard output, from the given
/// level on. Standard output is never waited for: lines that find no room are
/// dropped and counted. Without this call nothing is written, so tests stay
/// quiet.
void
ConfigureLog(log_level aLevel,
             std::string_view aInstance,
             log_stream aStream = log_stream::Error);

/// Writes one JSON line with time, level, event, instance and the fields that
/// are not empty.
/// At most 100 lines a second of each event are written; the next line after a
/// flood carries the number of dropped lines in "dropped". Keys and bodies must
/// not be given.
void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields);

} // namespace cowslipline
