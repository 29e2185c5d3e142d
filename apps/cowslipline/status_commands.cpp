#include "apps/cowslipline/status_commands.h"

#include "core/time.h"

#include <algorithm>
#include <thread>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollPause{ 200 };

std::vector<instance_status>
ReadAll(const std::vector<endpoint>& aAdmin)
{
  std::vector<instance_status> statuses;
  statuses.reserve(aAdmin.size());
  for (const auto& admin : aAdmin) {
    statuses.push_back(ReadStatus(admin));
  }
  return statuses;
}

json
ToJson(const std::vector<instance_status>& aStatuses)
{
  auto entries = json::array();
  for (const auto& status : aStatuses) {
    json entry{ { "address", status.mAddress },
                { "reached", status.mIsReached } };
    if (status.mIsReached) {
      entry.update({ { "instance", status.mInstance },
                     { "version", status.mVersion },
                     { "ready", status.mIsReady } });
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

std::string
ToLine(const instance_status& aStatus)
{
  if (!aStatus.mIsReached) {
    return aStatus.mAddress + "  no answer";
  }
  return aStatus.mAddress + "  " + aStatus.mInstance + "  version " +
         std::to_string(aStatus.mVersion) + "  " +
         (aStatus.mIsReady ? "ready" : "not ready");
}

std::vector<std::string>
ToLines(const std::vector<instance_status>& aStatuses)
{
  std::vector<std::string> lines;
  lines.reserve(aStatuses.size());
  for (const auto& status : aStatuses) {
    lines.push_back(ToLine(status));
  }
  return lines;
}

/// Polls until all instances have the version or the time is over. Returns
/// the statuses of those that lack it.
std::vector<instance_status>
WaitForVersion(std::uint64_t aVersion,
               const tool_options& aOptions,
               reporter& aReporter)
{
  const auto end = ReadBootClock() + aOptions.mTimeout;
  auto missing = aOptions.mAdmin.size() + 1;
  while (true) {
    auto statuses = ReadAll(aOptions.mAdmin);
    statuses.erase(std::remove_if(statuses.begin(),
                                  statuses.end(),
                                  [aVersion](const auto& aStatus) {
                                    return aStatus.mIsReached &&
                                           aStatus.mVersion >= aVersion;
                                  }),
                   statuses.end());
    if (statuses.size() < missing) {
      missing = statuses.size();
      aReporter.Progress(
        "in force at " + std::to_string(aOptions.mAdmin.size() - missing) +
        " of " + std::to_string(aOptions.mAdmin.size()) + " instances");
    }
    if (statuses.empty() || ReadBootClock() >= end) {
      return statuses;
    }
    std::this_thread::sleep_for(kPollPause);
  }
}

std::uint64_t
VersionOf(const publication_outcome& aOutcome)
{
  if (const auto* accepted = std::get_if<publication_accepted>(&aOutcome)) {
    return accepted->mVersion;
  }
  const auto* unchanged = std::get_if<publication_unchanged>(&aOutcome);
  return unchanged == nullptr ? 0 : unchanged->mVersion;
}

} // namespace

exit_code
RunStatus(const tool_options& aOptions, reporter& aReporter)
{
  const auto statuses = ReadAll(aOptions.mAdmin);
  aReporter.Print({ { "instances", ToJson(statuses) } }, ToLines(statuses));
  return std::all_of(statuses.begin(),
                     statuses.end(),
                     [](const auto& aStatus) { return aStatus.mIsReady; })
           ? exit_code::Done
           : exit_code::NotReached;
}

exit_code
ReportAndWait(const publication_outcome& aOutcome,
              const tool_options& aOptions,
              reporter& aReporter)
{
  const auto version = VersionOf(aOutcome);
  if (!aOptions.mIsWaiting || version == 0) {
    return aReporter.Outcome(aOutcome, json::object(), {});
  }
  const auto missing = WaitForVersion(version, aOptions, aReporter);
  std::vector<std::string> lines;
  lines.reserve(missing.size());
  for (const auto& status : missing) {
    lines.push_back("not in force at " + ToLine(status));
  }
  const auto code =
    aReporter.Outcome(aOutcome, { { "missing", ToJson(missing) } }, lines);
  return missing.empty() ? code : exit_code::NotReached;
}

} // namespace cowslipline
