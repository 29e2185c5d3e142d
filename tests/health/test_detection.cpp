#include "tests/health/simulated_fleet.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kTargets = 6;
constexpr double kPerTarget = 10;

fleet_settings
SmallFleet()
{
  fleet_settings made;
  made.mServices = { { "ledger", kTargets, 4, 40ms, false } };
  made.mInstances = 12;
  made.mSeed = 5;
  return made;
}

std::size_t
InUseAt(simulated_fleet& aFleet, std::size_t aInstance)
{
  std::size_t count = 0;
  for (std::size_t t = 0; t < kTargets; ++t) {
    const auto id = "target-" + std::to_string(t);
    count +=
      aFleet.Instance(aInstance).mSelector->IsInUse("ledger", id) ? 1 : 0;
  }
  return count;
}

std::size_t
CountEjections(simulated_fleet& aFleet, std::size_t aInstance)
{
  std::size_t count = 0;
  for (std::size_t t = 0; t < kTargets; ++t) {
    const auto records = aFleet.Instance(aInstance).mSelector->Explain(
      "ledger", "target-" + std::to_string(t));
    count += static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [](const auto& aRecord) {
        return aRecord.mAction == ejection_action::Ejected;
      }));
  }
  return count;
}

} // namespace

TEST_GROUP(detection){};

// Guards against a partly or wholly failing target that stays in use, and
// against the ejection of healthy targets with it. The bounds are those of the
// p99.
TEST(detection, OneFaultyTargetIsOutOfUseInTheWholeFleet)
{
  const auto check = [](const target_fault& aFault, duration aBound) {
    simulated_fleet fleet(SmallFleet());
    fleet.StartTraffic(kPerTarget);
    fleet.Advance(20s);
    fleet.Target(0, 2).mFault = aFault;
    CHECK(fleet.AdvanceUntilOut(0, 2, 20s) <= aBound);
    LONGS_EQUAL(1, CountEjections(fleet, 0));
  };
  target_fault fault;
  SECTION("20% errors")
  {
    fault.mErrors = 0.2;
    check(fault, 5s);
  }
  SECTION("5 times the latency")
  {
    fault = {};
    fault.mSlowness = 5;
    check(fault, 5s);
  }
  SECTION("connect refused")
  {
    fault = {};
    fault.mRefuses = true;
    check(fault, 1s);
  }
}

// Guards against records of an ejection that lack its reason, evidence, owner
// or time of return, which operators need to see why a target is out of use.
TEST(detection, ExplainTellsReasonEvidenceDeciderAndReturn)
{
  simulated_fleet fleet(SmallFleet());
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(20s);
  fleet.Target(0, 2).mFault.mErrors = 0.5;
  fleet.AdvanceUntilOut(0, 2, 10s);
  fleet.Target(0, 2).mFault = {};
  const auto owner = fleet.Instance(0).mMembership->OwnerOf(ShardOf("ledger"));

  const auto records =
    fleet.Instance(0).mSelector->Explain("ledger", "target-2");
  LONGS_EQUAL(1, records.size());
  STRCMP_EQUAL("errors, fleet", records[0].mReason.c_str());
  STRCMP_EQUAL(owner.c_str(), records[0].mDecidedBy.c_str());
  CHECK(records[0].mEvidence.mFailures >= 3);
  CHECK(records[0].mEvidence.mInstances >= 2);
  CHECK(records[0].mReturns - records[0].mTime > 4000);

  SECTION("the target returns after 5 s with a slow start")
  {
    fleet.Advance(5500ms);
    const auto after =
      fleet.Instance(0).mSelector->Explain("ledger", "target-2");
    CHECK(after.back().mAction == ejection_action::Returned);
    const auto before = fleet.Target(0, 2).mAttempts;
    fleet.Advance(2s);
    const auto ramping = fleet.Target(0, 2).mAttempts - before;
    // A share of 10% to 28% of the normal 20 attempts; full weight would give
    // 20.
    CHECK(ramping <= 12);
    CHECK(ramping >= 1);
  }
}

// Guards against a flapping target that returns every few seconds: the length
// of repeated ejections must grow.
TEST(detection, AFlappingTargetStaysOutLongerEachTime)
{
  simulated_fleet fleet(SmallFleet());
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(20s);
  for (int i = 0; i < 30; ++i) {
    fleet.Target(0, 1).mFault.mErrors = 0.8;
    fleet.Advance(4s);
    fleet.Target(0, 1).mFault.mErrors = 0;
    fleet.Advance(4s);
  }
  wall_milliseconds previous = 0;
  std::size_t ejections = 0;
  for (const auto& record :
       fleet.Instance(0).mSelector->Explain("ledger", "target-1")) {
    if (record.mAction == ejection_action::Ejected) {
      const auto length = record.mReturns - record.mTime;
      CHECK(length > previous);
      previous = length;
      ++ejections;
    }
  }
  CHECK(ejections >= 3);
}

// Guards against the ejection of targets for a fault that all of them share.
TEST(detection, ASharedFaultEjectsNothing)
{
  for (const double errors : { 0.3, 1.0 }) {
    simulated_fleet fleet(SmallFleet());
    fleet.StartTraffic(kPerTarget);
    fleet.Advance(20s);
    for (std::size_t t = 0; t < kTargets; ++t) {
      fleet.Target(0, t).mFault.mErrors = errors;
    }
    fleet.Advance(10s);
    LONGS_EQUAL(kTargets, InUseAt(fleet, 0));
  }
}

