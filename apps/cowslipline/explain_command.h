#pragma once

#include "apps/cowslipline/reporter.h"
#include "apps/cowslipline/tool_options.h"

namespace cowslipline {

/// Runs `cowslipline explain`: reads the log files, or standard input if none
/// are given, and prints what happened to a request, a target or an
/// organisation. An unreadable file or an unknown subject is a usage error.
exit_code
RunExplain(const tool_options& aOptions, reporter& aReporter);

} // namespace cowslipline
