#include "apps/cowslipline/file_commands.h"

#include "apps/cowslipline/file_reader.h"
#include "apps/cowslipline/status_commands.h"
#include "apps/cowslipline/store_session.h"

namespace cowslipline {

namespace {

using nlohmann::json;

struct content_counts
{
  std::size_t mTargets = 0;
  std::size_t mRoutes = 0;
};

content_counts
Count(const configuration_content& aContent)
{
  content_counts counts;
  for (const auto& definition : aContent.mServices) {
    counts.mTargets += definition.mService.mTargets.size();
    counts.mRoutes += definition.mRoutes.size();
  }
  return counts;
}

/// Reads and checks the files; on failure the mistakes are printed.
tl::expected<configuration_content, exit_code>
ReadContent(const tool_options& aOptions, reporter& aReporter)
{
  const auto files = ReadServiceFiles(aOptions.mFiles);
  if (!files) {
    return tl::unexpected<exit_code>(aReporter.Usage(files.error()));
  }
  auto content = ParseServiceFiles(*files);
  if (!content) {
    return tl::unexpected<exit_code>(aReporter.Mistakes(content.error()));
  }
  return std::move(*content);
}

/// Prints what a publication of the content would change.
exit_code
PrintChanges(const configuration_content& aContent,
             const tool_options& aOptions,
             reporter& aReporter)
{
  store_session session(*aOptions.mStore);
  const auto inForce =
    session.Run([](publisher& aPublisher, yield_context aYield) {
      return aPublisher.ReadInForce(aYield);
    });
  if (!inForce) {
    return aReporter.StoreError(inForce.error());
  }
  const auto merged = MergeContent(inForce->mContent, aContent);
  if (!merged) {
    return aReporter.Outcome(publication_refused{ merged.error() }, {}, {});
  }
  const auto changes = DescribeChanges(inForce->mContent, *merged);
  auto lines = changes;
  lines.push_back("changes against version " +
                  std::to_string(inForce->mHead.mVersion) + ": " +
                  std::to_string(changes.size()));
  aReporter.Print({ { "outcome", "compared" },
                    { "version", inForce->mHead.mVersion },
                    { "changes", changes } },
                  lines);
  return exit_code::Done;
}

} // namespace

exit_code
RunCheck(const tool_options& aOptions, reporter& aReporter)
{
  const auto content = ReadContent(aOptions, aReporter);
  if (!content) {
    return content.error();
  }
  const auto counts = Count(*content);
  aReporter.Print(
    { { "outcome", "valid" },
      { "services", content->mServices.size() },
      { "targets", counts.mTargets },
      { "routes", counts.mRoutes },
      { "organisations", content->mOrganisations.size() },
      { "keys", content->mKeys.size() } },
    { "valid: " + std::to_string(content->mServices.size()) + " services, " +
      std::to_string(counts.mTargets) + " targets, " +
      std::to_string(counts.mRoutes) + " routes, " +
      std::to_string(content->mOrganisations.size()) + " organisations, " +
      std::to_string(content->mKeys.size()) + " keys" });
  return exit_code::Done;
}

exit_code
RunDiff(const tool_options& aOptions, reporter& aReporter)
{
  const auto content = ReadContent(aOptions, aReporter);
  return content ? PrintChanges(*content, aOptions, aReporter)
                 : content.error();
}

exit_code
RunPublish(const tool_options& aOptions, reporter& aReporter)
{
  const auto content = ReadContent(aOptions, aReporter);
  if (!content) {
    return content.error();
  }
  if (aOptions.mIsDryRun) {
    return PrintChanges(*content, aOptions, aReporter);
  }
  store_session session(*aOptions.mStore);
  const auto outcome =
    session.Run([&](publisher& aPublisher, yield_context aYield) {
      return aPublisher.Publish(
        *content, { aOptions.mAuthor, aOptions.mExpectedVersion }, aYield);
    });
  if (!outcome) {
    return aReporter.StoreError(outcome.error());
  }
  return ReportAndWait(*outcome, aOptions, aReporter);
}

} // namespace cowslipline
