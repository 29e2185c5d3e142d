#include "modules/configuration/content_diff.h"

#include <algorithm>
#include <cstdio>
#include <initializer_list>
#include <map>
#include <string_view>

namespace cowslipline {

namespace {

/// Values of one entry by the names of their keys in service files.
using properties = std::map<std::string, std::string>;
/// Entries by titles such as "service ledger".
using titled_entries = std::map<std::string, properties>;

std::string
Concatenate(std::initializer_list<std::string_view> aParts)
{
  std::string text;
  for (const auto part : aParts) {
    text += part;
  }
  return text;
}

std::string
FormatBoolean(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string
FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%g", aValue);
  return text;
}

std::string
FormatEndpoint(const target& aTarget)
{
  const bool isVersion6 = aTarget.mHost.find(':') != std::string::npos;
  return (isVersion6 ? "[" + aTarget.mHost + "]" : aTarget.mHost) + ":" +
         std::to_string(aTarget.mPort);
}

std::string
Join(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const auto& text : aTexts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

struct check_formatter
{
  void operator()(const status_check& aCheck) const
  {
    std::vector<std::string> texts;
    for (const auto status : aCheck.mAllowed) {
      texts.push_back(std::to_string(status));
    }
    mValues["answer_status"] = Join(texts);
  }
  void operator()(const digest_check& aCheck) const
  {
    mValues["answer_digest_header"] = aCheck.mHeader;
  }
  void operator()(const field_check& aCheck) const
  {
    mValues["answer_json_field"] = aCheck.mField;
  }
  properties& mValues;
};

properties
Describe(const route_definition& aDefinition)
{
  const auto& value = aDefinition.mRoute;
  auto organisations = aDefinition.mOrganisationNames;
  std::sort(organisations.begin(), organisations.end());
  properties values{
    { "method", value.mMethod },
    { "path", value.mPathPrefix },
    { "open", FormatBoolean(value.mIsOpen) },
    { "organisations", organisations.empty() ? "all" : Join(organisations) },
    { "idempotent", FormatBoolean(value.mIsIdempotent) },
    { "deadline_ms", std::to_string(value.mDeadline.count()) },
    { "request_bytes", std::to_string(value.mRequestBytesLimit) },
    { "answer_bytes", std::to_string(value.mAnswerBytesLimit) },
    { "cancel_on_disconnect", FormatBoolean(value.mCancelOnDisconnect) },
    { "answer_status", "none" },
    { "answer_digest_header", "none" },
    { "answer_json_field", "none" },
  };
  for (const auto& check : value.mAnswerChecks) {
    std::visit(check_formatter{ values }, check);
  }
  return values;
}

void
AddService(const service_definition& aDefinition, titled_entries& aEntries)
{
  const auto& value = aDefinition.mService;
  aEntries["service " + value.mName] = {
    { "floor", std::to_string(value.mFloor) },
    { "slots", std::to_string(value.mSlotsPerTarget) },
    { "connections", std::to_string(value.mConnectionsPerTarget) },
  };
  for (const auto& entry : value.mTargets) {
    aEntries["target " + value.mName + "/" + entry.mId] = {
      { "address", FormatEndpoint(entry) },
      { "zone", entry.mAvailabilityZone },
      { "draining", FormatBoolean(entry.mIsDraining) },
    };
  }
  for (const auto& entry : aDefinition.mRoutes) {
    auto& values = aEntries["route " + entry.mRoute.mId];
    values = Describe(entry);
    values["service"] = value.mName;
  }
}

titled_entries
DescribeContent(const configuration_content& aContent)
{
  titled_entries entries;
  for (const auto& definition : aContent.mServices) {
    AddService(definition, entries);
  }
  for (const auto& value : aContent.mOrganisations) {
    entries["organisation " + value.mName] = {
      { "rate", FormatNumber(value.mRate) },
      { "burst", FormatNumber(value.mBurst) },
    };
  }
  for (const auto& value : aContent.mKeys) {
    entries["key " + value.mId] = {
      { "organisation", value.mOrganisationName },
      { "withdrawn", FormatBoolean(value.mIsWithdrawn) },
    };
  }
  return entries;
}

std::string
Format(const properties& aValues)
{
  std::string text;
  for (const auto& [key, value] : aValues) {
    text += Concatenate({ text.empty() ? "" : ", ", key, " ", value });
  }
  return text;
}

void
Compare(const std::string& aTitle,
        const properties& aBefore,
        const properties& aAfter,
        std::vector<std::string>& aChanges)
{
  for (const auto& [key, value] : aAfter) {
    const auto& before = aBefore.at(key);
    if (before != value) {
      aChanges.push_back(
        Concatenate({ aTitle, ": ", key, " ", before, " -> ", value }));
    }
  }
}

/// Keys in force whose organisation is missing admit nobody; an operator who
/// removes an organisation by mistake must see it.
void
AddIdleKeys(const configuration_content& aContent,
            const titled_entries& aBefore,
            const titled_entries& aAfter,
            std::vector<std::string>& aChanges)
{
  std::map<std::string, std::size_t> counts;
  for (const auto& key : aContent.mKeys) {
    const auto title = "organisation " + key.mOrganisationName;
    if (!key.mIsWithdrawn && aAfter.count(title) == 0 &&
        aBefore.count(title) > 0) {
      ++counts[title];
    }
  }
  for (const auto& [title, count] : counts) {
    aChanges.push_back(title + ": keys that stop working until it is back: " +
                       std::to_string(count));
  }
}

} // namespace

std::vector<std::string>
DescribeChanges(const configuration_content& aBefore,
                const configuration_content& aAfter)
{
  const auto before = DescribeContent(aBefore);
  const auto after = DescribeContent(aAfter);
  std::vector<std::string> changes;
  for (const auto& [title, values] : before) {
    if (after.count(title) == 0) {
      changes.push_back(title + ": removed");
    }
  }
  for (const auto& [title, values] : after) {
    const auto found = before.find(title);
    if (found == before.end()) {
      changes.push_back(title + ": added (" + Format(values) + ")");
    } else {
      Compare(title, found->second, values, changes);
    }
  }
  AddIdleKeys(aAfter, before, after, changes);
  std::sort(changes.begin(), changes.end());
  return changes;
}

} // namespace cowslipline
