#pragma once

#include "modules/configuration/text_form.h"
#include "modules/explain/explain.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace cowslipline {

enum class tool_command
{
  Check,
  Diff,
  Publish,
  History,
  Rollback,
  KeysIssue,
  KeysWithdraw,
  KeysList,
  Status,
  Explain,
  Help,
  Version,
};

/// The command line after parsing.
struct tool_options
{
  tool_command mCommand = tool_command::Help;
  std::vector<std::string> mFiles;
  std::string mOrganisation;
  std::string mKeyId;
  std::uint64_t mVersion = 0;
  std::optional<std::uint64_t> mExpectedVersion;
  bool mIsJson = false;
  bool mIsDryRun = false;
  bool mIsWaiting = false;
  std::chrono::seconds mTimeout{ 15 };
  std::optional<endpoint> mStore;
  std::vector<endpoint> mAdmin;
  std::string mSecretFile;
  std::string mAuthor;
  std::optional<diagnosis_subject> mSubject; ///< Set for explain.
  std::chrono::milliseconds mWindow{ 5000 };
  std::string mMessage; ///< Help or version text.
};

/// Parses the arguments without the program name. The error is a message for
/// the operator.
tl::expected<tool_options, std::string>
ParseToolOptions(const std::vector<std::string>& aArguments);

} // namespace cowslipline
