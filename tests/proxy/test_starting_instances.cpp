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

// Guards against a withdrawn key, or a target that has left, in use again after
// a restart.
TEST(starting_instances, DoNotUseWhatWasWithdrawnBefore)
{
  edge_fixture fixture;
  const auto serve = [](const http_request& aRequest,
                        tcp_stream& aStream,
                        yield_context aYield) {
    return SendText(aStream, GoodAnswer(aRequest, "whole"), aYield);
  };
  const auto& gone = fixture.AddTarget("t1", "catalogue", serve);
  fixture.AddTarget("t2", "catalogue", serve);
  auto& first = fixture.AddInstance("i2");
  auto withdrawn = fixture.Configuration(5);
  withdrawn.mOrganisations[0].mKeys = { "key-2" };
  fixture.mFeed.Publish(withdrawn);
  fixture.mFeed.RemoveTarget("t1");
  fixture.Run([&](yield_context aYield) { first.Leave(aYield); });
  const auto before = gone.Requests().size();
  auto& restarted = fixture.AddInstance("i2");

  fixture.Run([&](yield_context aYield) {
    SECTION("the key that was withdrawn is unknown")
    {
      const auto response =
        fixture.CallAt(restarted, "GET", "/specs/1", aYield);
      LONGS_EQUAL(401, response ? response->mHead.mStatus : 0);
    }
    SECTION("the target that has left gets nothing")
    {
      for (int i = 0; i < 20; ++i) {
        const auto response = fixture.CallAt(
          restarted, "GET", "/specs/1", aYield, "Key: key-2\r\n");
        LONGS_EQUAL(200, response ? response->mHead.mStatus : 0);
      }
      LONGS_EQUAL(before, gone.Requests().size());
    }
  });
}
