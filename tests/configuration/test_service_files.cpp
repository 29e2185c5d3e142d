#include "modules/configuration/configuration.h"
#include "tests/configuration/service_file_text.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;
using cowslipline::testing::service_file_text;

namespace {

struct wrong_file
{
  std::size_t mReplacedLine;
  const char* mReplacement;
  std::size_t mLine;
  const char* mKey;
  const char* mRemedy; ///< Part of the hint.
};

// One case for each line.
// clang-format off
const wrong_file kWrongFiles[] = {
  // Syntax and tables.
  { 1, "[service", 1, "", "valid TOML" },
  { 2, "name = quotes", 2, "", "valid TOML" },
  { 3, "floor = 1\nfloor = 2", 4, "", "valid TOML" },
  { 5, "address = \"127.0.0.1", 5, "", "valid TOML" },
  { 6, "zone = \"\xff\"", 6, "", "valid TOML" },
  { 1, "[servise]", 1, "servise", "[service]" },
  { 1, "[[service]]", 1, "service", "write [service]" },
  { 4, "[target]", 4, "target", "write [[target]]" },
  { 16, "[[organisation]]\nname = \"b\"\nrate = 1\n[key]", 19, "key", "[[key]]" },
  { 1, "version = 2\n[service]", 1, "version", "[[organisation]]" },
  // Service.
  { 2, "", 1, "service.name", "lower-case letters" },
  { 2, "name = \"Quotes\"", 2, "service.name", "lower-case letters" },
  { 2, "name = \"-quotes\"", 2, "service.name", "inner hyphens" },
  { 2, "name = 7", 2, "service.name", "characters" },
  { 2, "name = \"\"", 2, "service.name", "1 to 64" },
  { 2, "name = \"q\"\nslots = 0", 3, "service.slots", "1 to 10000" },
  { 2, "name = \"q\"\nslots = 2.5", 3, "service.slots", "1 to 10000" },
  { 2, "name = \"q\"\nconnections = 70000", 3, "service.connections", "65535" },
  { 3, "floor = 2", 3, "service.floor", "1 to 1" },
  { 3, "floor = 0", 3, "service.floor", "1 to 1000" },
  { 3, "flor = 1", 3, "service.flor", "name, floor, slots" },
  // Targets.
  { 5, "id = \"t1\"", 4, "target.address", "port from 1 to 65535" },
  { 5, "address = \"localhost:80\"", 5, "target.address", "IP number" },
  { 5, "address = \"10.0.0.1\"", 5, "target.address", "10.0.0.1:8080" },
  { 5, "address = \"10.0.0.1:0\"", 5, "target.address", "1 to 65535" },
  { 5, "address = \"10.0.0.1:65536\"", 5, "target.address", "1 to 65535" },
  { 5, "address = \"10.0.0.256:80\"", 5, "target.address", "IP number" },
  { 5, "address = \"fd00::1:80\"", 5, "target.address", "[fd00::1]:8080" },
  { 6, "zone = \"a b\"", 6, "target.zone", "letters, digits" },
  { 6, "draining = 1", 6, "target.draining", "true or false" },
  { 6, "id = \"t\"\n[[target]]\naddress = \"127.0.0.1:81\"\nid = \"t\"", 9, "target.id", "another value" },
  { 6, "[[target]]\naddress = \"127.0.0.1:8080\"", 7, "target.address", "another value" },
  { 6, "id = \"a\"\n[[target]]\nid = \"b\"\naddress = \"127.0.0.1:8080\"", 9, "target.address", "another value" },
  // Routes.
  { 8, "", 7, "route.id", "1 to 64" },
  { 9, "method = \"get\"", 9, "route.method", "GET, HEAD" },
  { 9, "method = \"BREW\"", 9, "route.method", "PATCH or DELETE" },
  { 10, "", 7, "route.path", "/orders/cutting" },
  { 10, "path = \"quotes\"", 10, "route.path", "/orders/cutting" },
  { 10, "path = \"/quotes/\"", 10, "route.path", "empty or dot" },
  { 10, "path = \"/a/../b\"", 10, "route.path", "dot segments" },
  { 10, "path = \"/a?b=c\"", 10, "route.path", "without query" },
  { 11, "open = \"yes\"", 11, "route.open", "true or false" },
  { 11, "organisations = [\"other\"]", 11, "route.organisations", "[[organisation]]" },
  { 11, "organisations = []", 11, "route.organisations", "1 to 1000 entries" },
  { 11, "organisations = [3]", 11, "route.organisations", "entries" },
  { 11, "open = true\norganisations = [\"acme\"]", 12, "route.organisations", "open = false" },
  { 11, "deadline_ms = 5", 11, "route.deadline_ms", "10 to 60000" },
  { 11, "request_bytes = 67108865", 11, "route.request_bytes", "67108864" },
  { 11, "answer_bytes = 0", 11, "route.answer_bytes", "1 to" },
  { 11, "answer_status = [99]", 11, "route.answer_status", "100 to 599" },
  { 11, "answer_status = 200", 11, "route.answer_status", "100 to 599" },
  { 11, "answer_digest_header = \"X Digest\"", 11, "route.answer_digest_header", "letters" },
  { 11, "answer_json_field = \"\"", 11, "route.answer_json_field", "1 to 64" },
  { 11, "idempotent = 0", 11, "route.idempotent", "true or false" },
  { 11, "[[route]]\nid = \"quotes.read\"\npath = \"/b\"", 12, "route.id", "another value" },
  { 11, "[[route]]\nid = \"b\"\npath = \"/quotes\"", 13, "route.path", "another value" },
  // Organisations and keys.
  { 13, "name = \"acme\"\nquota = 4", 14, "organisation.quota", "name, rate, burst" },
  { 14, "", 12, "organisation.rate", "0.001 to 1000000" },
  { 14, "rate = 0", 14, "organisation.rate", "0.001 to 1000000" },
  { 14, "rate = nan", 14, "organisation.rate", "0.001 to 1000000" },
  { 15, "burst = 1.9", 15, "organisation.burst", "2 to 1000000" },
  { 15, "[[organisation]]\nname = \"acme\"\nrate = 1", 16, "organisation.name", "another value" },
  { 17, "id = \"k_1\"", 17, "key.id", "inner hyphens" },
  { 18, "organisation = \"other\"", 18, "key.organisation", "[[organisation]]" },
  { 19, "digest = \"00ff\"", 19, "key.digest", "64 lower-case" },
  { 19, "", 16, "key.digest", "64 lower-case" },
};
// clang-format on

bool
Holds(const diagnostics& aFound, const wrong_file& aExpected)
{
  return std::any_of(aFound.begin(), aFound.end(), [&](const auto& aEntry) {
    return aEntry.mFile == "quotes.toml" && aEntry.mLine == aExpected.mLine &&
           aEntry.mKey == aExpected.mKey &&
           aEntry.mHint.find(aExpected.mRemedy) != std::string::npos;
  });
}

std::string
Describe(const diagnostics& aFound)
{
  std::string text = "found:";
  for (const auto& entry : aFound) {
    text += "\n" + FormatDiagnostic(entry);
  }
  return text;
}

configuration_content
ParseOne(const std::string& aText)
{
  auto parsed = ParseServiceFiles({ { "quotes.toml", aText } });
  CHECK_TEXT(parsed.has_value(),
             parsed ? "" : Describe(parsed.error()).c_str());
  return std::move(*parsed);
}

} // namespace

