#include "modules/configuration/service_file_parser.h"

#include "modules/configuration/codec.h"

#include <algorithm>

#include <sodium.h>

namespace cowslipline {

namespace {

constexpr std::string_view kTables = "[service], [[target]], [[route]], "
                                     "[[organisation]], [[key]]";

std::vector<answer_check>
ReadChecks(const table_reader& aReader)
{
  std::vector<answer_check> checks;
  if (aReader.Has("answer_status")) {
    const auto numbers = aReader.IntegerList("answer_status");
    checks.emplace_back(
      status_check{ std::vector<int>(numbers.begin(), numbers.end()) });
  }
  if (aReader.Has("answer_digest_header")) {
    checks.emplace_back(digest_check{ aReader.Text("answer_digest_header") });
  }
  if (aReader.Has("answer_json_field")) {
    checks.emplace_back(field_check{ aReader.Text("answer_json_field") });
  }
  return checks;
}

digest32
ReadDigest(const std::string& aHex)
{
  digest32 digest{};
  sodium_hex2bin(digest.data(),
                 digest.size(),
                 aHex.data(),
                 aHex.size(),
                 nullptr,
                 nullptr,
                 nullptr);
  return digest;
}

route
ReadRouteValues(const table_reader& aReader)
{
  route value;
  value.mId = aReader.Text("id");
  value.mMethod = aReader.Text("method");
  value.mPathPrefix = aReader.Text("path");
  value.mIsOpen = aReader.Boolean("open", false);
  // Only safe methods are idempotent by default: a forgotten key must not let
  // an order run twice.
  value.mIsIdempotent = aReader.Boolean(
    "idempotent", value.mMethod == "GET" || value.mMethod == "HEAD");
  value.mDeadline = std::chrono::milliseconds(aReader.Integer("deadline_ms"));
  value.mRequestBytesLimit =
    static_cast<std::size_t>(aReader.Integer("request_bytes"));
  value.mAnswerBytesLimit =
    static_cast<std::size_t>(aReader.Integer("answer_bytes"));
  value.mCancelOnDisconnect =
    aReader.Boolean("cancel_on_disconnect", value.mIsIdempotent);
  value.mAnswerChecks = ReadChecks(aReader);
  return value;
}

} // namespace

void
service_file_parser::AddFile(const text_file& aFile)
{
  mFile = aFile.mName;
  if (!mFiles.emplace(mFile, place{ mFile, 1, "" }).second) {
    Report(1, "", "the file is given twice", "give each file once");
    return;
  }
  const auto root = ParseToml(aFile, mDiagnostics);
  if (!root) {
    return;
  }
  mService = {};
  mTargetIds.clear();
  mTargetAddresses.clear();
  CheckRoot(*root);
  ReadTables(*root, "target", &service_file_parser::ReadTarget);
  ReadTables(*root, "route", &service_file_parser::ReadRoute);
  ReadTables(*root, "organisation", &service_file_parser::ReadOrganisation);
  ReadTables(*root, "key", &service_file_parser::ReadKey);
  ReadService(*root);
}

void
service_file_parser::CheckRoot(const toml::table& aRoot)
{
  for (const auto& [key, node] : aRoot) {
    const auto name = std::string(key.str());
    const auto line = key.source().begin.line;
    const auto isTable = [&](const key_schema& aEntry) {
      return aEntry.mTable == name;
    };
    const auto& schema = ServiceFileSchema();
    if (std::none_of(schema.begin(), schema.end(), isTable)) {
      Report(line, name, "unknown key", "allowed: " + std::string(kTables));
    } else if (name == "service" ? !node.is_table()
                                 : !node.is_array_of_tables()) {
      const auto form = name == "service" ? "[service]" : "[[" + name + "]]";
      Report(line, name, "wrong kind of table", "write " + form);
    } else if ((name == "target" || name == "route") &&
               !aRoot.contains("service")) {
      Report(line,
             name,
             "the file has no [service]",
             "allowed: [[target]] and [[route]] in the file of their service");
    }
  }
}

void
service_file_parser::ReadTables(
  const toml::table& aRoot,
  std::string_view aName,
  void (service_file_parser::*aRead)(table_reader&))
{
  const auto* node = aRoot.get(aName);
  if (node == nullptr || !node->is_array_of_tables()) {
    return;
  }
  for (const auto& entry : *node->as_array()) {
    table_reader reader(
      *entry.as_table(), aName, ServiceFileSchema(), mFile, mDiagnostics);
    (this->*aRead)(reader);
  }
}

void
service_file_parser::ReadService(const toml::table& aRoot)
{
  const auto* table = aRoot["service"].as_table();
  if (table == nullptr) {
    return;
  }
  table_reader reader(
    *table, "service", ServiceFileSchema(), mFile, mDiagnostics);
  auto& value = mService.mService;
  value.mName = reader.Text("name");
  value.mFloor = static_cast<std::uint32_t>(reader.Integer("floor"));
  value.mSlotsPerTarget = static_cast<std::uint32_t>(reader.Integer("slots"));
  value.mConnectionsPerTarget =
    static_cast<std::uint32_t>(reader.Integer("connections"));
  Claim(mServices, value.mName, reader, "name");
  CheckFloor(reader);
  CheckSize(reader);
  mContent.mServices.push_back(std::move(mService));
}

void
service_file_parser::CheckFloor(table_reader& aReader)
{
  const auto count = mService.mService.mTargets.size();
  if (count == 0) {
    aReader.Report(
      "name", "the service has no targets", "add a [[target]] with an address");
    return;
  }
  if (mService.mService.mFloor > count) {
    aReader.Report("floor",
                   std::to_string(mService.mService.mFloor) +
                     " is above the number of targets",
                   "allowed: 1 to " + std::to_string(count));
  }
}

void
service_file_parser::CheckSize(table_reader& aReader)
{
  const auto bytes = EncodedBytes(mService);
  if (bytes > kLargestServiceBytes) {
    aReader.Report("name",
                   "the service takes " + std::to_string(bytes) + " bytes",
                   "allowed: at most " + std::to_string(kLargestServiceBytes) +
                     " bytes encoded; split the service");
  }
}

void
service_file_parser::ReadTarget(table_reader& aReader)
{
  target value;
  const auto address = aReader.Text("address");
  value.mId = aReader.Has("id") ? aReader.Text("id") : address;
  value.mAvailabilityZone = aReader.Text("zone");
  value.mIsDraining = aReader.Boolean("draining", false);
  if (const auto parsed = ParseEndpoint(address)) {
    value.mHost = parsed->mHost;
    value.mPort = parsed->mPort;
  }
  if (aReader.Has("id") || aReader.Has("address")) {
    Claim(mTargetIds, value.mId, aReader, aReader.Has("id") ? "id" : "address");
  }
  if (aReader.Has("id")) {
    Claim(mTargetAddresses, address, aReader, "address");
  }
  mService.mService.mTargets.push_back(std::move(value));
}

void
service_file_parser::ReadRoute(table_reader& aReader)
{
  route_definition value;
  value.mRoute = ReadRouteValues(aReader);
  value.mOrganisationNames = aReader.TextList("organisations");
  Claim(mRouteIds, value.mRoute.mId, aReader, "id");
  if (aReader.Has("path")) {
    Claim(mRoutePaths,
          value.mRoute.mMethod + " " + value.mRoute.mPathPrefix,
          aReader,
          "path");
  }
  if (value.mRoute.mIsOpen && aReader.Has("organisations")) {
    aReader.Report("organisations",
                   "the route is open to all",
                   "remove organisations or set open = false");
  }
  for (const auto& name : value.mOrganisationNames) {
    Refer(name, aReader, "route", "organisations");
  }
  mService.mRoutes.push_back(std::move(value));
}

void
service_file_parser::ReadOrganisation(table_reader& aReader)
{
  organisation value;
  value.mName = aReader.Text("name");
  value.mRate = aReader.Number("rate");
  value.mBurst = aReader.Number("burst");
  Claim(mOrganisations, value.mName, aReader, "name");
  mContent.mOrganisations.push_back(std::move(value));
}

void
service_file_parser::ReadKey(table_reader& aReader)
{
  key_definition value;
  value.mId = aReader.Text("id");
  value.mOrganisationName = aReader.Text("organisation");
  value.mDigest = ReadDigest(aReader.Text("digest"));
  value.mIsWithdrawn = aReader.Boolean("withdrawn", false);
  Claim(mKeyIds, value.mId, aReader, "id");
  Claim(mKeyDigests, aReader.Text("digest"), aReader, "digest");
  // A withdrawn key may outlive its organisation.
  if (aReader.Has("organisation") && !value.mIsWithdrawn) {
    Refer(value.mOrganisationName, aReader, "key", "organisation");
  }
  mContent.mKeys.push_back(std::move(value));
}

void
service_file_parser::Claim(places& aPlaces,
                           const std::string& aValue,
                           table_reader& aReader,
                           std::string_view aKey)
{
  if (aValue.empty()) {
    return;
  }
  const auto [found, isNew] = aPlaces.emplace(
    aValue, place{ mFile, aReader.LineOf(aKey), std::string(aKey) });
  if (!isNew) {
    aReader.Report(aKey,
                   "\"" + aValue + "\" is already used at " +
                     found->second.mFile + ":" +
                     std::to_string(found->second.mLine),
                   "choose another value or remove one of them");
  }
}

void
service_file_parser::Refer(const std::string& aOrganisation,
                           const table_reader& aReader,
                           std::string_view aTable,
                           std::string_view aKey)
{
  mReferences.emplace_back(
    aOrganisation,
    place{ mFile,
           aReader.LineOf(aKey),
           std::string(aTable) + "." + std::string(aKey) });
}

void
service_file_parser::CheckReferences()
{
  for (const auto& [name, where] : mReferences) {
    if (mOrganisations.count(name) == 0) {
      mDiagnostics.push_back({ where.mFile,
                               where.mLine,
                               where.mKey,
                               "unknown organisation \"" + name + "\"",
                               "add an [[organisation]] with this name" });
    }
  }
}

void
service_file_parser::Report(std::size_t aLine,
                            std::string aKey,
                            std::string aProblem,
                            std::string aHint)
{
  mDiagnostics.push_back(
    { mFile, aLine, std::move(aKey), std::move(aProblem), std::move(aHint) });
}

checked<configuration_content>
service_file_parser::Finish()
{
  CheckReferences();
  if (mDiagnostics.empty()) {
    return std::move(mContent);
  }
  std::stable_sort(mDiagnostics.begin(),
                   mDiagnostics.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return std::tie(aLeft.mFile, aLeft.mLine) <
                            std::tie(aRight.mFile, aRight.mLine);
                   });
  return tl::unexpected<diagnostics>(std::move(mDiagnostics));
}

} // namespace cowslipline
