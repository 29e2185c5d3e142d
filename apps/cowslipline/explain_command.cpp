#include "apps/cowslipline/explain_command.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::int64_t kMsPerSecond = 1000;

/// Files are read anew each time; standard input is kept.
class opened_logs final : public log_source
{
public:
  explicit opened_logs(std::vector<std::string> aPaths)
    : mPaths(std::move(aPaths))
  {
  }

  result<void> ForEachLine(
    const std::function<void(std::string_view)>& aVisitor) override
  {
    for (const auto& path : mPaths) {
      std::ifstream file(path);
      if (!file) {
        mUnreadablePath = path;
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
      mInput.push_back(line);
    }
    for (const auto& kept : mInput) {
      aVisitor(kept);
    }
    return {};
  }

  const std::string& UnreadablePath() const { return mUnreadablePath; }

private:
  std::vector<std::string> mPaths;
  std::vector<std::string> mInput;
  std::string mUnreadablePath;
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
ToJson(const story& aStory)
{
  auto events = json::array();
  for (const auto& event : aStory.mEvents) {
    events.push_back({ { "time_ms", event.mTimeMs },
                       { "instance", event.mInstance },
                       { "event", event.mEvent },
                       { "fields", event.mFields } });
  }
  return { { "headline", aStory.mHeadline },
           { "findings", aStory.mFindings },
           { "events", events },
           { "unreadable_lines", aStory.mUnreadable },
           { "dropped_lines", aStory.mDropped } };
}

std::vector<std::string>
ToLines(const story& aStory)
{
  std::vector<std::string> lines{ aStory.mHeadline };
  for (const auto& finding : aStory.mFindings) {
    lines.push_back("  " + finding);
  }
  for (const auto& event : aStory.mEvents) {
    lines.push_back(EventText(event));
  }
  if (aStory.mDropped > 0) {
    lines.push_back("Instances dropped " + std::to_string(aStory.mDropped) +
                    " lines under load: the story may lack some.");
  }
  if (aStory.mUnreadable > 0) {
    lines.push_back(std::to_string(aStory.mUnreadable) +
                    " lines of the input are no log lines.");
  }
  return lines;
}

} // namespace

exit_code
RunExplain(const tool_options& aOptions, reporter& aReporter)
{
  opened_logs logs(aOptions.mFiles);
  const auto told = Explain(logs, *aOptions.mSubject, aOptions.mWindow);
  if (told) {
    aReporter.Print(ToJson(*told), ToLines(*told));
    return exit_code::Done;
  }
  if (told.error() == errc::NotFound) {
    return aReporter.Usage(
      "No log line speaks of it. A request without a line never arrived whole, "
      "or its instance ended before the answer: look for request_unreadable, "
      "left and started at that time.");
  }
  return aReporter.Usage(logs.UnreadablePath() + ": " + told.error().message());
}

} // namespace cowslipline
