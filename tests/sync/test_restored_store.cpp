#include "tests/story.h"
#include "tests/sync/sync_fixture.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

TEST_GROUP(restored_store){};

// Guards against changes that are missed because the store, back from an older
// copy, gives out again the revisions that the instance has already seen.
TEST(restored_store, ChangesAreInForceAfterTheStoreCameBackFromACopy)
{
  sync_fixture fixture;
  fixture.mFeed.TakeCopy();
  fixture.mFeed.Publish(MakeConfiguration(6));
  fixture.mFeed.PutTarget(MakeTarget("t3"));
  fixture.mClock.Advance(1s);
  LONGS_EQUAL(6, fixture.VersionInForce());
  fixture.mFeed.SetDown(true);
  fixture.mClock.Advance(100ms);
  fixture.mFeed.RestoreCopy();
  // The same two revisions as before, with other content.
  fixture.mFeed.PutTarget(MakeTarget("t3"));
  fixture.mFeed.Publish(MakeConfiguration(8));
  fixture.mFeed.SetDown(false);
  fixture.mClock.Advance(2s);
  LONGS_EQUAL(8, fixture.VersionInForce());
}

// Guards against a target that has left or is about to, and an instance that
// has left, being used again because an older copy of the store lists them.
TEST(restored_store, WhatHasLeftIsNotBackFromACopy)
{
  sync_fixture fixture;
  const auto put = [&](const char* aId, std::int64_t aStart, int aSequence) {
    auto target = MakeTarget(aId);
    target.mStartedAtMs = aStart;
    target.mSequence = static_cast<std::uint64_t>(aSequence);
    fixture.mFeed.PutTarget(target);
    return target;
  };
  const auto registerMember = [&](const fleet_member& aMember) {
    fixture.mClock.Spawn([&fixture, aMember](yield_context aYield) {
      static_cast<void>(fixture.mFeed.Register(aMember, kLease, aYield));
    });
    fixture.mClock.Advance(200ms);
  };
  const auto memberCount = [&] {
    return fixture.mView.mMembers.RegisteredNames().size();
  };
  put("left", 1000, 5);
  put("leaving", 1000, 5);
  put("restarted", 1000, 5);
  registerMember({ "i2", "a", Self().mAddress, 7 });
  registerMember({ "i3", "a", Self().mAddress, 8 });
  fixture.mFeed.TakeCopy();
  fixture.mFeed.RemoveTarget("left");
  auto leaving = put("leaving", 1000, 6);
  leaving.mPhase = target_phase::Draining;
  fixture.mFeed.PutTarget(leaving);
  put("restarted", 2000, 1);
  put("joined", 2000, 1);
  fixture.mFeed.RemoveMember("i2");
  registerMember({ "i4", "a", Self().mAddress, 9 });
  fixture.mClock.Advance(1s);
  // t1, t2, restarted and joined.
  LONGS_EQUAL(4, fixture.ReadyCount());
  LONGS_EQUAL(2, memberCount());
  fixture.mFeed.RestoreCopy();
  fixture.mClock.Advance(1s);

  SECTION("the first read of the copy brings nothing back and drops nothing")
  {
    LONGS_EQUAL(4, fixture.ReadyCount());
    CHECK(fixture.mView.mTargets.Find("left") == nullptr);
    LONGS_EQUAL(2000, fixture.mView.mTargets.Find("restarted")->mStartedAtMs);
    CHECK(fixture.mView.mMembers.Find("i2") == nullptr);
    CHECK(fixture.mView.mMembers.Find("i4") != nullptr);
  }
  SECTION("neither does a second copy during the recovery")
  {
    fixture.mFeed.RestoreCopy();
    fixture.mClock.Advance(1s);
    LONGS_EQUAL(4, fixture.ReadyCount());
    LONGS_EQUAL(2, memberCount());
  }
  SECTION("what is written again later than the copy counts")
  {
    put("left", 1000, 7);
    put("restarted", 2000, 2);
    registerMember({ "i2", "a", Self().mAddress, 17 });
    fixture.mClock.Advance(200ms);
    LONGS_EQUAL(5, fixture.ReadyCount());
    CHECK(fixture.mView.mMembers.Find("i2") != nullptr);
  }
  SECTION("what is not written again within two seconds is gone")
  {
    fixture.mClock.Advance(3s);
    CHECK(fixture.mView.mTargets.Find("joined") == nullptr);
    CHECK(fixture.mView.mMembers.Find("i4") == nullptr);
    CHECK(fixture.mView.mMembers.Find("i3") != nullptr);
  }
}

// Guards against a few entries that are dropped, although their owners have two
// seconds to write them again, because the store was away for long before it
// came back from a copy.
TEST(restored_store, WhatACopyLacksGetsAGracePeriodAfterALongOutage)
{
  sync_fixture fixture;
  for (int i = 3; i <= 11; ++i) {
    fixture.mFeed.PutTarget(MakeTarget("t" + std::to_string(i)));
  }
  fixture.mFeed.TakeCopy();
  fixture.mFeed.PutTarget(MakeTarget("t12"));
  fixture.mClock.Advance(1s);
  fixture.mFeed.SetDown(true);
  fixture.mClock.Advance(4s);
  fixture.mFeed.RestoreCopy();
  fixture.mFeed.SetDown(false);
  fixture.mClock.Advance(1500ms);
  LONGS_EQUAL(12, fixture.ReadyCount());

  SECTION("it ends two seconds after the return")
  {
    fixture.mClock.Advance(1s);
    LONGS_EQUAL(11, fixture.ReadyCount());
  }
}

