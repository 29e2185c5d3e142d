#pragma once

#include "apps/cowslipline/reporter.h"
#include "apps/cowslipline/tool_options.h"

namespace cowslipline {

/// keys issue, keys withdraw and keys list.
exit_code
RunKeysIssue(const tool_options& aOptions, reporter& aReporter);
exit_code
RunKeysWithdraw(const tool_options& aOptions, reporter& aReporter);
exit_code
RunKeysList(const tool_options& aOptions, reporter& aReporter);

} // namespace cowslipline