TEST_GROUP(service_files){};

// Guards against a mistake that is accepted, or reported at another place or
// without a remedy.
TEST(service_files, WrongFilesAreReportedWithPlaceAndRemedy)
{
  for (const auto& wrong : kWrongFiles) {
    const auto text =
      service_file_text::With(wrong.mReplacedLine, wrong.mReplacement);
    SECTION("line " + std::to_string(wrong.mReplacedLine) + ": " +
            wrong.mReplacement)
    {
      const auto parsed = ParseServiceFiles({ { "quotes.toml", text } });
      CHECK_FALSE(parsed.has_value());
      CHECK_TEXT(Holds(parsed.error(), wrong),
                 Describe(parsed.error()).c_str());
    }
  }
}

// Guards against an operator who has to correct one mistake for each run.
TEST(service_files, AllMistakesAreReportedAtOnceInOrder)
{
  const auto parsed = ParseServiceFiles(
    { { "a.toml", "[service]\nname = \"A\"\nfloor = -1\nsize = 2\n" },
      { "b.toml", "[[route]]\npath = \"x\"\n" } });
  CHECK_FALSE(parsed.has_value());
  std::string places;
  for (const auto& entry : parsed.error()) {
    places += entry.mFile + ":" + std::to_string(entry.mLine) + " ";
  }
  STRCMP_EQUAL("a.toml:2 a.toml:2 a.toml:3 a.toml:4 "
               "b.toml:1 b.toml:1 b.toml:2 ",
               places.c_str());
}

