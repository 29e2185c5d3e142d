#pragma once

#include "apps/cowslipline/reporter.h"
#include "apps/cowslipline/tool_options.h"

namespace cowslipline {

/// check, diff and publish.
exit_code
RunCheck(const tool_options& aOptions, reporter& aReporter);
exit_code
RunDiff(const tool_options& aOptions, reporter& aReporter);
exit_code
RunPublish(const tool_options& aOptions, reporter& aReporter);

} // namespace cowslipline
