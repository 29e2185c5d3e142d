#include "tests/fakes/membership_fleet.h"
#include "tests/story.h"

#include <array>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

#ifdef __SANITIZE_ADDRESS__
// A run takes about 20 times as long with the sanitizers.
constexpr std::array<std::size_t, 1> kFleetSizes{ 10 };
#else
constexpr std::array<std::size_t, 3> kFleetSizes{ 10, 40, 160 };
#endif

bool
IsLiveAt(membership_fleet& aFleet, std::size_t aViewer, std::size_t aMember)
{
  for (const auto& live : aFleet[aViewer].mMembership->LiveMembers()) {
    if (live.mName == membership_fleet::NameOf(aMember)) {
      return true;
    }
  }
  return false;
}

std::size_t
CountViewers(membership_fleet& aFleet, std::size_t aMember)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    const bool isViewer = i != aMember && aFleet[i].mMembership != nullptr;
    count += isViewer && IsLiveAt(aFleet, i, aMember) ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_GROUP(membership){};

// Guards against shards that keep a dead owner, and against live members that
// are left out because their news travels slowly.
TEST(membership, FollowsDeathsAndReturns)
{
  membership_fleet fleet(40);
  fleet.Publish(1);
  fleet.mClock.Advance(15s);
  SECTION("in calm everybody sees everybody, and all compute the same owners")
  {
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      LONGS_EQUAL(40, fleet[i].mMembership->LiveMembers().size());
      STRCMP_EQUAL(fleet[0].mMembership->OwnerOf(7).c_str(),
                   fleet[i].mMembership->OwnerOf(7).c_str());
    }
  }
  SECTION("a killed instance is left out by all within 20 s")
  {
    fleet.Kill(5);
    fleet.mClock.Advance(20s);
    LONGS_EQUAL(0, CountViewers(fleet, 5));
    LONGS_EQUAL(38, CountViewers(fleet, 6));
  }
  SECTION("it is back after a restart under the same name")
  {
    fleet.Restart(5);
    fleet.mClock.Advance(10s);
    LONGS_EQUAL(39, CountViewers(fleet, 5));
  }
  SECTION("a leaving instance owns nothing any more")
  {
    fleet[8].mMembership->SetLeaving();
    fleet.mClock.Advance(5s);
    LONGS_EQUAL(0, CountViewers(fleet, 8));
  }
}

// Guards against a member that is taken for dead because one direction of one
// path is cut: the others still carry its news.
TEST(membership, SurvivesOneWayCutsAndLoss)
{
  membership_fleet fleet(12);
  fleet.mNetwork.SetLoss(0.1);
  fleet.mClock.Advance(10s);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.mNetwork.SetCut(
      membership_fleet::NameOf(0), membership_fleet::NameOf(i), true);
  }
  fleet.mClock.Advance(30s);
  LONGS_EQUAL(11, CountViewers(fleet, 0));
}

// Guards against a process that was paused for minutes and still counts as the
// owner of its shards, or never comes back.
TEST(membership, LeavesOutAPausedInstance)
{
  membership_fleet fleet(12);
  fleet.mClock.Advance(10s);
  fleet.mNetwork.SetPaused(membership_fleet::NameOf(3), true);
  fleet.mClock.Advance(25s);
  LONGS_EQUAL(0, CountViewers(fleet, 3));
  fleet.mNetwork.SetPaused(membership_fleet::NameOf(3), false);
  fleet.mClock.Advance(15s);
  LONGS_EQUAL(11, CountViewers(fleet, 3));
}

// Guards against digests that grow with the fleet: 4 KB/s is the budget of all
// control messages of an instance.
TEST(membership, DigestsStayBoundedWithTheFleet)
{
  for (const std::size_t count : kFleetSizes) {
    membership_fleet fleet(count);
    fleet.Publish(1);
    fleet.mClock.Advance(20s);
    const auto before = fleet.mNetwork.SentBy(membership_fleet::NameOf(1));
    fleet.mClock.Advance(20s);
    const auto after = fleet.mNetwork.SentBy(membership_fleet::NameOf(1));
    const auto bytesPerSecond =
      (after.mPayloadBytes - before.mPayloadBytes) / 20;
    CHECK(bytesPerSecond < 4000);
  }
}
