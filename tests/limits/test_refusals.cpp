#include "tests/limits/organisation_traffic.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

#ifdef __SANITIZE_ADDRESS__
// A run takes about 20 times as long with the sanitizers. The targets stay the
// same; the fleet of 40 is measured without them.
constexpr std::size_t kInstances = 8;
#else
constexpr std::size_t kInstances = 40;
#endif

/// Small organisations with bursts of 2 to 5, and a few large ones.
std::vector<organisation>
Organisations()
{
  std::vector<organisation> all;
  all.reserve(48);
  for (int i = 0; i < 40; ++i) {
    all.push_back({ "small-" + std::to_string(i), 1.0 + i % 4, 2.0 + i % 4 });
  }
  for (int i = 0; i < 8; ++i) {
    const double rate = 30 + 10 * (i % 3);
    all.push_back({ "large-" + std::to_string(i), rate, rate });
  }
  return all;
}

} // namespace

TEST_GROUP(refusals)
{
  limiter_fleet mFleet{ 11 };
  organisation_traffic mTraffic{ mFleet, 11 };

  /// Starts a fleet with traffic of all organisations at 70% of their rates,
  /// sent to random instances.
  void StartTraffic()
  {
    mFleet.mSnapshots->Set(Organisations());
    for (const auto& one : Organisations()) {
      mTraffic.Add(one, 0.7, true);
    }
    mFleet.StartMany(kInstances);
    mFleet.Advance(12s);
    mTraffic.Run(2s);
    mTraffic.Reset();
  }
};

// Guards against refusals of in-rate requests while there are no faults
// (target: at most 1 in 1,000).
TEST(refusals, InRateRequestsWithoutFaults)
{
  StartTraffic();
  mTraffic.Run(12s);
  const auto total = mTraffic.Total();
  CHECK(total.mSent > 3000);
  CHECK(total.mRefused * 1000 <= total.mSent);
  CHECK(!mTraffic.IsBoundBroken());
}

// Guards against refusals of in-rate requests after an owner fails (target: at
// most 1 in 100 of the fleet's in-rate requests in the 10 s after it).
TEST(refusals, InRateRequestsThroughOwnerFailures)
{
  StartTraffic();
  mTraffic.Run(12s);
  mTraffic.Reset();
  for (const auto* name : { "small-0", "small-1", "large-2" }) {
    const auto& view = mFleet.mProcesses.rbegin()->second->mMembership;
    mFleet.Crash(view->OwnerOf(ShardOf(name)));
    mTraffic.Run(10s);
  }
  const auto failing = mTraffic.Total();
  CHECK(failing.mRefused * 100 <= failing.mSent);
  CHECK(!mTraffic.IsBoundBroken());
}

// Guards against an organisation that gets less than its rate because it sends
// too much (target: at least 95% of its rate at 5 times the rate).
TEST(refusals, OverloadedOrganisationsGetTheirRate)
{
  const std::vector<organisation> all{ { "small", 2, 3 },
                                       { "middle", 5, 10 },
                                       { "large", 50, 50 } };
  limiter_fleet fleet(12);
  organisation_traffic traffic(fleet, 12);
  fleet.mSnapshots->Set(all);
  for (const auto& one : all) {
    traffic.Add(one, 5, false);
  }
  fleet.StartMany(kInstances);
  fleet.Advance(12s);
  traffic.Run(3s);
  traffic.Reset();
  traffic.Run(20s);
  for (const auto& one : all) {
    SECTION(one.mName)
    {
      const auto counts = traffic.Of(one.mName);
      const auto admitted = static_cast<double>(counts.mSent - counts.mRefused);
      CHECK(admitted >= 0.95 * one.mRate * 20);
    }
  }
  CHECK(!traffic.IsBoundBroken());
}
