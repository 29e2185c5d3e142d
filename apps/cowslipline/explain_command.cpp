#include "apps/cowslipline/explain_command.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::int64_t kMsPerSecond = 1000;

/// Reopens the files on each pass. Keeps standard input in memory, since it can
/// be read only once.
class file_log_source final : public log_source
{
public:
  explicit file_log_source(std::vector<std::string> aPaths)
    : mPaths(std::move(aPaths))
  {
  }

  result<void> ForEachLine(
    const std::function<void(std::string_view)>& aVisitor) override
  {
    for (const auto& path : mPaths) {
      std::ifstream file(path);
      if (!file) {
        mFailedPath = path;
        return Fail(errc::InputOutput);
      }
      std::string line;
      while (std::getline(file, line)) {
        aVisitor(line);
      }
    }
    if (!mPaths.empty()) {
      return {};
    }
    std::string line;
    while (std::getline(std::cin, line)) {
      mStandardInput.push_back(line);
    }
    for (const auto& inputLine : mStandardInput) {
      aVisitor(inputLine);
    }
    return {};
  }

  const std::string& FailedPath() const { return mFailedPath; }

private:
  std::vector<std::string> mPaths;
  std::vector<std::string> mStandardInput;
  std::string mFailedPath;
};

/// Time of day in UTC with milliseconds.
std::string
TimeText(std::int64_t aTimeMs)
{
  const std::time_t seconds = aTimeMs / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::snprintf(text,
                sizeof(text),
                "%02d:%02d:%02d.%03d",
                parts.tm_hour,
                parts.tm_min,
                parts.tm_sec,
                static_cast<int>(aTimeMs % kMsPerSecond));
  return text;
}

std::string
EventText(const log_line& aEvent)
{
  auto text =
    TimeText(aEvent.mTimeMs) + "  " + aEvent.mInstance + "  " + aEvent.mEvent;
  for (const auto& [name, value] : aEvent.mFields) {
    if (name != "level" && !value.empty()) {
      text.append(" ").append(name).append("=").append(value);
    }
  }
  return text;
}

json
ToJson(const diagnosis& aDiagnosis)
{
  auto events = json::array();
  for (const auto& event : aDiagnosis.mEvents) {
    events.push_back({ { "time_ms", event.mTimeMs },
                       { "instance", event.mInstance },
                       { "event", event.mEvent },
                       { "fields", event.mFields } });
  }
  return { { "headline", aDiagnosis.mHeadline },
           { "findings", aDiagnosis.mFindings },
           { "events", events },
           { "unreadable_lines", aDiagnosis.mUnreadableLines },
           { "dropped_lines", aDiagnosis.mDroppedLines } };
}

std::vector<std::string>
ToLines(const diagnosis& aDiagnosis)
{
  std::vector<std::string> lines{ aDiagnosis.mHeadline };
  for (const auto& finding : aDiagnosis.mFindings) {
    lines.push_back("  " + finding);
  }
  for (const auto& event : aDiagnosis.mEvents) {
    lines.push_back(EventText(event));
  }
  if (aDiagnosis.mDroppedLines > 0) {
    lines.push_back("Instances dropped " +
                    std::to_string(aDiagnosis.mDroppedLines) +
                    " log lines under load; events may be missing.");
  }
  if (aDiagnosis.mUnreadableLines > 0) {
    lines.push_back(std::to_string(aDiagnosis.mUnreadableLines) +
                    " input lines could not be parsed as log lines.");
  }
  return lines;
}

} // namespace

exit_code
RunExplain(const tool_options& aOptions, reporter& aReporter)
{
  file_log_source logs(aOptions.mFiles);
  const auto diagnosed = Explain(logs, *aOptions.mSubject, aOptions.mWindow);
  if (diagnosed) {
    aReporter.Print(ToJson(*diagnosed), ToLines(*diagnosed));
    return exit_code::Done;
  }
  if (diagnosed.error() == errc::NotFound) {
    return aReporter.Usage(
      "No log line mentions the subject. A request without a log line did not "
      "arrive completely, or its instance stopped before the answer: look for "
      "the events request_unreadable, left and started at that time.");
  }
  return aReporter.Usage(logs.FailedPath() + ": " +
                         diagnosed.error().message());
}

} // namespace cowslipline
