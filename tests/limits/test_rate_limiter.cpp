#include "tests/limits/organisation_traffic.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

TEST_GROUP(rate_limiter){};

// Guards against a limiter that admits nothing, or more than the burst, in the
// simplest case: a fleet without faults.
TEST(rate_limiter, AdmitsTheBurstOfAnIdleOrganisationAnywhere)
{
  limiter_fleet fleet(1);
  fleet.mSnapshots->Set({ { "small", 2, 4 } });
  fleet.StartMany(8);
  fleet.Advance(30s);
  int admitted = 0;
  for (const auto& [name, process] : fleet.mProcesses) {
    fleet.mClock.RunUntilDone(
      [&, limiter = process->mLimiter](yield_context aYield) {
        admitted += limiter->Admit("small", 0ms, aYield) ? 1 : 0;
        admitted += limiter->Admit("small", 10ms, aYield) ? 1 : 0;
      },
      1s);
  }
  LONGS_EQUAL(4, admitted);
}

namespace {

/// Admits without waiting until the first refusal; returns how many.
int
AdmitAll(limiter_fleet& aFleet, const std::string& aOrganisation)
{
  int admitted = 0;
  for (const auto& [name, process] : aFleet.mProcesses) {
    if (!process->IsRunning()) {
      continue;
    }
    aFleet.mClock.RunUntilDone(
      [&, limiter = process->mLimiter](yield_context aYield) {
        while (limiter->Admit(aOrganisation, 10ms, aYield)) {
          ++admitted;
        }
      },
      1s);
  }
  return admitted;
}

unsigned
UnitsOfAll(const limiter_fleet& aFleet)
{
  unsigned units = 0;
  for (const auto& [name, process] : aFleet.mProcesses) {
    units += process->IsRunning() ? process->mLimiter->Units() : 0;
  }
  return units;
}

} // namespace

// Guards against more tokens than a burst that an operator has just lowered,
// left in the owner's bucket or prefetched by holders.
TEST(rate_limiter, ClipsToALoweredBurstAtOnce)
{
  limiter_fleet fleet(2);
  fleet.mSnapshots->Set({ { "large", 100, 100 } });
  fleet.StartMany(8);
  organisation_traffic traffic(fleet, 2);
  traffic.Add({ "large", 100, 100 }, 0.9, true);
  fleet.Advance(10s);
  traffic.Run(3s);
  fleet.mSnapshots->Set({ { "large", 0.1, 10 } });
  CHECK(AdmitAll(fleet, "large") <= 10);
}

// Guards against a leaving instance that keeps its units, and against refusals
// at other instances while it leaves.
TEST(rate_limiter, LeavesWithoutRefusalsAndGivesBackItsUnits)
{
  limiter_fleet fleet(3);
  fleet.mSnapshots->Set({ { "a", 20, 10 }, { "b", 20, 10 }, { "c", 5, 4 } });
  fleet.StartMany(5);
  fleet.Advance(15s);
  organisation_traffic traffic(fleet, 3);
  for (const auto* name : { "a", "b" }) {
    traffic.Add({ name, 20, 10 }, 0.5, true);
  }
  traffic.Run(2s);
  traffic.Reset();
  auto& leaving = *fleet.mProcesses.at(
    fleet.mProcesses.begin()->second->mMembership->OwnerOf(ShardOf("a")));
  leaving.mIsLeaving = true;
  bool isDone = false;
  fleet.mClock.Spawn([&](yield_context aYield) {
    isDone = leaving.mLimiter->Leave(aYield).has_value();
  });
  traffic.Run(20s);
  CHECK(isDone);
  LONGS_EQUAL(0, leaving.mLimiter->Units());
  LONGS_EQUAL(kAllotmentUnits, UnitsOfAll(fleet));
  // At most 1 in 100, the bound for the failure of an owner.
  CHECK(traffic.Total().mRefused * 100 <= traffic.Total().mSent);
  CHECK(!traffic.IsBoundBroken());
}

// Guards against units that are never reclaimed from a crashed instance, and
// against reclaiming them from an instance that peers do not hear but that
// still reaches the store.
TEST(rate_limiter, ReclaimsUnitsOfACrashedInstanceOnly)
{
  limiter_fleet fleet(4);
  fleet.mSnapshots->Set({ { "a", 20, 10 } });
  fleet.StartMany(4);
  fleet.Advance(20s);
  LONGS_EQUAL(kAllotmentUnits, UnitsOfAll(fleet));
  SECTION("an instance that is not heard but reads the store keeps its units")
  {
    fleet.mProcesses.at("instance-1")->mIsUnheard = true;
    fleet.Advance(150s);
    CHECK(fleet.mProcesses.at("instance-1")->mLimiter->Units() > 0);
    fleet.mProcesses.at("instance-1")->mIsUnheard = false;
  }
  SECTION("the units of a crashed instance are used again")
  {
    fleet.Crash("instance-2");
    fleet.Advance(55s);
    LONGS_EQUAL(180, UnitsOfAll(fleet));
    fleet.Advance(70s);
    LONGS_EQUAL(kAllotmentUnits, UnitsOfAll(fleet));
  }
}

// Guards against the use of units that others may have reclaimed.
TEST(rate_limiter, DisablesUnitsWhenIsolatedUntilTheTableWasRead)
{
  limiter_fleet fleet(5);
  fleet.mSnapshots->Set({ { "a", 20, 10 } });
  fleet.StartMany(2);
  fleet.Advance(15s);
  auto& process = *fleet.mProcesses.at("instance-0");
  fleet.Pause("instance-0", true);
  fleet.Advance(40s);
  LONGS_EQUAL(0, process.mLimiter->Units());
  fleet.Pause("instance-0", false);
  fleet.Advance(10s);
  CHECK(process.mLimiter->Units() > 0);
}

// Guards against an instance that fails to start, or takes units twice, when
// the store's answers to its writes are lost.
TEST(rate_limiter, ResolvesLostAnswersOfTheStoreByReadingBack)
{
  limiter_fleet fleet(6);
  fleet.mStoreContent->mFaults.mAnswerLoss = 1.0;
  fleet.mSnapshots->Set({ { "a", 20, 10 } });
  fleet.StartMany(3);
  fleet.Advance(20s);
  LONGS_EQUAL(kAllotmentUnits, UnitsOfAll(fleet));
}

// Guards against a module that starts without a service it needs, and against
// requests admitted before a configuration is in force.
TEST(rate_limiter, RegistersWithTheKernel)
{
  kernel incomplete;
  CHECK(RegisterLimits(incomplete).error() == errc::ServiceMissing);
  limiter_fleet fleet(7);
  fleet.StartMany(1);
  std::error_code error;
  fleet.mClock.RunUntilDone(
    [&](yield_context aYield) {
      error = fleet.mProcesses.at("instance-0")
                ->mLimiter->Admit("a", 0ms, aYield)
                .error();
    },
    1s);
  CHECK(error == errc::NotReady);
}
