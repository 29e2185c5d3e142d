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

/// The only instance of its zone.
struct lone_reader final : sync_peers
{
  bool IsReader() const override { return true; }
  std::optional<changes_reply> Ask(std::uint64_t, yield_context) override
  {
    return std::nullopt;
  }
  void Tell(const changes_reply&) override {}
};

/// Reaches the reader's sync directly, until a test cuts it off.
struct direct_peers final : sync_peers
{
  bool IsReader() const override { return mIsReader; }
  std::optional<changes_reply> Ask(std::uint64_t aRevision,
                                   yield_context) override
  {
    if (mIsCut || mReader == nullptr) {
      return std::nullopt;
    }
    return mReader->Answer({ 1, aRevision });
  }
  void Tell(const changes_reply& aChanges) override
  {
    for (auto* follower : mFollowers) {
      if (!mIsCut) {
        follower->OnTold(aChanges);
      }
    }
  }

  bool mIsReader = false;
  bool mIsCut = false;
  platform_sync* mReader = nullptr;
  std::vector<platform_sync*> mFollowers;
};

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
  lone_reader mPeers;
  platform_sync mSync{ mClock, mFeed, mView, mMetrics, mPeers, 2s, 1 };
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
    // One call for each quarter of the time in which changes are in force.
    CHECK(fixture.mFeed.Calls() - before <= 121);
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

// Guards against an instance that was cut off alone and, once it is back, still
// sends requests to targets that left meanwhile: it has three seconds.
TEST(platform_sync, AnInstanceThatWasCutOffCatchesUpInTime)
{
  for (const bool isHistoryLost : { false, true }) {
    sync_fixture fixture;
    fixture.mFeed.SetDown(true);
    fixture.mClock.Advance(12s);
    fixture.mFeed.RemoveTarget("t1");
    if (isHistoryLost) {
      fixture.mFeed.ForgetHistory();
    }
    fixture.mFeed.SetDown(false);
    fixture.mClock.Advance(2900ms);
    LONGS_EQUAL(1, fixture.Ready());
  }
  SECTION("one that left of many is gone with the first answer")
  {
    for (const bool isHistoryLost : { false, true }) {
      sync_fixture fixture;
      for (int i = 3; i <= 12; ++i) {
        fixture.mFeed.PutTarget(Target("t" + std::to_string(i)));
      }
      fixture.mClock.Advance(1s);
      fixture.mFeed.SetDown(true);
      fixture.mClock.Advance(12s);
      fixture.mFeed.RemoveTarget("t1");
      if (isHistoryLost) {
        fixture.mFeed.ForgetHistory();
      }
      fixture.mFeed.SetDown(false);
      // The retry wait after a failed call is at most 0.3 s.
      fixture.mClock.Advance(350ms);
      LONGS_EQUAL(11, fixture.Ready());
    }
  }
}

TEST_GROUP(lapsed_entries){};

// Guards against targets and members that are dropped together because the
// store was away, and against single ones that are kept after they left.
TEST(lapsed_entries, TellAnOutageFromSingleDepartures)
{
  using names = std::vector<std::string>;
  const steady_time start(1h);
  lapsed_entries lapsed;
  lapsed.BeginGrace(start + 2s);

  SECTION("without an outage every missing entry is gone")
  {
    CHECK(names({ "a", "b" }) ==
          lapsed.Decide(names({ "a", "b" }), 2, start + 2s));
  }
  SECTION("one of many is gone at once")
  {
    CHECK(names({ "a" }) == lapsed.Decide(names({ "a" }), 40, start));
  }
  SECTION("many at once are held until they return or the time is over")
  {
    lapsed.BeginGrace(start + 2s);
    CHECK(lapsed.Decide(names({ "a", "b", "c" }), 6, start).empty());
    lapsed.OnReturned("b");
    CHECK(duration(1s) == lapsed.TimeToOverdue(start + 1s));
    CHECK(lapsed.TakeOverdue(start + 1s).empty());
    CHECK(names({ "a", "c" }) == lapsed.TakeOverdue(start + 2s));
    CHECK(duration::max() == lapsed.TimeToOverdue(start + 2s));
  }
  SECTION("those that lapse one after the other are held from a third on")
  {
    lapsed.BeginGrace(start + 2s);
    CHECK(names({ "a" }) == lapsed.Decide(names({ "a" }), 6, start));
    CHECK(lapsed.Decide(names({ "b", "c" }), 5, start + 100ms).empty());
  }
}

