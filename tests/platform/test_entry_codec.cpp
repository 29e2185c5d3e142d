#include "core/random.h"
#include "platform/entry_codec.h"
#include "tests/story.h"

#include <iterator>

#include <nlohmann/json.hpp>

using namespace cowslipline;
using namespace std::chrono_literals;

TEST_GROUP(entry_codec){};

namespace {

constexpr char kConfiguration[] = R"({
  "version": 7,
  "routes": [
    { "name": "r1", "hostname": "shop.example", "path-prefix": "/a/",
      "route-type": "idempotent", "timeout-s": 3, "slo-latency-s": 1.5,
      "priority": 2, "attempts": 2, "public": true,
      "traffic-split": [ { "service": "old", "weight": 90 },
                         { "service": "new", "weight": 10 } ] },
    { "name": "r2", "hostname": "shop.example", "path-prefix": "/b/",
      "route-type": "something new", "service": "old" },
    { "name": "r3", "path-prefix": 5 }
  ],
  "services": [ { "name": "old", "health-path": "/up", "max-conns": 360 } ],
  "limits": { "max-header-bytes": 9000, "max-body-bytes": 100,
              "header-timeout-s": 3, "idle-timeout-s": 15 },
  "tenants": [ { "name": "lagos", "api-keys": [ "k1", "k2" ], "priority": 1,
                 "rate-per-s": 31, "burst": 12.5 } ]
})";

} // namespace

// Guards against fields read with the wrong unit or default, and against one
// invalid route that keeps the whole configuration from being applied.
TEST(entry_codec, ReadsAConfiguration)
{
  std::vector<std::string> skipped;
  const auto read = DecodeConfiguration(kConfiguration, skipped);
  CHECK(read.has_value());
  LONGS_EQUAL(7, read->mVersion);
  LONGS_EQUAL(2, read->mRoutes.size());
  LONGS_EQUAL(1, skipped.size());
  STRCMP_EQUAL("routes/2", skipped[0].c_str());

  SECTION("times are seconds")
  {
    CHECK(read->mRoutes[0].mTimeout == 3s);
    CHECK(read->mRoutes[0].mLatencyObjective == 1500ms);
    CHECK(read->mLimits.mIdleTimeout == 15s);
  }
  SECTION("unknown route types count as not idempotent")
  {
    CHECK(read->mRoutes[0].mRepeat == repeat_rule::Idempotent);
    CHECK(read->mRoutes[1].mRepeat == repeat_rule::AtMostOnce);
    CHECK_FALSE(read->mRoutes[1].mIsPublic);
    LONGS_EQUAL(1, read->mRoutes[1].mAttempts);
  }
  SECTION("organisations have their keys and limits")
  {
    const auto& organisation = read->mOrganisations.at(0);
    LONGS_EQUAL(2, organisation.mKeys.size());
    DOUBLES_EQUAL(12.5, organisation.mBurst, 1e-9);
    LONGS_EQUAL(1, *organisation.mPriority);
  }
  SECTION("a rate of cold targets that is no rate counts as not stated")
  {
    const std::vector<std::pair<std::string, double>> cases = {
      { "3.7", 3.7 }, { "0", 0 }, { "-2", 0 }, { "\"3\"", 0 }, { "null", 0 }
    };
    for (const auto& [text, rate] : cases) {
      const auto services = DecodeConfiguration(
        R"({"version":1,"routes":[],"services":[{"name":"s","cold-per-s":)" +
          text + "}]}",
        skipped);
      DOUBLES_EQUAL(rate, services->mServices.at(0).mColdRate, 1e-9);
    }
  }
  SECTION("only a document without a list of organisations needs no keys")
  {
    const auto decode = [&](const std::string& aTenants) {
      skipped.clear();
      return DecodeConfiguration(R"({"version":8,"routes":[])" + aTenants + "}",
                                 skipped);
    };
    CHECK_FALSE(decode("")->mNeedsKeys);
    for (const auto* list : { "[]", "null", "{}", "\"none\"", "0" }) {
      const auto configuration = decode(",\"tenants\":" + std::string(list));
      CHECK(configuration->mNeedsKeys);
      LONGS_EQUAL(0, configuration->mOrganisations.size());
    }
    const auto unreadable = decode(R"(,"tenants":[{"api-keys":["k1"]},7])");
    CHECK(unreadable->mNeedsKeys);
    LONGS_EQUAL(0, unreadable->mOrganisations.size());
    LONGS_EQUAL(2, skipped.size());
    const auto other =
      decode(R"(,"tenants":[7,{"name":"lagos","api-keys":["k1",8]}])");
    LONGS_EQUAL(1, other->mOrganisations.size());
    LONGS_EQUAL(1, other->mOrganisations[0].mKeys.size());
    LONGS_EQUAL(1, skipped.size());
  }
  SECTION(
    "a limit that cannot be read is not none: its organisation is left out")
  {
    const auto organisations = [&](const std::string& aLimit) {
      skipped.clear();
      return DecodeConfiguration(
               R"({"version":8,"routes":[],"tenants":[{"name":"lagos")" +
                 aLimit + "}]}",
               skipped)
        ->mOrganisations;
    };
    for (const auto* limit :
         { "", R"(,"rate-per-s":0)", R"(,"rate-per-s":2.5,"burst":0)" }) {
      LONGS_EQUAL(1, organisations(limit).size());
    }
    for (const auto* field : { "rate-per-s", "burst" }) {
      for (const auto* value : { "-1", "\"20\"", "null", "[]", "1e300" }) {
        LONGS_EQUAL(
          0, organisations(",\"" + std::string(field) + "\":" + value).size());
        LONGS_EQUAL(1, skipped.size());
      }
    }
  }
  SECTION("text that is not a configuration is an error")
  {
    for (const auto* text : { "",
                              "[]",
                              "{",
                              "{\"version\":-1,\"routes\":[]}",
                              "{\"version\":1}" }) {
      CHECK_FALSE(DecodeConfiguration(text, skipped).has_value());
    }
  }
}

