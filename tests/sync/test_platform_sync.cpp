#include "core/manual_scheduler.h"
#include "modules/sync/sync.h"
#include "tests/fakes/memory_platform_feed.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

fleet_member
Self()
{
  return { "i1", "a", { asio::ip::make_address("127.0.0.1"), 9 } };
}

fleet_configuration
Version(std::uint64_t aVersion)
{
  fleet_configuration configuration;
  configuration.mVersion = aVersion;
  return configuration;
}

target_entry
Target(std::string aId)
{
  target_entry target;
  target.mId = std::move(aId);
  target.mService = "catalogue";
  return target;
}

/// A sync task on simulated time. It runs until the fixture ends it.
struct sync_fixture
{
  sync_fixture()
  {
    mFeed.Publish(Version(4));
    mFeed.PutTarget(Target("t1"));
    mFeed.PutTarget(Target("t2"));
    mClock.Spawn([this](yield_context aYield) { mSync.Run(aYield); });
    mClock.Advance(10ms);
  }

  ~sync_fixture()
  {
    mSync.Stop();
    mClock.Advance(10s);
  }

  std::uint64_t VersionInForce() const
  {
    return mView.mRoutes->Configuration().mVersion;
  }
  std::size_t Ready() const { return mView.mTargets.Ready("catalogue").size(); }
  bool IsFresh() const { return mView.mFreshness.IsFresh(mClock.Now()); }

  manual_scheduler mClock;
  memory_platform_feed mFeed{ mClock };
  metrics mMetrics;
  platform_view mView{ 5s, Self() };
  platform_sync mSync{ mClock, mFeed, mView, mMetrics, 5s, 1 };
};

} // namespace

TEST_GROUP(platform_sync){};

// Guards against changes that are in force late, and against one call after
// the other while nothing changes.
TEST(platform_sync, FollowsChangesWithFewCalls)
{
  sync_fixture fixture;
  CHECK(fixture.mView.mIsComplete);
  LONGS_EQUAL(4, fixture.VersionInForce());
  LONGS_EQUAL(2, fixture.Ready());

  SECTION("a change arrives at once")
  {
    fixture.mClock.Advance(500ms);
    fixture.mFeed.Publish(Version(7));
    fixture.mClock.Advance(1ms);
    LONGS_EQUAL(7, fixture.VersionInForce());
  }
  SECTION("a version never goes back")
  {
    fixture.mClock.Advance(500ms);
    fixture.mFeed.Publish(Version(6));
    fixture.mClock.Advance(500ms);
    LONGS_EQUAL(7, fixture.VersionInForce());
  }
  SECTION("an idle minute takes few calls and stays fresh")
  {
    const int before = fixture.mFeed.Calls();
    for (int i = 0; i < 600; ++i) {
      fixture.mClock.Advance(100ms);
      CHECK(fixture.IsFresh());
    }
    CHECK(fixture.mFeed.Calls() - before <= 40);
  }
}

// Guards against guarded requests that run on knowledge nobody can vouch for,
// and against a herd on a store that comes back.
TEST(platform_sync, AnOutageMakesTheKnowledgeStale)
{
  sync_fixture fixture;
  fixture.mFeed.SetDown(true);
  const int before = fixture.mFeed.Calls();
  fixture.mClock.Advance(8s);
  CHECK_FALSE(fixture.IsFresh());
  CHECK(fixture.mFeed.Calls() - before <= 40);
  LONGS_EQUAL(2, fixture.Ready());

  SECTION("it is fresh again with the first answer")
  {
    fixture.mFeed.SetDown(false);
    fixture.mClock.Advance(600ms);
    CHECK(fixture.IsFresh());
  }
}

// Guards against targets that are dropped because their entries lapsed while
// the store was away, and against those that are kept although they are gone.
TEST(platform_sync, LapsedEntriesGetTimeToComeBack)
{
  sync_fixture fixture;
  fixture.mFeed.SetDown(true);
  fixture.mClock.Advance(6s);
  fixture.mFeed.RemoveTarget("t1");
  fixture.mFeed.RemoveTarget("t2");
  fixture.mFeed.SetDown(false);
  fixture.mClock.Advance(600ms);
  LONGS_EQUAL(2, fixture.Ready());

  SECTION("one that is back stays, one that is not goes")
  {
    fixture.mFeed.PutTarget(Target("t1"));
    fixture.mClock.Advance(4s);
    LONGS_EQUAL(1, fixture.Ready());
    CHECK(fixture.mView.mTargets.Find("t1") != nullptr);
  }
}

// Guards against targets that stay listed because their removal was in a part
// of the history that the store has discarded.
TEST(platform_sync, LostHistoryIsReadAgainAsAWhole)
{
  sync_fixture fixture;
  fixture.mFeed.LoseTargetSilently("t2");
  fixture.mFeed.ForgetHistory();
  fixture.mFeed.PutTarget(Target("t3"));
  fixture.mFeed.ForgetHistory();
  fixture.mClock.Advance(2s);
  CHECK(fixture.mView.mTargets.Find("t2") == nullptr);
  CHECK(fixture.mView.mTargets.Find("t3") != nullptr);
}

TEST_GROUP(registration){};

// Guards against an instance that the others no longer find after its lease
// has lapsed during an outage.
TEST(registration, ComesBackAfterItsLeaseHasLapsed)
{
  manual_scheduler clock;
  memory_platform_feed feed(clock);
  registration self(clock, feed, Self());
  clock.Spawn([&](yield_context aYield) { self.Run(aYield); });
  clock.Advance(100ms);
  LONGS_EQUAL(1, feed.Members());

  SECTION("a lapsed lease is replaced")
  {
    feed.EndLeases();
    LONGS_EQUAL(0, feed.Members());
    clock.Advance(3s);
    LONGS_EQUAL(1, feed.Members());
  }
  SECTION("leaving gives it back at once")
  {
    self.Stop();
    CHECK(clock.RunUntilDone(
      [&](yield_context aYield) { self.Leave(aYield); }, 1s));
    LONGS_EQUAL(0, feed.Members());
  }
  self.Stop();
  clock.Advance(5s);
}