// Guards against two owners of a quota: an instance that the store refuses
// still follows its peers, and learns from them that its lease has lapsed.
TEST(platform_sync, AnInstanceLearnsOfItsOwnLapsedRegistration)
{
  sync_fixture fixture;
  const auto put = [&](const fleet_member& aMember) {
    fixture.mClock.Spawn([&fixture, aMember](yield_context aYield) {
      CHECK(fixture.mFeed.Register(aMember, 1, aYield).has_value());
    });
    fixture.mClock.Advance(200ms);
  };
  put(Self());
  for (int i = 2; i <= 6; ++i) {
    put({ "i" + std::to_string(i), "a", Self().mAddress });
  }
  const auto owns = [&] {
    for (const auto* item : { "x", "y", "z", "w", "v", "u", "t", "s" }) {
      const auto owners =
        fixture.mView.mMembers.OwnersOf(item, 6, fixture.mClock.Now());
      for (const auto* owner : owners) {
        if (owner->mName == "i1") {
          return true;
        }
      }
    }
    return false;
  };
  CHECK(owns());
  fixture.mFeed.RemoveMember("i1");
  fixture.mClock.Advance(1s);
  CHECK_FALSE(owns());
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
  fixture.mClock.Spawn([&](yield_context aYield) {
    const fleet_member peer{ "i2", "a", Self().mAddress };
    CHECK(fixture.mFeed.Register(peer, 1, aYield).has_value());
  });
  fixture.mClock.Advance(2s);
  fixture.mFeed.ForgetHistory();
  fixture.mClock.Advance(10s);
  // The peer is registered and was not heard for long.
  LONGS_EQUAL(2, fixture.mView.mMembers.Count(fixture.mClock.Now()));
  CHECK(fixture.mView.mTargets.Find("t2") == nullptr);
  CHECK(fixture.mView.mTargets.Find("t3") != nullptr);
}

// Guards against calls to the store that grow with the fleet, and against
// followers that believe a reader which is cut off from the store or from them.
TEST(platform_sync, FollowersAskTheReaderOfTheirZone)
{
  manual_scheduler clock;
  memory_platform_feed readerFeed(clock);
  memory_platform_feed feed(clock);
  metrics registry;
  platform_view readerView(5s, Self());
  platform_view view(5s, Self());
  direct_peers readerPeers;
  direct_peers peers;
  readerPeers.mIsReader = true;
  platform_sync reader(
    clock, readerFeed, readerView, registry, readerPeers, 2s, 1);
  platform_sync follower(clock, feed, view, registry, peers, 2s, 2);
  readerPeers.mFollowers = { &follower };
  peers.mReader = &reader;
  // Two feeds count the calls; they hold the same revisions.
  const auto both = [&](auto aChange) {
    aChange(feed);
    aChange(readerFeed);
    clock.Advance(10ms);
  };
  both([](auto& aFeed) { aFeed.Publish(Version(4)); });
  both([](auto& aFeed) { aFeed.PutTarget(Target("t1")); });
  clock.Spawn([&](yield_context aYield) { reader.Run(aYield); });
  clock.Spawn([&](yield_context aYield) { follower.Run(aYield); });
  clock.Advance(500ms);
  const auto ready = [&] { return view.mTargets.Ready("catalogue").size(); };

  SECTION("an idle minute costs the follower no call and stays fresh")
  {
    const int before = feed.Calls();
    for (int i = 0; i < 600; ++i) {
      clock.Advance(100ms);
      CHECK(view.mFreshness.IsFresh(clock.Now()));
    }
    LONGS_EQUAL(before, feed.Calls());
  }
  SECTION("targets come through the reader at once")
  {
    const int before = feed.Calls();
    both([](auto& aFeed) { aFeed.PutTarget(Target("t2")); });
    LONGS_EQUAL(2, ready());
    LONGS_EQUAL(before, feed.Calls());
    clock.Advance(2s);
  }
  SECTION("a missed message is made up for with the next question")
  {
    readerPeers.mIsCut = true;
    both([](auto& aFeed) { aFeed.PutTarget(Target("t3")); });
    LONGS_EQUAL(2, ready());
    clock.Advance(1200ms);
    LONGS_EQUAL(3, ready());
    readerPeers.mIsCut = false;
  }
  SECTION("a configuration is read from the store at once")
  {
    clock.Advance(2s);
    both([](auto& aFeed) { aFeed.Publish(Version(9)); });
    clock.Advance(20ms);
    LONGS_EQUAL(9, view.mRoutes->Configuration().mVersion);
    clock.Advance(2s);
  }
  SECTION("a reader that has lost the store does not hide a change")
  {
    clock.Advance(2s);
    readerFeed.SetDown(true);
    clock.Advance(10ms);
    feed.Publish(Version(12));
    clock.Advance(1900ms);
    LONGS_EQUAL(12, view.mRoutes->Configuration().mVersion);
    readerFeed.SetDown(false);
    readerFeed.Publish(Version(12));
    clock.Advance(2s);
  }
  SECTION("a reader that has lost the store is not believed")
  {
    readerFeed.SetDown(true);
    for (int i = 0; i < 80; ++i) {
      clock.Advance(100ms);
      CHECK(view.mFreshness.IsFresh(clock.Now()));
    }
    readerFeed.SetDown(false);
    clock.Advance(2s);
  }
  SECTION("without a reader the follower asks the store")
  {
    peers.mIsCut = true;
    for (int i = 0; i < 80; ++i) {
      clock.Advance(100ms);
      CHECK(view.mFreshness.IsFresh(clock.Now()));
    }
    peers.mIsCut = false;
  }
  SECTION("with neither, knowledge becomes stale")
  {
    peers.mIsCut = true;
    feed.SetDown(true);
    clock.Advance(8s);
    CHECK_FALSE(view.mFreshness.IsFresh(clock.Now()));
  }
  reader.Stop();
  follower.Stop();
  clock.Advance(10s);
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
    CHECK(clock.RunUntilDone([&](yield_context aYield) { self.Leave(aYield); },
                             1s));
    LONGS_EQUAL(0, feed.Members());
  }
  self.Stop();
  clock.Advance(5s);
}
