#include "tests/fakes/membership_fleet.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>

#include <unistd.h>

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

constexpr duration kWarmUp = std::chrono::seconds(20);
constexpr duration kMeasured = std::chrono::seconds(20);

// The budget of one instance for all control, from the target size.
constexpr double kBytesPerSecondBudget = 4000;

double
ProcessSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

double
ResidentMegabytes()
{
  std::ifstream status("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  status >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::uint64_t
BytesSent(const membership_fleet& aFleet)
{
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    bytes += aFleet.mNetwork.SentBy(membership_fleet::NameOf(i)).mPayloadBytes;
  }
  return bytes;
}

std::uint64_t
StoreCalls(const membership_fleet& aFleet)
{
  const auto& counts = aFleet.mContent->mCounts;
  return counts.mReads + counts.mWrites + counts.mWatches;
}

/// Simulated milliseconds until a publication is in force everywhere.
double
MeasureSpread(membership_fleet& aFleet, std::uint64_t aVersion)
{
  const auto start = aFleet.mClock.Now();
  aFleet.Publish(aVersion);
  while (aFleet.CountInForce(aVersion) < aFleet.Size() &&
         aFleet.mClock.Now() - start < std::chrono::minutes(2)) {
    aFleet.mClock.Advance(std::chrono::milliseconds(20));
  }
  return std::chrono::duration<double, std::milli>(aFleet.mClock.Now() - start)
    .count();
}

bool
MeasureFleet(std::size_t aCount)
{
  const auto memoryBefore = ResidentMegabytes();
  membership_fleet fleet(aCount, 7);
  fleet.Publish(1);
  fleet.mClock.Advance(kWarmUp);
  const auto memory = ResidentMegabytes() - memoryBefore;
  const auto bytesBefore = BytesSent(fleet);
  const auto callsBefore = StoreCalls(fleet);
  const auto cpuBefore = ProcessSeconds();
  fleet.mClock.Advance(kMeasured);
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const double instances = static_cast<double>(aCount);
  const double bytes =
    static_cast<double>(BytesSent(fleet) - bytesBefore) / seconds / instances;
  const double cpu = (ProcessSeconds() - cpuBefore) / seconds / instances;
  const double calls =
    static_cast<double>(StoreCalls(fleet) - callsBefore) / seconds;
  const auto spread = MeasureSpread(fleet, 2);
  fleet.mNetwork.SetLoss(0.1);
  const auto spreadWithLoss = MeasureSpread(fleet, 3);
  std::printf("%9zu %12.0f %14.3f %14.2f %13.2f %12.0f %14.0f\n",
              aCount,
              bytes,
              cpu * 100,
              memory / instances,
              calls,
              spread,
              spreadWithLoss);
  return bytes < kBytesPerSecondBudget;
}

} // namespace

int
main()
{
  std::printf("Membership and configuration, idle fleet, simulated links\n");
  std::printf("%9s %12s %14s %14s %13s %12s %14s\n",
              "instances",
              "B/s each",
              "% core each",
              "MB each",
              "store calls/s",
              "spread ms",
              "10% loss ms");
  bool isWithinBudget = true;
  for (const std::size_t count : { 10, 40, 160, 640 }) {
    isWithinBudget = MeasureFleet(count) && isWithinBudget;
  }
  return isWithinBudget ? 0 : 1;
}
