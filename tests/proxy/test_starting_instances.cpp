#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

TEST_GROUP(starting_instances){};

// Guards against two owners of a quota at once: the others skip a registered
// instance that cannot answer yet, and go on asking the one that it replaces.
TEST(starting_instances, RegisterWhenTheyCanAnswer)
{
  edge_fixture fixture;
  LONGS_EQUAL(1, fixture.mFeed.MemberCount());
  fixture.mFeed.SetReadTime(500ms);
  const auto& second = fixture.AddInstance("i2");

  SECTION("an instance that still reads the store is not registered")
  {
    CHECK_FALSE(second.IsReady());
    LONGS_EQUAL(1, fixture.mFeed.MemberCount());
  }
  fixture.Run([&](yield_context aYield) { fixture.Sleep(450ms, aYield); });
  SECTION("it is as soon as it has the configuration")
  {
    LONGS_EQUAL(2, fixture.mFeed.MemberCount());
  }
}
