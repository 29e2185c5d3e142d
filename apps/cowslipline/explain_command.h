#pragma once

#include "apps/cowslipline/reporter.h"
#include "apps/cowslipline/tool_options.h"

namespace cowslipline {

/// Tells from log files, or from standard input without any, what happened to
/// a request, a target or an organisation.
exit_code
RunExplain(const tool_options& aOptions, reporter& aReporter);

} // namespace cowslipline
