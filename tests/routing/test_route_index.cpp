#include "modules/routing/routing.h"
#include "tests/story.h"

#include <map>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

route_spec
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  route_spec route;
  route.mName = std::move(aName);
  route.mHost = std::move(aHost);
  route.mPathPrefix = std::move(aPrefix);
  route.mShares = { { "catalogue", 1 } };
  return route;
}

std::string
NameOf(const route_spec* aRoute)
{
  return aRoute == nullptr ? "none" : aRoute->mName;
}

} // namespace

TEST_GROUP(route_index){};

// Guards against running a request on another route's service because a prefix
// matches part of a path segment or a shorter prefix is preferred.
TEST(route_index, TheLongestPrefixOfTheHostWins)
{
  fleet_configuration configuration;
  configuration.mRoutes = { MakeRoute("orders", "shop.example", "/orders/"),
                            MakeRoute("cuts", "shop.example", "/orders/cuts/"),
                            MakeRoute("other", "desk.example", "/orders/") };
  const auto index = route_index::Create(std::move(configuration));

  SECTION("the longest matching prefix is chosen")
  {
    CHECK_EQUAL(std::string("cuts"),
                NameOf(index->FindRoute("shop.example", "/orders/cuts/7")));
    CHECK_EQUAL(std::string("orders"),
                NameOf(index->FindRoute("shop.example", "/orders/7/cuts/")));
  }
  SECTION("a prefix matches whole path segments only")
  {
    CHECK_EQUAL(std::string("orders"),
                NameOf(index->FindRoute("shop.example", "/orders/cutsheet")));
    CHECK_EQUAL(std::string("none"),
                NameOf(index->FindRoute("shop.example", "/orders")));
    CHECK_EQUAL(std::string("none"),
                NameOf(index->FindRoute("shop.example", "/ordersx/7")));
  }
  SECTION("the host must match; its port and letter case are ignored")
  {
    CHECK_EQUAL(std::string("other"),
                NameOf(index->FindRoute("Desk.Example:8080", "/orders/1")));
    CHECK_EQUAL(std::string("none"),
                NameOf(index->FindRoute("example", "/orders/1")));
  }
}

// Guards against admitting a request under another organisation because its API
// key is looked up wrongly.
TEST(route_index, FindsTheOrganisationOfAKey)
{
  fleet_configuration configuration;
  organisation_spec first;
  first.mName = "lagos";
  first.mKeys = { "k1", "k2" };
  organisation_spec second;
  second.mName = "jardins";
  second.mKeys = { "k3" };
  configuration.mOrganisations = { first, second };
  const auto index = route_index::Create(std::move(configuration));
  STRCMP_EQUAL("lagos", index->FindOrganisation("k2")->mName.c_str());
  STRCMP_EQUAL("jardins", index->FindOrganisation("k3")->mName.c_str());
  POINTERS_EQUAL(nullptr, index->FindOrganisation("k"));
  POINTERS_EQUAL(nullptr, index->FindOrganisation(""));
  CHECK(index->FindOrganisationByName("jardins") ==
        index->FindOrganisation("k3"));
  POINTERS_EQUAL(nullptr, index->FindOrganisationByName("k3"));
}

// Guards against a traffic split that follows the weights only after thousands
// of requests: an instance of a large fleet gets a few per minute.
TEST(route_index, SharesFollowTheirWeightsAfterFewRequests)
{
  const std::vector<traffic_share> shares = { { "old", 90 },
                                              { "new", 10 },
                                              { "off", 0 } };
  weighted_service_picker picker(0.3);
  std::map<std::string, int> picked;
  for (int i = 0; i < 50; ++i) {
    ++picked[picker.Pick(shares)];
  }
  CHECK(picked["new"] >= 4 && picked["new"] <= 6);
  LONGS_EQUAL(0, picked["off"]);
}

TEST_GROUP(configuration_freshness){};

// Guards against a withdrawn key that continues to work at an instance that
// can't reach the store or was suspended.
TEST(configuration_freshness, AgeCountsFromWhenTheQueryWasSent)
{
  configuration_freshness freshness(5s);
  const steady_time start(1h);

  SECTION("the configuration is not fresh before the first answer")
  {
    CHECK_FALSE(freshness.IsFresh(start));
  }
  SECTION("it is fresh for nine tenths of the bound after the query")
  {
    freshness.Confirm(start);
    CHECK(freshness.IsFresh(start + 4400ms));
    CHECK_FALSE(freshness.IsFresh(start + 4500ms));
  }
  SECTION("a late answer to an older query does not reduce the age")
  {
    freshness.Confirm(start + 2s);
    freshness.Confirm(start + 1s);
    CHECK(freshness.IsFresh(start + 6s));
    CHECK_FALSE(freshness.IsFresh(start + 6500ms));
  }
}

TEST_GROUP(target_directory){};

// Guards against sending new requests to a draining target, and against an id
// that stays listed under its former service when it registers for another.
TEST(target_directory, ListsReadyTargetsOfAService)
{
  target_directory directory;
  target_entry entry;
  entry.mId = "t1";
  entry.mService = "catalogue";
  directory.Put(entry);
  entry.mId = "t2";
  directory.Put(entry);
  LONGS_EQUAL(2, directory.Ready("catalogue").size());

  SECTION("a draining target is not ready")
  {
    entry.mPhase = target_phase::Draining;
    directory.Put(entry);
    LONGS_EQUAL(1, directory.Ready("catalogue").size());
  }
  SECTION("an id that registers for another service is removed from the first")
  {
    entry.mPhase = target_phase::Ready;
    entry.mService = "ledger";
    directory.Put(entry);
    LONGS_EQUAL(1, directory.Ready("catalogue").size());
    LONGS_EQUAL(1, directory.Ready("ledger").size());
  }
  SECTION("removing an id twice or an unknown id has no effect")
  {
    directory.Remove("t1");
    directory.Remove("t1");
    directory.Remove("t9");
    LONGS_EQUAL(0, directory.Ready("catalogue").size());
  }
}
