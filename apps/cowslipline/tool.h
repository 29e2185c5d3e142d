#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace cowslipline {

/// Runs the operators' tool with the arguments after the program name and
/// returns its exit code. Results go to the output; progress and mistakes of
/// the command line go to the errors.
int
RunTool(const std::vector<std::string>& aArguments,
        std::ostream& aOutput,
        std::ostream& aErrors);

} // namespace cowslipline
