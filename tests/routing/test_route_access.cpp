#include "modules/routing/routing.h"
#include "tests/story.h"

using namespace cowslipline;

namespace {

/// A request with one key that an organisation holds, on a route that needs it,
/// by a fresh configuration.
access_facts
KnownCaller()
{
  return { false, true, true, 1, true };
}

} // namespace

TEST_GROUP(route_access){};

// Guards against a route that is open to everyone because the configuration
// has no organisation left.
TEST(route_access, NeedsAKnownKeyHoweverManyOrganisationsThereAre)
{
  auto facts = KnownCaller();
  SECTION("a known key is allowed, by the quota of its organisation")
  {
    CHECK(DecideAccess(facts) == route_access::Limited);
  }
  SECTION("a key that no organisation holds is refused")
  {
    facts.mIsKeyKnown = false;
    CHECK(DecideAccess(facts) == route_access::KeyUnknown);
  }
  SECTION("no key, and several, are refused")
  {
    for (const std::size_t keys : { 0, 2 }) {
      facts.mKeys = keys;
      CHECK(DecideAccess(facts) == route_access::KeyMissing);
    }
  }
  SECTION("an old configuration allows nobody")
  {
    for (const std::size_t keys : { 0, 1, 2 }) {
      facts = KnownCaller();
      facts.mIsConfigurationFresh = false;
      facts.mKeys = keys;
      CHECK(DecideAccess(facts) == route_access::ConfigurationStale);
    }
  }
  SECTION("what is not stated is no permission")
  {
    CHECK(DecideAccess(access_facts()) == route_access::ConfigurationStale);
  }
}

// Guards against a withdrawn key that works because a version has no list of
// organisations at all, and against refusing callers of a fleet that has none.
TEST(route_access, WithoutAListOfOrganisationsOnlyRequestsWithoutAKeyPass)
{
  access_facts facts{ false, false, true, 0, false };
  CHECK(DecideAccess(facts) == route_access::Anonymous);
  facts.mIsConfigurationFresh = false;
  CHECK(DecideAccess(facts) == route_access::Anonymous);
  facts.mKeys = 1;
  CHECK(DecideAccess(facts) == route_access::ConfigurationStale);
  facts.mIsConfigurationFresh = true;
  CHECK(DecideAccess(facts) == route_access::KeyUnknown);
}

// Guards against a public route that refuses callers for their keys, and
// against one that names an organisation which no longer holds the key.
TEST(route_access, APublicRouteIsOpenButNamesNoFormerOrganisation)
{
  for (const bool needsKeys : { true, false }) {
    SECTION("by a fresh configuration with any key, and with none")
    {
      for (const std::size_t keys : { 0, 1, 2 }) {
        CHECK(DecideAccess({ true, needsKeys, true, keys, false }) ==
              route_access::Anonymous);
      }
    }
    SECTION("by an old one only without a key")
    {
      CHECK(DecideAccess({ true, needsKeys, false, 0, false }) ==
            route_access::Anonymous);
      for (const bool isKnown : { true, false }) {
        CHECK(DecideAccess({ true, needsKeys, false, 1, isKnown }) ==
              route_access::ConfigurationStale);
      }
    }
  }
  CHECK(DecideAccess({ true, true, true, 1, true }) ==
        route_access::Identified);
}