// Guards against a target that is used although its entry is incomplete or
// invalid, for example because another program wrote it.
TEST(entry_codec, RejectsInvalidTargetEntries)
{
  const std::string valid =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,)"
    R"("state":"ready","cold-remaining-s":1.5,"seq":4,"born":17})";
  const auto target = DecodeTarget("i-1", valid);
  CHECK(target.has_value());
  CHECK(target->mColdRemaining == 1500ms);
  LONGS_EQUAL(80, target->mAddress.port());
  LONGS_EQUAL(4, target->mSequence);

  SECTION("missing fields, wrong types, states and addresses are rejected")
  {
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
           { "\"ready\"", "\"resting\"" },
           { "\"ready\"", "1" },
           { "10.0.0.9:80", "10.0.0.9" },
           { "10.0.0.9:80", "name:80" },
           { "\"slots\":6", "\"slots\":0" },
           { "\"slots\":6", "\"slots\":\"6\"" },
           { "\"service\"", "\"servic\"" },
           { "\"zone\"", "\"zon\"" } }) {
      auto text = valid;
      text.replace(text.find(from), from.size(), to);
      CHECK_FALSE(DecodeTarget("i-1", text).has_value());
    }
    CHECK_FALSE(DecodeTarget("i-1", "\xff\x00").has_value());
  }
}

