#include "core/manual_scheduler.h"
#include "modules/outcomes/fleet_outcome_records.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/memory_peer_network.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <vector>

#include <malloc.h>

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

constexpr std::size_t kInstances = 40;
constexpr duration kLoadTime = std::chrono::seconds(30);
constexpr duration kSettleTime = std::chrono::seconds(3);
constexpr duration kRunTime = std::chrono::milliseconds(40);
constexpr duration kClaimWait = std::chrono::seconds(2);

double
CpuSeconds()
{
  std::timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

/// Results of one load run.
struct measurement
{
  /// Of granted claims, in milliseconds of simulated time.
  std::vector<double> mLatencies;
  int mRefused = 0;

  double Quantile(double aQuantile)
  {
    if (mLatencies.empty()) {
      return 0;
    }
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto last = static_cast<double>(mLatencies.size() - 1);
    return mLatencies.at(static_cast<std::size_t>(aQuantile * last));
  }
};

class bench_fleet
{
public:
  bench_fleet()
    : mNetwork(mClock, 1)
    , mContent(std::make_shared<memory_store_content>())
    , mRandom(1)
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      mMembers.push_back(
        { "i" + std::to_string(index), "zone", 1, instance_state::Live });
    }
    for (const auto& self : mMembers) {
      Join(self);
    }
  }

  /// Makes aRate claims per second with exponentially distributed gaps (Poisson
  /// arrivals) and reports an outcome for each grant.
  measurement ApplyLoad(double aRate)
  {
    measurement result;
    const auto end = mClock.Now() + kLoadTime;
    mClock.Spawn([&, end](yield_context aYield) {
      while (mClock.Now() < end) {
        const auto gap = -std::log(1 - mRandom.Unit()) / aRate;
        mClock.SleepFor(duration(static_cast<duration::rep>(gap * 1e6)),
                        aYield);
        mClock.Spawn(
          [&](yield_context aTaskYield) { RunRequest(result, aTaskYield); });
      }
    });
    mClock.Advance(kLoadTime + kSettleTime);
    return result;
  }

  std::size_t StoreBytes() const
  {
    std::size_t bytes = 0;
    for (const auto& [key, value] : mContent->mValues) {
      bytes += value.mValue.size();
    }
    return bytes;
  }

  std::size_t IndexBytes() const
  {
    std::size_t bytes = 0;
    for (const auto& owner : mOwners) {
      bytes += owner->IndexBytes();
    }
    return bytes;
  }

  /// Bytes of all values written to the store.
  double WrittenBytes() const
  {
    return static_cast<double>(
      mCounters->Counter("cowslipline_outcome_store_bytes_total").Value());
  }

  manual_scheduler mClock;
  memory_peer_network mNetwork;
  std::shared_ptr<memory_store_content> mContent;

private:
  void Join(const member& aSelf)
  {
    const auto number = mRecords.size();
    auto membership = std::make_shared<fixed_membership>(aSelf, mMembers);
    auto channel = mNetwork.Join(aSelf.mName);
    mOwners.push_back(std::make_shared<record_owner>(
      outcome_environment{
        &mClock,
        std::make_shared<memory_key_value_store>(mClock, mContent, number),
        mCounters,
        {} },
      membership,
      number));
    mRecords.push_back(std::make_shared<fleet_outcome_records>(
      fleet_outcome_records::services{
        &mClock, channel, membership, mCounters, "secret" },
      mOwners.back(),
      number + 1000));
    mRecords.back()->HandlePeers();
  }

  void RunRequest(measurement& aResult, yield_context aYield)
  {
    const auto records = mRecords.at(mRandom.Below(kInstances));
    const auto start = mClock.Now();
    const claim claim{
      "org", "ledger.deposit", std::to_string(mNextKey++), 1, kClaimWait
    };
    const auto answer = records->Claim(claim, kClaimWait, aYield);
    if (!answer || !std::holds_alternative<granted>(*answer)) {
      ++aResult.mRefused;
      return;
    }
    const std::chrono::duration<double, std::milli> latency =
      mClock.Now() - start;
    aResult.mLatencies.push_back(latency.count());
    mClock.SleepFor(kRunTime, aYield);
    records->Finish(
      std::get<granted>(*answer).mAttempt,
      { 201, "application/json", R"({"order":"accepted","id":12345678})" });
  }

  random_source mRandom;
  std::shared_ptr<metrics> mCounters = std::make_shared<metrics>();
  std::vector<member> mMembers;
  std::vector<std::shared_ptr<record_owner>> mOwners;
  std::vector<std::shared_ptr<fleet_outcome_records>> mRecords;
  std::uint64_t mNextKey = 0;
};

