#include "apps/cowslipline/tool.h"

#include "apps/cowslipline/explain_command.h"
#include "apps/cowslipline/file_commands.h"
#include "apps/cowslipline/history_commands.h"
#include "apps/cowslipline/key_commands.h"
#include "apps/cowslipline/status_commands.h"

namespace cowslipline {

namespace {

exit_code
RunCommand(const tool_options& aOptions, reporter& aReporter)
{
  switch (aOptions.mCommand) {
    case tool_command::Check:
      return RunCheck(aOptions, aReporter);
    case tool_command::Diff:
      return RunDiff(aOptions, aReporter);
    case tool_command::Publish:
      return RunPublish(aOptions, aReporter);
    case tool_command::History:
      return RunHistory(aOptions, aReporter);
    case tool_command::Rollback:
      return RunRollback(aOptions, aReporter);
    case tool_command::KeysIssue:
      return RunKeysIssue(aOptions, aReporter);
    case tool_command::KeysWithdraw:
      return RunKeysWithdraw(aOptions, aReporter);
    case tool_command::KeysList:
      return RunKeysList(aOptions, aReporter);
    case tool_command::Status:
      return RunStatus(aOptions, aReporter);
    case tool_command::Explain:
      return RunExplain(aOptions, aReporter);
    case tool_command::Help:
    case tool_command::Version:
      break;
  }
  return exit_code::Usage;
}

} // namespace

int
RunTool(const std::vector<std::string>& aArguments,
        std::ostream& aOutput,
        std::ostream& aErrors)
{
  const auto options = ParseToolOptions(aArguments);
  if (!options) {
    aErrors << options.error() << "\n";
    return static_cast<int>(exit_code::Usage);
  }
  if (!options->mMessage.empty()) {
    aOutput << options->mMessage;
    return static_cast<int>(exit_code::Done);
  }
  reporter report(aOutput, aErrors, options->mIsJson);
  return static_cast<int>(RunCommand(*options, report));
}

} // namespace cowslipline