// Guards against numbers that their types do not hold, whose conversion is
// undefined, and against ids that break a header: such an entry of another
// writer names no target.
TEST(entry_codec, RejectsTargetEntriesOutOfBounds)
{
  const std::string valid =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,)"
    R"("state":"ready","cold-remaining-s":1.5,"seq":4,"born":17})";
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
         { "\"slots\":6", "\"slots\":1e300" },
         { "\"slots\":6", "\"slots\":18446744073709551616" },
         { "\"slots\":6", "\"slots\":1e999" },
         { "\"slots\":6", "\"slots\":4294967295" },
         { "\"cold-remaining-s\":1.5", "\"cold-remaining-s\":1e300" },
         { "\"cold-remaining-s\":1.5", "\"cold-remaining-s\":-1e300" },
         { "\"born\":17", "\"born\":1e300" },
         { "\"born\":17", "\"born\":-1" },
         { "10.0.0.9:80", "10.0.0.9:0" },
         { "10.0.0.9:80", "10.0.0.9:70000" },
         { "10.0.0.9:80", "10.0.0.9:-1" } }) {
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    CHECK_FALSE(DecodeTarget("i-1", text).has_value());
  }
  CHECK_FALSE(DecodeTarget("i-1\r\nHost: other", valid).has_value());
  CHECK_FALSE(DecodeTarget("", valid).has_value());

  SECTION("an instance's entry needs a port, too")
  {
    for (const auto* port : { "0", "-1", "70000", "1e300" }) {
      CHECK_FALSE(
        DecodeMember("i1",
                     R"({"zone":"a","ip":"10.0.0.7","run":3,"port":)" +
                       std::string(port) + "}")
          .has_value());
    }
  }
  SECTION("deep nesting is refused, also within an object")
  {
    const std::string open(200'000, '[');
    const std::string close(200'000, ']');
    CHECK_FALSE(DecodeTarget("i-1", open + close).has_value());
    auto text = valid;
    text.insert(1, "\"x\":" + open + close + ',');
    CHECK_FALSE(DecodeTarget("i-1", text).has_value());
  }
  SECTION("brackets in a string are no nesting")
  {
    auto text = valid;
    text.insert(1, R"("x":")" + std::string(200, '[') + R"(\"[",)");
    CHECK(DecodeTarget("i-1", text).has_value());
  }
}

TEST(entry_codec, Base64RoundTrips)
{
  for (const std::string text : { "", "a", "ab", "abc", "\xff\x00z" }) {
    CHECK_EQUAL(text, *DecodeBase64(EncodeBase64(text)));
  }
  CHECK_FALSE(DecodeBase64("a*b=").has_value());
}

// Guards against an entry of another writer, with fields missing or of another
// type, that ends the process.
TEST(entry_codec, SurvivesEntriesOfAnotherShape)
{
  random_source random(20261204);
  const std::vector<nlohmann::json> others = { nullptr,
                                               true,
                                               -1,
                                               1e300,
                                               18446744073709551615ULL,
                                               "x",
                                               "",
                                               "\xff",
                                               nlohmann::json::array(),
                                               nlohmann::json::object(),
                                               { 1, "a", nullptr } };
  const auto replaceOne = [&](nlohmann::json aDocument) {
    const auto flat = aDocument.flatten();
    auto place = flat.begin();
    std::advance(place, random.Below(flat.size()));
    nlohmann::json::json_pointer pointer(place.key());
    for (auto up = random.Below(3); up > 0 && !pointer.empty(); --up) {
      pointer.pop_back();
    }
    aDocument[pointer] = others[random.Below(others.size())];
    return aDocument.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::ignore);
  };
  const auto configuration = nlohmann::json::parse(kConfiguration);
  const auto target = nlohmann::json::parse(
    R"({"service":"old","address":"10.0.0.1:80","zone":"a","version":"1",
        "slots":6,"state":"ready","cold-remaining-s":0.5,"seq":3})");
  fleet_member self;
  self.mName = "i1";
  self.mAvailabilityZone = "a";
  const auto member = nlohmann::json::parse(EncodeMember(self));
  std::size_t refused = 0;
  for (int i = 0; i < 5'000; ++i) {
    std::vector<std::string> skipped;
    const auto text = replaceOne(configuration);
    refused += DecodeConfiguration(text, skipped) && skipped.size() < 2 ? 0 : 1;
    refused += DecodeTarget("t1", replaceOne(target)) ? 0 : 1;
    refused += DecodeMember("i1", replaceOne(member)) ? 0 : 1;
    DecodeBase64(text.substr(random.Below(text.size())));
  }
  CHECK(refused > 0);
}
