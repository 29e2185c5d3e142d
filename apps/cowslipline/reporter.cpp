#include "apps/cowslipline/reporter.h"

namespace cowslipline {

namespace {

using nlohmann::json;

/// One outcome of a publication in all forms.
struct outcome_report
{
  json mJson;
  std::vector<std::string> mLines;
  exit_code mCode = exit_code::Done;
};

struct outcome_describer
{
  outcome_report operator()(const publication_accepted& aOutcome) const
  {
    return { { { "outcome", "accepted" },
               { "version", aOutcome.mVersion },
               { "chunks_written", aOutcome.mChunksWritten },
               { "bytes_written", aOutcome.mBytesWritten } },
             { "published version " + std::to_string(aOutcome.mVersion) + " (" +
               std::to_string(aOutcome.mChunksWritten) + " chunks, " +
               std::to_string(aOutcome.mBytesWritten) + " bytes written)" },
             exit_code::Done };
  }
  outcome_report operator()(const publication_unchanged& aOutcome) const
  {
    return { { { "outcome", "unchanged" }, { "version", aOutcome.mVersion } },
             { "version " + std::to_string(aOutcome.mVersion) +
               " has this content already" },
             exit_code::Done };
  }
  outcome_report operator()(const publication_conflict& aOutcome) const
  {
    return { { { "outcome", "conflict" },
               { "version", aOutcome.mVersionInForce },
               { "author", aOutcome.mAuthorInForce } },
             { "not published: version " +
               std::to_string(aOutcome.mVersionInForce) + " by \"" +
               aOutcome.mAuthorInForce +
               "\" came first; compare with diff and publish again" },
             exit_code::Conflict };
  }
  outcome_report operator()(const publication_refused& aOutcome) const
  {
    std::vector<std::string> lines{ "not published:" };
    for (const auto& problem : aOutcome.mProblems) {
      lines.push_back("  " + problem);
    }
    return { { { "outcome", "refused" }, { "problems", aOutcome.mProblems } },
             std::move(lines),
             exit_code::Refused };
  }
};

} // namespace

exit_code
reporter::Usage(const std::string& aMistake)
{
  mErrors << aMistake << "\n";
  return exit_code::Usage;
}

exit_code
reporter::Mistakes(const diagnostics& aDiagnostics)
{
  auto entries = json::array();
  std::vector<std::string> lines;
  for (const auto& entry : aDiagnostics) {
    entries.push_back({ { "file", entry.mFile },
                        { "line", entry.mLine },
                        { "key", entry.mKey },
                        { "problem", entry.mProblem },
                        { "hint", entry.mHint } });
    lines.push_back(FormatDiagnostic(entry));
  }
  lines.push_back("mistakes: " + std::to_string(aDiagnostics.size()));
  Print({ { "outcome", "mistakes" }, { "mistakes", std::move(entries) } },
        lines);
  return exit_code::Refused;
}

exit_code
reporter::StoreError(std::error_code aError)
{
  const bool isKnown = aError != errc::StoreAnswerLost;
  Print({ { "outcome", isKnown ? "store_error" : "not_known" },
          { "error", aError.message() } },
        { isKnown
            ? "the store failed (" + aError.message() + "); nothing was changed"
            : "the store's answer was lost; run cowslipline history to "
              "see whether the version is in force" });
  return isKnown ? exit_code::Store : exit_code::NotKnown;
}

void
reporter::Print(const json& aJson, const std::vector<std::string>& aLines)
{
  if (mIsJson) {
    // Author texts come from the store and need not be valid UTF-8.
    mOutput << aJson.dump(2, ' ', false, json::error_handler_t::replace)
            << "\n";
    return;
  }
  for (const auto& line : aLines) {
    mOutput << line << "\n";
  }
}

void
reporter::Progress(const std::string& aLine)
{
  mErrors << aLine << std::endl;
}

exit_code
reporter::Outcome(const publication_outcome& aOutcome,
                  const json& aExtra,
                  const std::vector<std::string>& aExtraLines)
{
  auto report = std::visit(outcome_describer{}, aOutcome);
  if (report.mCode == exit_code::Done) {
    report.mJson.update(aExtra);
    report.mLines.insert(
      report.mLines.end(), aExtraLines.begin(), aExtraLines.end());
  }
  Print(report.mJson, report.mLines);
  return report.mCode;
}

} // namespace cowslipline