// Guards against the ejection of a target in the whole fleet when only the
// network path of one instance or zone is faulty.
TEST(detection, APathFaultEjectsOnlyWhereItOccurs)
{
  simulated_fleet fleet(SmallFleet());
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(20s);
  const auto isInUse = [&](std::size_t aInstance) {
    return fleet.Instance(aInstance).mSelector->IsInUse("ledger", "target-3");
  };

  SECTION("fault of one instance: only this instance stops using the target")
  {
    fleet.Target(0, 3).mFault.mUnreachableFrom = { "instance-3" };
    fleet.Advance(3s);
    int out = 0;
    // Between two periods with an open breaker, a single attempt tests whether
    // the fault persists.
    for (int step = 0; step < 200; ++step) {
      fleet.Advance(100ms);
      out += isInUse(3) ? 0 : 1;
      for (std::size_t i = 0; i < fleet.Size(); ++i) {
        CHECK(i == 3 || isInUse(i));
      }
    }
    CHECK(out >= 100);
  }
  SECTION("fault of one zone: only its instances stop using the target")
  {
    fleet.Target(0, 3).mFault.mUnreachableFrom.clear();
    fleet.Advance(40s);
    for (std::size_t i = 0; i < fleet.Size(); i += 3) {
      fleet.Target(0, 3).mFault.mUnreachableFrom.insert(
        fleet.Members()[i].mName);
    }
    fleet.Advance(4s);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      CHECK(isInUse(i) == (i % 3 != 0));
    }
  }
}

// Guards against fewer targets in use than the floor when two owners decide:
// during a network partition, the halves of the fleet eject different targets,
// and the ejections add up when the partition ends.
// The check fails when MaxExclusions() in service_usage.cpp returns
// aEligible: the invariant then stops the program.
TEST(detection, TheFloorHoldsWhenOwnersDecideDifferently)
{
  simulated_fleet fleet(SmallFleet());
  std::vector<member> halves[2];
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    halves[i % 2].push_back(fleet.Members()[i]);
  }
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Instance(i).mMembership->SetLive(halves[i % 2]);
  }
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(20s);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Target(0, 0).mFault.mUnreachableFrom.insert(fleet.Members()[i].mName);
    auto& different = fleet.Target(0, i % 2 == 0 ? 1 : 2).mFault;
    different.mUnreachableFrom.insert(fleet.Members()[i].mName);
  }
  fleet.Advance(2s);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Instance(i).mMembership->SetLive(fleet.Members());
  }
  std::size_t fewest = kTargets;
  for (int step = 0; step < 200; ++step) {
    fleet.Advance(50ms);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      fewest = std::min(fewest, InUseAt(fleet, i));
    }
  }
  LONGS_EQUAL(4, fewest);
}

// Guards against a restarted instance that uses an ejected target because the
// ejection was sent before its start.
TEST(detection, ARestartedInstanceLearnsTheEjectionsInForce)
{
  simulated_fleet fleet(SmallFleet());
  const auto owner = fleet.Instance(0).mMembership->OwnerOf(ShardOf("ledger"));
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(20s);
  fleet.Target(0, 5).mFault.mErrors = 0.5;
  fleet.AdvanceUntilOut(0, 5, 10s);
  const std::size_t restarted = fleet.Members()[7].mName == owner ? 8 : 7;
  fleet.Restart(restarted);
  auto& selector = *fleet.Instance(restarted).mSelector;
  CHECK(selector.IsInUse("ledger", "target-5"));
  fleet.Advance(1500ms);
  CHECK(!selector.IsInUse("ledger", "target-5"));
}

// Guards against new requests to a target that announced draining (P9).
TEST(detection, ADrainingTargetGetsNoNewWorkWithinThreeSeconds)
{
  simulated_fleet fleet(SmallFleet());
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(5s);
  fleet.Target(0, 4).mFault.mIsDraining = true;
  fleet.Advance(3s);
  CHECK(!fleet.IsInUseAnywhere(0, 4));
  const auto before = fleet.Target(0, 4).mAttempts;
  fleet.Advance(30s);
  LONGS_EQUAL(before, fleet.Target(0, 4).mAttempts);
}

// Guards against full load on a new target whose caches are still cold.
TEST(detection, ATargetThatJoinsStartsSlowly)
{
  auto settings = SmallFleet();
  simulated_fleet fleet(settings);
  fleet.StartTraffic(kPerTarget);
  fleet.Advance(5s);
  auto next = fleet.MakeSnapshot();
  auto added = next.mServices[0].mTargets.front();
  added.mId = "target-6";
  // Inserted in front, so that the other targets get new indices; their state
  // must follow by name.
  next.mServices[0].mTargets.insert(next.mServices[0].mTargets.begin(), added);
  fleet.Snapshots().Set(next);
  fleet.Advance(2s);
  // Full weight would give about 17 attempts in 2 s.
  CHECK(fleet.Target(0, 6).mAttempts <= 10);
  fleet.Advance(10s);
  const auto before = fleet.Target(0, 6).mAttempts;
  fleet.Advance(10s);
  CHECK(fleet.Target(0, 6).mAttempts - before > 50);
}
