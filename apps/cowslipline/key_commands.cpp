#include "apps/cowslipline/key_commands.h"

#include "apps/cowslipline/file_reader.h"
#include "apps/cowslipline/store_session.h"

#include <algorithm>

namespace cowslipline {

exit_code
RunKeysIssue(const tool_options& aOptions, reporter& aReporter)
{
  const auto secret = ReadFleetSecret(aOptions.mSecretFile);
  if (!secret) {
    return aReporter.Usage(secret.error());
  }
  const auto issued =
    IssueKey(*secret,
             aOptions.mOrganisation,
             aOptions.mKeyId.empty() ? MakeKeyId() : aOptions.mKeyId);
  const auto& id = issued.mDefinition.mId;
  store_session session(*aOptions.mStore);
  const auto outcome =
    session.Run([&](publisher& aPublisher, yield_context aYield) {
      return aPublisher.AddKey(
        issued.mDefinition,
        { aOptions.mAuthor + " (key " + id + " issued)", {} },
        aYield);
    });
  if (!outcome) {
    if (outcome.error() == errc::StoreAnswerLost) {
      aReporter.Progress("withdraw key " + id + " if it is listed");
    }
    return aReporter.StoreError(outcome.error());
  }
  return aReporter.Outcome(
    *outcome,
    { { "id", id }, { "key", issued.mText } },
    { "key " + id + " of " + aOptions.mOrganisation + ", shown only now:",
      issued.mText });
}

exit_code
RunKeysWithdraw(const tool_options& aOptions, reporter& aReporter)
{
  store_session session(*aOptions.mStore);
  const auto outcome =
    session.Run([&](publisher& aPublisher, yield_context aYield) {
      return aPublisher.WithdrawKey(
        aOptions.mKeyId,
        { aOptions.mAuthor + " (key " + aOptions.mKeyId + " withdrawn)", {} },
        aYield);
    });
  if (!outcome) {
    return aReporter.StoreError(outcome.error());
  }
  return aReporter.Outcome(*outcome,
                           { { "id", aOptions.mKeyId } },
                           { "key " + aOptions.mKeyId + " is withdrawn" });
}

exit_code
RunKeysList(const tool_options& aOptions, reporter& aReporter)
{
  store_session session(*aOptions.mStore);
  const auto inForce =
    session.Run([](publisher& aPublisher, yield_context aYield) {
      return aPublisher.ReadInForce(aYield);
    });
  if (!inForce) {
    return aReporter.StoreError(inForce.error());
  }
  auto keys = inForce->mContent.mKeys;
  std::sort(
    keys.begin(), keys.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.mOrganisationName, aLeft.mId) <
             std::tie(aRight.mOrganisationName, aRight.mId);
    });
  auto entries = nlohmann::json::array();
  std::vector<std::string> lines;
  for (const auto& key : keys) {
    entries.push_back({ { "id", key.mId },
                        { "organisation", key.mOrganisationName },
                        { "withdrawn", key.mIsWithdrawn } });
    lines.push_back(key.mOrganisationName + "  " + key.mId +
                    (key.mIsWithdrawn ? "  withdrawn" : ""));
  }
  aReporter.Print(
    { { "version", inForce->mHead.mVersion }, { "keys", std::move(entries) } },
    lines);
  return exit_code::Done;
}

} // namespace cowslipline