// Guards against a withdrawn key that works for longer than the bound, because
// the store has come back from a copy from before its withdrawal and that copy
// passes for the newest state.
TEST(restored_store, AnOlderCopyDoesNotConfirmTheConfiguration)
{
  sync_fixture fixture;
  fixture.mClock.Advance(1s);
  fixture.mFeed.TakeCopy();
  fixture.mFeed.SetDown(true);
  // Acknowledged, but not seen by this instance.
  fixture.mFeed.Publish(MakeConfiguration(6));
  fixture.mClock.Advance(3s);
  CHECK(fixture.IsFresh());
  fixture.mFeed.RestoreCopy();
  fixture.mFeed.SetDown(false);
  fixture.mClock.Advance(1700ms);

  SECTION("the configuration of the copy becomes stale as if still away")
  {
    LONGS_EQUAL(4, fixture.VersionInForce());
    CHECK_FALSE(fixture.IsFresh());
  }
  SECTION("what is read after the time for writing again is confirmed")
  {
    fixture.mFeed.Publish(MakeConfiguration(6));
    fixture.mClock.Advance(2s);
    LONGS_EQUAL(6, fixture.VersionInForce());
    CHECK(fixture.IsFresh());
  }
  SECTION("the next return counts as well")
  {
    fixture.mFeed.RestoreCopy();
    fixture.mFeed.SetDown(true);
    fixture.mClock.Advance(4s);
    fixture.mFeed.SetDown(false);
    fixture.mClock.Advance(1s);
    CHECK_FALSE(fixture.IsFresh());
    fixture.mClock.Advance(2s);
    CHECK(fixture.IsFresh());
  }
}

// Guards against an instance that starts right after the store came back from a
// copy, without any that knows more, and accepts a key that had been withdrawn.
TEST(restored_store, AStartOnAnOlderCopyWaitsForWhatIsWrittenAgain)
{
  manual_scheduler clock;
  memory_platform_feed feed(clock);
  feed.Publish(MakeConfiguration(4));
  feed.TakeCopy();
  feed.Publish(MakeConfiguration(6));
  feed.RestoreCopy();
  metrics registry;
  single_instance_peers peers;
  platform_view view(5s, Self());
  platform_sync sync(clock, feed, view, registry, peers, 2s, 1);
  clock.Spawn([&](yield_context aYield) { sync.Run(aYield); });
  clock.Advance(1900ms);
  CHECK(view.mIsComplete);
  CHECK_FALSE(view.mFreshness.IsFresh(clock.Now()));
  feed.Publish(MakeConfiguration(6));
  clock.Advance(200ms);
  CHECK(view.mFreshness.IsFresh(clock.Now()));
  LONGS_EQUAL(6, view.mRoutes->Configuration().mVersion);

  SECTION("an instance that starts after the recovery does not wait")
  {
    platform_view laterView(5s, Self());
    platform_sync later(clock, feed, laterView, registry, peers, 2s, 2);
    clock.Spawn([&](yield_context aYield) { later.Run(aYield); });
    clock.Advance(10ms);
    CHECK(laterView.mFreshness.IsFresh(clock.Now()));
    later.Stop();
    clock.Advance(10s);
  }
  SECTION("the next return is told from the recovery of the last one")
  {
    feed.TakeCopy();
    feed.RestoreCopy();
    platform_view laterView(5s, Self());
    platform_sync later(clock, feed, laterView, registry, peers, 2s, 3);
    clock.Spawn([&](yield_context aYield) { later.Run(aYield); });
    clock.Advance(1s);
    CHECK_FALSE(laterView.mFreshness.IsFresh(clock.Now()));
    clock.Advance(2s);
    CHECK(laterView.mFreshness.IsFresh(clock.Now()));
    later.Stop();
    clock.Advance(10s);
  }
  sync.Stop();
  clock.Advance(10s);
}

// Guards against living targets and instances that stay left out because they
// were taken for what only an older copy of the store lists.
TEST(restored_store, WhatIsAliveIsUsedAfterTheStoreCameBackFromACopy)
{
  sync_fixture fixture;
  const fleet_member peer{ "i2", "a", Self().mAddress, 7 };
  const auto registerPeer = [&] {
    fixture.mClock.Spawn([&](yield_context aYield) {
      static_cast<void>(fixture.mFeed.Register(peer, kLease, aYield));
    });
    fixture.mClock.Advance(200ms);
  };
  const auto isMember = [&] {
    return fixture.mView.mMembers.Find("i2") != nullptr;
  };
  registerPeer();

  SECTION("an instance whose registration lapsed and returned stays a member")
  {
    fixture.mFeed.RemoveMember("i2");
    fixture.mClock.Advance(1s);
    CHECK_FALSE(isMember());
    registerPeer();
    fixture.mFeed.DiscardHistory();
    fixture.mClock.Advance(2s);
    CHECK(isMember());
  }
  SECTION("entries that lapsed after the copy are left out at first")
  {
    fixture.mFeed.TakeCopy();
    fixture.mFeed.RemoveTarget("t1");
    fixture.mFeed.RemoveMember("i2");
    fixture.mClock.Advance(1s);
    fixture.mFeed.RestoreCopy();
    fixture.mClock.Advance(5s);
    LONGS_EQUAL(1, fixture.ReadyCount());
    CHECK_FALSE(isMember());
  }
  SECTION("they count if they are still listed when the leases have ended")
  {
    fixture.mClock.Advance(5s);
    LONGS_EQUAL(2, fixture.ReadyCount());
    CHECK(isMember());
  }
}
