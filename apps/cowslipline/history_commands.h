#pragma once

#include "apps/cowslipline/reporter.h"
#include "apps/cowslipline/tool_options.h"

namespace cowslipline {

/// history and rollback.
exit_code
RunHistory(const tool_options& aOptions, reporter& aReporter);
exit_code
RunRollback(const tool_options& aOptions, reporter& aReporter);

} // namespace cowslipline
