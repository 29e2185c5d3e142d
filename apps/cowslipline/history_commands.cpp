#include "apps/cowslipline/history_commands.h"

#include "apps/cowslipline/store_session.h"

#include <ctime>

namespace cowslipline {

namespace {

std::string
FormatTime(wall_milliseconds aTime)
{
  constexpr wall_milliseconds kMillisecondsPerSecond = 1000;
  const auto seconds = static_cast<std::time_t>(aTime / kMillisecondsPerSecond);
  std::tm parts{};
  char text[32] = "";
  if (gmtime_r(&seconds, &parts) != nullptr) {
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  }
  return text;
}

} // namespace

exit_code
RunHistory(const tool_options& aOptions, reporter& aReporter)
{
  store_session session(*aOptions.mStore);
  const auto heads =
    session.Run([](publisher& aPublisher, yield_context aYield) {
      return aPublisher.ReadHistory(aYield);
    });
  if (!heads) {
    return aReporter.StoreError(heads.error());
  }
  auto entries = nlohmann::json::array();
  std::vector<std::string> lines;
  for (const auto& head : *heads) {
    const auto time = FormatTime(head.mPublishedAt);
    entries.push_back({ { "version", head.mVersion },
                        { "published_at", time },
                        { "author", head.mAuthor },
                        { "publication_id", head.mPublicationId },
                        { "chunks", head.mChunks.size() } });
    lines.push_back(std::to_string(head.mVersion) + "  " + time + "  " +
                    head.mAuthor);
  }
  if (lines.empty()) {
    lines.emplace_back("nothing was published yet");
  }
  aReporter.Print({ { "versions", std::move(entries) } }, lines);
  return exit_code::Done;
}

exit_code
RunRollback(const tool_options& aOptions, reporter& aReporter)
{
  store_session session(*aOptions.mStore);
  const auto outcome =
    session.Run([&](publisher& aPublisher, yield_context aYield) {
      return aPublisher.Rollback(aOptions.mVersion,
                                 { aOptions.mAuthor + " (rollback to version " +
                                     std::to_string(aOptions.mVersion) + ")",
                                   {} },
                                 aYield);
    });
  if (!outcome) {
    return aReporter.StoreError(outcome.error());
  }
  return aReporter.Outcome(*outcome, nlohmann::json::object(), {});
}

} // namespace cowslipline
