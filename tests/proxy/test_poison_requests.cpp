#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

// Longer than a target takes to be back.
constexpr duration kReturnTime = 700ms;

constexpr int kRepeats = 10;

} // namespace

TEST_GROUP(poison_requests){};

// Guards against a request that crashes the targets of a small service for
// ever: they come back under their ids, and it is sent to them each time.
TEST(poison_requests, AreBlockedAlthoughTargetsComeBackUnderTheirIds)
{
  edge_fixture fixture;
  std::vector<scripted_target*> targets;
  int crashes = 0;
  for (const auto* id : { "t1", "t2" }) {
    const auto index = targets.size();
    targets.push_back(&fixture.AddTarget(
      id,
      "catalogue",
      [&targets, &crashes, index](const http_request& aRequest,
                                  tcp_stream& aStream,
                                  yield_context aYield) {
        if (aRequest.mHead.mTarget != "/specs/poison") {
          return SendText(aStream, GoodAnswer(aRequest, "tank"), aYield);
        }
        ++crashes;
        targets[index]->StopAccepting();
        return false;
      }));
  }
  fixture.Run([&](yield_context aYield) {
    int last = 0;
    for (int i = 0; i < kRepeats; ++i) {
      const auto response = fixture.Call("GET", "/specs/poison", aYield);
      last = response ? response->mHead.mStatus : 0;
      for (auto* target : targets) {
        target->StopAccepting();
        target->AcceptAgain();
      }
      fixture.Sleep(kReturnTime, aYield);
    }
    SECTION("it reaches targets until it has crashed three")
    {
      CHECK(crashes >= 3);
      CHECK(crashes <= 4);
      LONGS_EQUAL(502, last);
    }
    SECTION("other requests are served")
    {
      const auto response = fixture.Call("GET", "/specs/1", aYield);
      LONGS_EQUAL(200, response ? response->mHead.mStatus : 0);
    }
  });
}

namespace {

/// A fleet with targets that crash when they begin to run one request, and are
/// back under their ids after it.
class crashing_targets
{
public:
  /// aServices: one target for each, by the name of its service.
  crashing_targets(edge_fixture& aFixture,
                   const std::vector<std::string>& aServices)
    : mFixture(aFixture)
  {
    for (const auto& service : aServices) {
      const auto index = mTargets.size();
      mTargets.push_back(&aFixture.AddTarget(
        service + std::to_string(index),
        service,
        [this, index](const http_request& aRequest,
                      tcp_stream& aStream,
                      yield_context aYield) {
          if (aRequest.mHead.mTarget != "/cuts/poison") {
            return SendText(aStream, GoodAnswer(aRequest, "cut"), aYield);
          }
          ++mCrashes;
          mTargets[index]->StopAccepting();
          return false;
        }));
    }
  }

  /// Crashes that the request causes as it comes this often to the instance.
  int CrashesOf(const proxy_instance& aInstance, int aRepeats)
  {
    const int before = mCrashes;
    for (int i = 0; i < aRepeats; ++i) {
      mFixture.Run([&](yield_context aYield) {
        mFixture.CallAt(aInstance,
                        "POST",
                        "/cuts/poison",
                        aYield,
                        "Key: key-1\r\n",
                        "one pane");
        for (auto* target : mTargets) {
          target->StopAccepting();
          target->AcceptAgain();
        }
        mFixture.Sleep(kReturnTime, aYield);
      });
    }
    return mCrashes - before;
  }

private:
  edge_fixture& mFixture;
  std::vector<scripted_target*> mTargets;
  int mCrashes = 0;
};

constexpr int kCrashesToBlock = 3;

const std::vector<std::string> kWorkshop(4, "workshop");

} // namespace

// Guards against a request that is known to crash targets and is sent to three
// more by each instance that starts.
TEST(poison_requests, AreNotForgottenWhenInstancesStart)
{
  edge_fixture fixture;
  crashing_targets targets(fixture, kWorkshop);
  LONGS_EQUAL(kCrashesToBlock, targets.CrashesOf(*fixture.mInstance, 5));

  auto& second = fixture.AddInstance("i2");
  SECTION("one that starts is told by one that has run on")
  {
    LONGS_EQUAL(0, targets.CrashesOf(second, 2));
  }
  SECTION("the first of another zone, too")
  {
    LONGS_EQUAL(0, targets.CrashesOf(fixture.AddInstance("j1", "b"), 2));
  }
  auto& third = fixture.AddInstance("i3");
  SECTION("after a restart of all in turn, by one that was told itself")
  {
    fixture.Run(
      [&](yield_context aYield) { CHECK(fixture.mInstance->Leave(aYield)); });
    fixture.Run([&](yield_context aYield) { CHECK(second.Leave(aYield)); });
    auto& last = fixture.AddInstance("i4");
    LONGS_EQUAL(0, targets.CrashesOf(third, 2));
    LONGS_EQUAL(0, targets.CrashesOf(last, 2));
  }
}

// Guards against an answer that an instance waits for in vain: with nobody to
// ask it counts crashes anew, and blocks after as many as before.
TEST(poison_requests, AreBlockedAgainByAnInstanceThatNobodyCanInform)
{
  edge_fixture fixture;
  crashing_targets targets(fixture, kWorkshop);
  LONGS_EQUAL(kCrashesToBlock, targets.CrashesOf(*fixture.mInstance, 4));
  fixture.Run(
    [&](yield_context aYield) { CHECK(fixture.mInstance->Leave(aYield)); });
  auto& restarted = fixture.AddInstance("i1");
  LONGS_EQUAL(kCrashesToBlock, targets.CrashesOf(restarted, 5));
}

// Guards against an instance that was frozen or cut off while the others saw a
// request crash targets: it learns of it with the first crash it reports.
TEST(poison_requests, AreKnownToAnInstanceThatMissedTheReportsAfterOneCrash)
{
  edge_fixture fixture;
  auto& second = fixture.AddInstance("i2");
  crashing_targets targets(fixture, kWorkshop);
  // The reports do not reach it while its registration is not known.
  fixture.mFeed.RemoveMember("i2");
  fixture.Pause(100ms);
  LONGS_EQUAL(kCrashesToBlock, targets.CrashesOf(*fixture.mInstance, 4));
  LONGS_EQUAL(1, targets.CrashesOf(second, 3));
}

// Guards against a request that crashes three targets of each service over
// which its route is split, and three more when a version moves the route.
TEST(poison_requests, AreTheSameForEachServiceOfARoute)
{
  edge_fixture fixture;
  auto configuration = fixture.Configuration(5);
  auto& route = configuration.mRoutes.at(1);
  route.mShares = { { "north", 1 }, { "south", 1 }, { "east", 1 } };
  fixture.mFeed.Publish(configuration);
  crashing_targets targets(
    fixture, { "north", "south", "east", "north", "south", "east", "west" });
  LONGS_EQUAL(kCrashesToBlock, targets.CrashesOf(*fixture.mInstance, 9));

  configuration.mVersion = 6;
  route.mShares = { { "west", 1 } };
  fixture.mFeed.Publish(configuration);
  fixture.Pause(200ms);
  LONGS_EQUAL(0, targets.CrashesOf(*fixture.mInstance, 2));
}
