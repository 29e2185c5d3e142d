#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

scripted_target::script
Answering(duration aAfter, edge_fixture& aFixture)
{
  return [aAfter, &aFixture](const http_request& aRequest,
                             tcp_stream& aStream,
                             yield_context aYield) {
    aFixture.Sleep(aAfter, aYield);
    return SendText(aStream, GoodAnswer(aRequest, "tank"), aYield);
  };
}

/// Two targets of a service, in the zones a and b.
struct two_zones
{
  two_zones()
  {
    auto entry = mThere.Entry("catalogue", "b");
    mFixture.mFeed.PutTarget(entry);
    mFixture.Pause(150ms);
  }

  std::map<int, int> Call(int aCount)
  {
    return mFixture.CountStatuses(aCount, "/specs/1");
  }

  edge_fixture mFixture;
  scripted_target& mHere =
    mFixture.AddTarget("t1", "catalogue", Answering(0ms, mFixture));
  scripted_target& mThere =
    mFixture.AddTarget("t2", "catalogue", Answering(0ms, mFixture));
};

} // namespace

TEST_GROUP(evacuated_zones){};

// Guards against any kind of send to a zone after its evacuation, and against
// requests in progress there that are cut.
TEST(evacuated_zones, GetNoSendsAndFinishWhatRuns)
{
  two_zones zones;
  LONGS_EQUAL(20, zones.Call(20)[200]);
  CHECK(!zones.mHere.Requests().empty());

  SECTION("no request goes there, first or repeated")
  {
    zones.mFixture.mFeed.Evacuate("a");
    zones.mFixture.Pause(150ms);
    const auto before = zones.mHere.Requests().size();
    zones.mThere.mScript =
      [failed = false,
       good = Answering(0ms, zones.mFixture)](const http_request& aRequest,
                                              tcp_stream& aStream,
                                              yield_context aYield) mutable {
        failed = !failed;
        return !failed && good(aRequest, aStream, aYield);
      };
    zones.Call(10);
    LONGS_EQUAL(before, zones.mHere.Requests().size());
    CHECK(!zones.mThere.Requests().empty());
  }
  SECTION("a request in progress is answered")
  {
    zones.mFixture.mFeed.LiftEvacuation("a");
    zones.mFixture.mFeed.Evacuate("b");
    zones.mFixture.Pause(250ms);
    zones.mHere.mScript = Answering(400ms, zones.mFixture);
    zones.mFixture.mScheduler.Spawn([&](yield_context aYield) {
      zones.mFixture.Sleep(100ms, aYield);
      zones.mFixture.mFeed.Evacuate("a");
    });
    const auto before = zones.mHere.Requests().size();
    LONGS_EQUAL(1, zones.Call(1)[200]);
    LONGS_EQUAL(before + 1, zones.mHere.Requests().size());
    CHECK(zones.mFixture.mInstance->RenderPage("/metrics")
            .mBody.find("\ncowslipline_zones_evacuated 2") !=
          std::string::npos);
  }
  SECTION("a lifted evacuation brings the requests back")
  {
    zones.mHere.mScript = Answering(0ms, zones.mFixture);
    zones.mThere.mScript = Answering(0ms, zones.mFixture);
    zones.mFixture.mFeed.LiftEvacuation("a");
    zones.mFixture.mFeed.LiftEvacuation("b");
    zones.mFixture.Pause(250ms);
    const auto before = zones.mHere.Requests().size();
    LONGS_EQUAL(20, zones.Call(20)[200]);
    CHECK(zones.mHere.Requests().size() > before);
  }
}

// Guards against requests that wait or reach a target when no target is left,
// and against an answer that hides the cause from the operator.
TEST(evacuated_zones, RefuseAtOnceWhenAllAreEvacuated)
{
  two_zones zones;
  zones.mFixture.mFeed.Evacuate("a");
  zones.mFixture.mFeed.Evacuate("b");
  zones.mFixture.mFeed.Evacuate("nowhere");
  zones.mFixture.Pause(150ms);
  zones.mFixture.Run([&](yield_context aYield) {
    const auto answer = zones.mFixture.Call("GET", "/specs/1", aYield);
    CHECK(answer.has_value());
    LONGS_EQUAL(503, answer->mHead.mStatus);
    STRCMP_EQUAL("targets_evacuated\n", answer->mBody.c_str());
    CHECK(answer->mHead.mHeaders.Find("Retry-After").has_value());
  });
  LONGS_EQUAL(0,
              zones.mHere.Requests().size() + zones.mThere.Requests().size());
  const auto page = zones.mFixture.mInstance->RenderPage("/metrics").mBody;
  CHECK(page.find("\ncowslipline_zones_evacuated 3") != page.npos);
}

// Guards against more requests to a cold target than it bears when it is empty
// and all instances find it the least loaded one.
TEST(evacuated_zones, AColdTargetGetsWhatItBears)
{
  edge_fixture fixture;
  auto configuration = fixture.Configuration(5);
  configuration.mServices = { { "catalogue", "/", 0, 3 } };
  fixture.mFeed.Publish(configuration);
  const std::vector<proxy_instance*> fleet = { fixture.mInstance.get(),
                                               &fixture.AddInstance("i2"),
                                               &fixture.AddInstance("i3") };
  const auto& warm =
    fixture.AddTarget("t1", "catalogue", Answering(0ms, fixture));
  scripted_target cold(fixture.mContext, "t2", Answering(0ms, fixture));
  auto entry = cold.Entry("catalogue", "a");
  entry.mColdRemaining = 10s;
  fixture.mFeed.PutTarget(entry);
  int served = 0;
  fixture.Run([&](yield_context aYield) {
    fixture.Sleep(150ms, aYield);
    for (int i = 0; i < 90; ++i) {
      const auto answer = fixture.CallAt(
        *fleet[static_cast<std::size_t>(i) % 3], "GET", "/specs/1", aYield);
      served += answer && answer->mHead.mStatus == 200 ? 1 : 0;
      fixture.Sleep(10ms, aYield);
    }
  });
  LONGS_EQUAL(90, served);
  CHECK(!cold.Requests().empty());
  // 3 x 1.5 + 8 in any second; the requests take about one.
  CHECK(cold.Requests().size() <= 12);
  CHECK(warm.Requests().size() >= 78);
}
