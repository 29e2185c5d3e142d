#pragma once

#include "apps/cowslipline/reporter.h"
#include "apps/cowslipline/tool_options.h"

namespace cowslipline {

/// Prints what the instances say about themselves.
exit_code
RunStatus(const tool_options& aOptions, reporter& aReporter);

/// Prints the outcome of a publication. With --wait, first waits until the
/// version or a later one is in force at all given instances.
exit_code
ReportAndWait(const publication_outcome& aOutcome,
              const tool_options& aOptions,
              reporter& aReporter);

} // namespace cowslipline
