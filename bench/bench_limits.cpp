#include "tests/limits/organisation_traffic.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

#include <malloc.h>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

/// Requests per second and instance at the fleet's target size.
constexpr double kRequestsPerInstance = 61;
constexpr double kLoad = 0.7;
constexpr std::size_t kOrganisations = 64;
constexpr std::size_t kIdleOrganisations = 2000;

double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

link_counts
SentByAll(const limiter_fleet& aFleet)
{
  link_counts sum;
  for (const auto& [name, process] : aFleet.mProcesses) {
    const auto sent = aFleet.mNetwork.SentBy(name);
    sum.mMessages += sent.mMessages;
    sum.mPayloadBytes += sent.mPayloadBytes;
  }
  return sum;
}

/// A few large organisations and many small ones.
std::vector<organisation>
Organisations(std::size_t aInstances)
{
  const auto total =
    kRequestsPerInstance / kLoad * static_cast<double>(aInstances);
  std::vector<organisation> all;
  all.reserve(kOrganisations);
  for (std::size_t i = 0; i < kOrganisations; ++i) {
    const auto share = i < 8 ? 0.1 : 0.2 / (kOrganisations - 8);
    const auto rate = std::max(1.0, total * share);
    all.push_back(
      { "organisation-" + std::to_string(i), rate, std::max(2.0, rate) });
  }
  return all;
}

struct measurement
{
  double mMessages; ///< Per instance and second.
  double mBytes;    ///< Payload and frame, per instance and second.
  double mCpu;      ///< CPU seconds of the whole run.
};

template<typename F>
measurement
Measure(limiter_fleet& aFleet, duration aTime, F aRun)
{
  const auto before = SentByAll(aFleet);
  const auto cpu = CpuSeconds();
  aRun();
  const auto after = SentByAll(aFleet);
  const auto divisor =
    InSeconds(aTime) * static_cast<double>(aFleet.mProcesses.size());
  return { static_cast<double>(after.mMessages - before.mMessages) / divisor,
           static_cast<double>(after.mPayloadBytes - before.mPayloadBytes) /
             divisor,
           CpuSeconds() - cpu };
}

/// Heap bytes for each organisation in use at one instance: uses many
/// organisations once and divides the growth.
double
BytesPerOrganisation()
{
  limiter_fleet fleet(7);
  std::vector<organisation> all;
  all.reserve(kIdleOrganisations);
  for (std::size_t i = 0; i < kIdleOrganisations; ++i) {
    all.push_back({ "organisation-" + std::to_string(i), 1, 2 });
  }
  fleet.mSnapshots->Set(all);
  fleet.StartMany(1);
  fleet.Advance(10s);
  const auto before = HeapBytes();
  auto& limiter = *fleet.mProcesses.begin()->second->mLimiter;
  for (const auto& one : all) {
    fleet.mClock.Spawn([&limiter, &one](yield_context aYield) {
      (void)limiter.Admit(one.mName, 0ms, aYield);
    });
  }
  fleet.mClock.Poll();
  return (HeapBytes() - before) / kIdleOrganisations;
}

void
Run(std::size_t aInstances, duration aWarmUp, duration aTime)
{
  limiter_fleet fleet(aInstances);
  const auto all = Organisations(aInstances);
  fleet.mSnapshots->Set(all);
  fleet.StartMany(aInstances);
  fleet.Advance(aWarmUp);
  const auto idle =
    Measure(fleet, aTime, [&fleet, aTime] { fleet.Advance(aTime); });
  organisation_traffic traffic(fleet, 1);
  for (const auto& one : all) {
    traffic.Add(one, kLoad, true);
  }
  traffic.Run(1s);
  traffic.Reset();
  const auto busy =
    Measure(fleet, aTime, [&traffic, aTime] { traffic.Run(aTime); });
  const auto total = traffic.Total();
  const auto admitted = static_cast<double>(total.mSent - total.mRefused);
  std::printf("%9zu %10.1f %10.0f %10.1f %10.0f %12.1f %10.2f %9.3f%%\n",
              aInstances,
              idle.mMessages,
              idle.mBytes,
              busy.mMessages,
              busy.mBytes,
              admitted / InSeconds(aTime) / static_cast<double>(aInstances),
              (busy.mCpu - idle.mCpu) * 1e6 / admitted,
              100.0 * static_cast<double>(total.mRefused) /
                static_cast<double>(total.mSent));
}

} // namespace

int
main()
{
  std::printf(
    "messages and bytes (with 64 bytes of frame each) are per instance "
    "and second;\nCPU is of both sides and the in-memory network, in "
    "us per admitted request\n");
  std::printf("%9s %10s %10s %10s %10s %12s %10s %10s\n",
              "instances",
              "idle msg",
              "idle B",
              "busy msg",
              "busy B",
              "admitted/s",
              "CPU us",
              "refused");
  Run(10, 12s, 3s);
  Run(40, 12s, 3s);
  Run(160, 9s, 1s);
  Run(640, 5s, 500ms);
  std::printf("memory per organisation in use: %.0f bytes\n",
              BytesPerOrganisation());
  return 0;
}