void
MeasureLoad(double aRate)
{
  bench_fleet fleet;
  const auto heap = HeapBytes();
  const auto cpu = CpuSeconds();
  auto result = fleet.ApplyLoad(aRate);
  const auto used = CpuSeconds() - cpu;
  const auto counts = fleet.mContent->mCounts;
  const double seconds = std::chrono::duration<double>(kLoadTime).count();
  const auto claims = static_cast<double>(result.mLatencies.size());
  std::printf("%8.0f %9.1f %9.1f %9.0f %8.1f %8.1f %8d %9.1f %8.0f %8.0f "
              "%8.0f %8.0f\n",
              aRate,
              static_cast<double>(counts.mWrites) / seconds,
              static_cast<double>(counts.mReads) / seconds,
              2 * claims / seconds,
              result.Quantile(0.5),
              result.Quantile(0.99),
              result.mRefused,
              used / claims * 1e6,
              static_cast<double>(fleet.StoreBytes()) / claims,
              static_cast<double>(fleet.IndexBytes()) / claims,
              static_cast<double>(HeapBytes() - heap) / claims,
              fleet.WrittenBytes() / seconds / 1e3);
}

/// Writes a shard with aRecords finished records and measures how long a new
/// owner takes to rebuild its index from the store.
void
MeasureRebuild(std::size_t aRecords)
{
  manual_scheduler clock;
  const auto content = std::make_shared<memory_store_content>();
  outcome_settings settings;
  settings.mIndexBytesLimit = std::size_t{ 1 } << 30;
  const outcome_environment environment{
    &clock,
    std::make_shared<memory_key_value_store>(clock, content, 1),
    std::make_shared<metrics>(),
    settings
  };
  write_budget budget(1e9, 1e9, clock.Now());
  shard_log writer(0, environment, budget);
  random_source random(1);
  clock.RunUntilDone(
    [&](yield_context aYield) {
      (void)writer.Refresh(aYield);
      for (std::size_t made = 0; made < aRecords;) {
        log_batch batch{ random.Next(), 0, {} };
        for (int entry = 0; entry < 64 && made < aRecords; ++entry, ++made) {
          const auto key = KeyedDigest16("secret", std::to_string(made));
          batch.mEntries.emplace_back(claim_entry{ key, 1, made + 1, 0 });
          batch.mEntries.emplace_back(
            finish_entry{ key, 1, made + 1, { 201, "", std::nullopt } });
        }
        (void)writer.Append(batch, aYield);
      }
    },
    std::chrono::hours(10));
  const auto reads = content->mCounts.mReads;
  const auto start = clock.Now();
  const auto cpu = CpuSeconds();
  shard_log reader(0, environment, budget);
  clock.RunUntilDone(
    [&](yield_context aYield) { (void)reader.Refresh(aYield); },
    std::chrono::hours(1));
  const std::chrono::duration<double, std::milli> simulated =
    clock.Now() - start;
  std::printf("%8zu %9zu %9zu %9.1f %9.1f %9.0f\n",
              aRecords,
              reader.Index().Size(),
              static_cast<std::size_t>(content->mCounts.mReads - reads),
              simulated.count(),
              (CpuSeconds() - cpu) * 1e3,
              static_cast<double>(reader.Index().Bytes()) /
                static_cast<double>(aRecords));
}

} // namespace

int
main()
{
  std::printf("40 instances, store latency 2 ms, peers 0.5 ms one way; the "
              "baseline is one create-if-absent\nwrite for each claim and one "
              "for each outcome. CPU includes the simulation.\n\n");
  std::printf("%8s %9s %9s %9s %8s %8s %8s %9s %8s %8s %8s %8s\n",
              "claims/s",
              "writes/s",
              "reads/s",
              "baseline",
              "p50 ms",
              "p99 ms",
              "refused",
              "us/claim",
              "store B",
              "index B",
              "heap B",
              "KB/s");
  for (const double rate : { 1.0, 10.0, 100.0, 1000.0 }) {
    MeasureLoad(rate);
  }
  std::printf("\nrebuild of one shard by a new owner\n");
  std::printf("%8s %9s %9s %9s %9s %9s\n",
              "records",
              "found",
              "reads",
              "sim. ms",
              "CPU ms",
              "index B");
  for (const std::size_t records : { 1000, 10'000, 100'000 }) {
    MeasureRebuild(records);
  }
  return 0;
}
