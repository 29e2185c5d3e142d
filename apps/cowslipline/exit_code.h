#pragma once

namespace cowslipline {

/// Exit codes of the tool; docs/configuration.md lists them.
enum class exit_code
{
  Done = 0,
  Refused = 1,   ///< The files have mistakes or the change was refused.
  Usage = 2,     ///< Wrong command line, unreadable file or no secret.
  Conflict = 3,  ///< Another publication came first.
  Store = 4,     ///< The store is unavailable or damaged; nothing changed.
  NotKnown = 5,  ///< The store's answer was lost; see the history.
  NotReached = 6 ///< An instance does not answer or lacks the version.
};

} // namespace cowslipline