// Guards against duplicates that only appear when files are put together.
TEST(service_files, DuplicatesAcrossFilesNameBothPlaces)
{
  const auto text = service_file_text::Valid();
  const auto parsed =
    ParseServiceFiles({ { "a.toml", text }, { "b.toml", text } });
  CHECK_FALSE(parsed.has_value());
  const std::pair<const char*, std::size_t> expected[] = {
    { "service.name", 2 },       { "route.id", 8 }, { "route.path", 10 },
    { "organisation.name", 13 }, { "key.id", 17 },  { "key.digest", 19 },
  };
  LONGS_EQUAL(std::size(expected), parsed.error().size());
  for (const auto& entry : expected) {
    const auto place = "a.toml:" + std::to_string(entry.second);
    CHECK(std::any_of(
      parsed.error().begin(), parsed.error().end(), [&](const auto& aEntry) {
        return aEntry.mKey == entry.first && aEntry.mFile == "b.toml" &&
               aEntry.mProblem.find(place) != std::string::npos;
      }));
  }
  CHECK_FALSE(
    ParseServiceFiles({ { "a.toml", text }, { "a.toml", "" } }).has_value());
}

// Guards against defaults that are unsafe or make the shortest file longer.
TEST(service_files, TheShortestFileGetsSafeDefaults)
{
  const auto content = ParseOne("[service]\n"
                                "name = \"quotes\"\n"
                                "[[target]]\n"
                                "address = \"[fd00::1]:8080\"\n"
                                "[[route]]\n"
                                "id = \"quotes.read\"\n"
                                "path = \"/quotes\"\n"
                                "[[route]]\n"
                                "id = \"quotes.order\"\n"
                                "method = \"POST\"\n"
                                "path = \"/quotes\"\n");
  const auto& definition = content.mServices.at(0);
  LONGS_EQUAL(1, definition.mService.mFloor);
  LONGS_EQUAL(6, definition.mService.mSlotsPerTarget);
  LONGS_EQUAL(350, definition.mService.mConnectionsPerTarget);
  const auto& only = definition.mService.mTargets.at(0);
  STRCMP_EQUAL("[fd00::1]:8080", only.mId.c_str());
  STRCMP_EQUAL("fd00::1", only.mHost.c_str());
  LONGS_EQUAL(8080, only.mPort);
  const auto& read = definition.mRoutes.at(0).mRoute;
  CHECK(read.mIsIdempotent && read.mCancelOnDisconnect && !read.mIsOpen);
  STRCMP_EQUAL("GET", read.mMethod.c_str());
  LONGS_EQUAL(2000, read.mDeadline.count());
  LONGS_EQUAL(1 << 20, read.mRequestBytesLimit);
  LONGS_EQUAL(1 << 20, read.mAnswerBytesLimit);
  const auto& order = definition.mRoutes.at(1).mRoute;
  CHECK(!order.mIsIdempotent && !order.mCancelOnDisconnect);
}

// Guards against values that are read into another member.
TEST(service_files, EveryKeyReachesItsMember)
{
  const auto content = ParseOne(service_file_text::With(
    11,
    "organisations = [\"acme\"]\nidempotent = false\ndeadline_ms = 900\n"
    "request_bytes = 5\nanswer_bytes = 6\ncancel_on_disconnect = true\n"
    "answer_status = [200, 201]\nanswer_digest_header = \"X-Digest\"\n"
    "answer_json_field = \"price\""));
  const auto& definition = content.mServices.at(0).mRoutes.at(0);
  const auto& value = definition.mRoute;
  STRCMP_EQUAL("acme", definition.mOrganisationNames.at(0).c_str());
  CHECK(!value.mIsIdempotent && value.mCancelOnDisconnect);
  LONGS_EQUAL(900, value.mDeadline.count());
  LONGS_EQUAL(5, value.mRequestBytesLimit);
  LONGS_EQUAL(6, value.mAnswerBytesLimit);
  LONGS_EQUAL(201,
              std::get<status_check>(value.mAnswerChecks.at(0)).mAllowed[1]);
  STRCMP_EQUAL(
    "X-Digest",
    std::get<digest_check>(value.mAnswerChecks.at(1)).mHeader.c_str());
  STRCMP_EQUAL("price",
               std::get<field_check>(value.mAnswerChecks.at(2)).mField.c_str());
  DOUBLES_EQUAL(10, content.mOrganisations.at(0).mRate, 0);
  DOUBLES_EQUAL(5, content.mOrganisations.at(0).mBurst, 0);
  LONGS_EQUAL(0x11, content.mKeys.at(0).mDigest[1]);
}

// Guards against a service that no chunk can hold and that would be found
// only when it is published.
TEST(service_files, AServiceThatExceedsAChunkIsAMistake)
{
  auto text = service_file_text::Valid();
  const std::string path(240, 'p');
  for (int i = 0; i < 2000; ++i) {
    text += "[[route]]\nid = \"r" + std::to_string(i) + "\"\npath = \"/" +
            path + std::to_string(i) + "\"\n";
  }
  const auto parsed = ParseServiceFiles({ { "quotes.toml", text } });
  CHECK_FALSE(parsed.has_value());
  CHECK(parsed.error().at(0).mHint.find("split the service") !=
        std::string::npos);
}
