#pragma once

#include "apps/cowslipline/admin_client.h"
#include "apps/cowslipline/exit_code.h"
#include "modules/configuration/configuration.h"

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// Prints results as text for operators or as one JSON object, and mistakes
/// of the command line as text.
class reporter
{
public:
  reporter(std::ostream& aOutput, std::ostream& aErrors, bool aIsJson)
    : mOutput(aOutput)
    , mErrors(aErrors)
    , mIsJson(aIsJson)
  {
  }

  exit_code Usage(const std::string& aMistake);
  exit_code Mistakes(const diagnostics& aDiagnostics);
  exit_code StoreError(std::error_code aError);
  /// The JSON is printed with --json, otherwise the lines.
  void Print(const nlohmann::json& aJson,
             const std::vector<std::string>& aLines);
  void Progress(const std::string& aLine);
  exit_code Outcome(const publication_outcome& aOutcome,
                    const nlohmann::json& aExtra,
                    const std::vector<std::string>& aExtraLines);

private:
  std::ostream& mOutput;
  std::ostream& mErrors;
  bool mIsJson;
};

} // namespace cowslipline
