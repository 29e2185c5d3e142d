// Runs 40 instances of the health module against simulated targets and compares
// detection times, false ejections, refusals and retries with the bounds of
// docs/design.md, 1.2, and with simpler policies. Exits with 1 when a bound is
// missed. Seeds are fixed and all times are simulated.
#include "tests/health/simulated_fleet.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr double kPerTarget = 10;
constexpr auto kWarmUp = 60s;
/// Length of a first ejection and the slow start.
constexpr auto kRecovery = 16s;
/// One round for each target of the smallest service, which has six.
constexpr std::size_t kRounds = 6;
constexpr auto kDetectionLimit = 15s;

fleet_settings
Hronec()
{
  fleet_settings made;
  made.mServices = { { "catalogue", 6, 4, 40ms, true },
                     { "workshop", 10, 7, 60ms, false },
                     { "ledger", 15, 10, 50ms, false } };
  made.mZoneLatency = 500us;
  return made;
}

fleet_settings
LagoaViva()
{
  fleet_settings made;
  made.mServices = { { "cotacao", 6, 4, 40ms, true },
                     { "caixa", 8, 5, 50ms, false },
                     { "fabrica", 10, 7, 60ms, false } };
  made.mZoneLatency = 1000us;
  return made;
}

/// Simpler policies that the module is compared with; None is the module.
enum class baseline
{
  None,
  Random,
  RoundRobin,
  ConsecutiveErrors,
  OwnEvidenceOnly,
};

const char*
NameOf(baseline aBaseline)
{
  switch (aBaseline) {
    case baseline::None:
      return "cowslipline";
    case baseline::Random:
      return "random choice";
    case baseline::RoundRobin:
      return "round robin";
    case baseline::ConsecutiveErrors:
      return "consecutive errors";
    case baseline::OwnEvidenceOnly:
      return "own evidence only";
  }
  return "";
}

/// Random choice or round robin. ConsecutiveErrors chooses at random and ejects
/// a target for 30 s after 5 consecutive failures, at most half of the targets.
class simple_policy final : public choice_policy
{
public:
  simple_policy(baseline aKind,
                scheduler& aClock,
                snapshot_pointer aSnapshot,
                std::uint64_t aSeed)
    : mKind(aKind)
    , mClock(aClock)
    , mSnapshot(std::move(aSnapshot))
    , mRandom(aSeed)
  {
  }

  result<target_choice> Choose(service_index aService,
                               const excluded_targets& aExcluded) override
  {
    const auto& service = mSnapshot->mServices[aService];
    std::vector<target_index> open;
    for (target_index i = 0; i < service.mTargets.size(); ++i) {
      const auto& id = service.mTargets[i].mId;
      const bool isExcluded =
        std::any_of(aExcluded.begin(), aExcluded.end(), [&](const auto& aOne) {
          return aOne.mTargetName == id;
        });
      if (!isExcluded && IsInUse(service.mName, id)) {
        open.push_back(i);
      }
    }
    if (open.empty()) {
      return Fail(errc::NoTarget);
    }
    const auto index = mKind == baseline::RoundRobin
                         ? mNext[aService]++ % open.size()
                         : mRandom.Below(open.size());
    const auto chosen = open[index];
    return target_choice{
      aService, chosen, service.mName, service.mTargets[chosen].mId, mSnapshot
    };
  }

  void Report(const attempt_report& aReport) override
  {
    if (mKind != baseline::ConsecutiveErrors) {
      return;
    }
    auto& state =
      mStates[aReport.mChoice.mServiceName][aReport.mChoice.mTargetName];
    state.mFailures = IsFailure(aReport.mOutcome) ? state.mFailures + 1 : 0;
    const auto now = mClock.Now();
    const auto& states = mStates[aReport.mChoice.mServiceName];
    const auto out = static_cast<std::size_t>(
      std::count_if(states.begin(), states.end(), [&](const auto& aOne) {
        return now < aOne.second.mUntil;
      }));
    const auto count =
      mSnapshot->mServices[aReport.mChoice.mService].mTargets.size();
    if (state.mFailures >= 5 && (out + 1) * 2 <= count) {
      state.mUntil = now + 30s;
      state.mFailures = 0;
    }
  }

  bool IsInUse(std::string_view aService, std::string_view aTarget) override
  {
    const auto& states = mStates[std::string(aService)];
    const auto found = states.find(std::string(aTarget));
    return found == states.end() || mClock.Now() >= found->second.mUntil;
  }

private:
  struct state
  {
    int mFailures = 0;
    steady_time mUntil{};
  };
  baseline mKind;
  scheduler& mClock;
  snapshot_pointer mSnapshot;
  random_source mRandom;
  std::map<service_index, std::size_t> mNext;
  std::map<std::string, std::map<std::string, state>> mStates;
};

std::unique_ptr<simulated_fleet>
MakeFleet(fleet_settings aSettings, baseline aBaseline, std::uint64_t aSeed)
{
  aSettings.mSeed = aSeed;
  aSettings.mIsAlone = aBaseline == baseline::OwnEvidenceOnly;
  auto fleet = std::make_unique<simulated_fleet>(std::move(aSettings));
  if (aBaseline != baseline::None && aBaseline != baseline::OwnEvidenceOnly) {
    for (std::size_t i = 0; i < fleet->Size(); ++i) {
      fleet->Instance(i).mPolicy = std::make_shared<simple_policy>(
        aBaseline, fleet->Clock(), fleet->Snapshots().Current(), aSeed + i);
    }
  }
  fleet->StartTraffic(kPerTarget);
  return fleet;
}

struct fault_case
{
  const char* mName;
  target_fault mFault;
  /// Fault of a second target of the same service at the same time.
  std::optional<target_fault> mSecond;
  /// Bounds of section 1.2, in seconds.
  double mMedianBound;
  double mTailBound;
};

target_fault
Errors(double aShare)
{
  target_fault made;
  made.mErrors = aShare;
  return made;
}

target_fault
Slow(double aFactor)
{
  target_fault made;
  made.mSlowness = aFactor;
  return made;
}

target_fault
Refusing()
{
  target_fault made;
  made.mRefuses = true;
  return made;
}

std::vector<fault_case>
FaultCases()
{
  return { { "20% errors", Errors(0.2), std::nullopt, 2, 5 },
           { "5x latency", Slow(5), std::nullopt, 2, 5 },
           { "connect refused", Refusing(), std::nullopt, 1, 1 },
           { "20% errors + 5x latency", Errors(0.2), Slow(5), 2, 5 },
           { "20% errors + connect refused", Errors(0.2), Refusing(), 2, 5 } };
}

/// Ejections in the log of one instance; the false ones are those of targets
/// without a fault.
struct ejection_audit
{
  std::uint64_t mAll = 0;
  std::uint64_t mFalse = 0;
};

struct measurement
{
  std::vector<double> mSeconds;
  ejection_audit mAudit;
  request_counts mCounts;

  void Add(const request_counts& aCounts, const ejection_audit& aAudit)
  {
    mCounts.mFirst += aCounts.mFirst;
    mCounts.mSucceeded += aCounts.mSucceeded;
    mCounts.mRefused += aCounts.mRefused;
    mCounts.mFailed += aCounts.mFailed;
    mCounts.mRetries += aCounts.mRetries;
    mAudit.mAll += aAudit.mAll;
    mAudit.mFalse += aAudit.mFalse;
  }
};

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    std::ceil(aQuantile * static_cast<double>(aValues.size())));
  return aValues[std::max<std::size_t>(index, 1) - 1];
}

struct faulty_period
{
  std::size_t mService;
  std::size_t mTarget;
  wall_milliseconds mFrom;
  wall_milliseconds mTo;
};

ejection_audit
Audit(simulated_fleet& aFleet, const std::vector<faulty_period>& aPeriods)
{
  ejection_audit audit;
  const auto& services = aFleet.Settings().mServices;
  for (std::size_t s = 0; s < services.size(); ++s) {
    for (std::size_t t = 0; t < services[s].mTargets; ++t) {
      const auto records = aFleet.Instance(0).mSelector->Explain(
        services[s].mName, "target-" + std::to_string(t));
      for (const auto& record : records) {
        if (record.mAction != ejection_action::Ejected) {
          continue;
        }
        ++audit.mAll;
        const bool isTrue = std::any_of(
          aPeriods.begin(), aPeriods.end(), [&](const faulty_period& aOne) {
            return aOne.mService == s && aOne.mTarget == t &&
                   record.mTime >= aOne.mFrom && record.mTime <= aOne.mTo;
          });
        audit.mFalse += isTrue ? 0 : 1;
      }
    }
  }
  return audit;
}

struct service_target
{
  std::size_t mService;
  std::size_t mTarget;
};

/// Injects the faults of one round into one target of every service, and into a
/// second one when the case has two faults. Each round uses other targets,
/// since ejections get longer when they are repeated soon.
std::vector<service_target>
Inject(simulated_fleet& aFleet, const fault_case& aCase, std::size_t aRound)
{
  std::vector<service_target> faulty;
  const auto& services = aFleet.Settings().mServices;
  for (std::size_t s = 0; s < services.size(); ++s) {
    faulty.push_back({ s, aRound });
    aFleet.Target(s, aRound).mFault = aCase.mFault;
    if (aCase.mSecond) {
      faulty.push_back({ s, aRound + kRounds / 2 });
      aFleet.Target(s, aRound + kRounds / 2).mFault = *aCase.mSecond;
    }
  }
  return faulty;
}

/// Advances until no instance uses the targets and adds the detection times, in
/// seconds; kDetectionLimit for targets that stay in use.
void
MeasureRemoval(simulated_fleet& aFleet,
               std::vector<service_target> aOpen,
               std::vector<double>& aSeconds)
{
  const auto start = aFleet.Clock().Now();
  const auto elapsed = [&] { return aFleet.Clock().Now() - start; };
  while (!aOpen.empty() && elapsed() < kDetectionLimit) {
    aFleet.Advance(10ms);
    const auto stillIn = std::partition(
      aOpen.begin(), aOpen.end(), [&](const service_target& aOne) {
        return aFleet.IsInUseAnywhere(aOne.mService, aOne.mTarget);
      });
    aSeconds.insert(aSeconds.end(),
                    static_cast<std::size_t>(aOpen.end() - stillIn),
                    std::chrono::duration<double>(elapsed()).count());
    aOpen.erase(stillIn, aOpen.end());
  }
  aSeconds.insert(aSeconds.end(),
                  aOpen.size(),
                  std::chrono::duration<double>(kDetectionLimit).count());
}

/// Runs a few rounds in each of several new fleets. In a single fleet, repeated
/// ejections of the same target would get longer and longer.
measurement
MeasureDetection(const fleet_settings& aSettings,
                 baseline aBaseline,
                 const fault_case& aCase,
                 std::uint64_t aFleets)
{
  measurement made;
  const auto rounds = aCase.mSecond ? kRounds / 2 : kRounds;
  for (std::uint64_t seed = 1; seed <= aFleets; ++seed) {
    const auto fleet = MakeFleet(aSettings, aBaseline, seed);
    random_source random(seed + 7);
    std::vector<faulty_period> periods;
    fleet->Advance(kWarmUp);
    for (std::size_t round = 0; round < rounds; ++round) {
      const auto from = fleet->Clock().WallNow();
      const auto faulty = Inject(*fleet, aCase, round);
      MeasureRemoval(*fleet, faulty, made.mSeconds);
      for (const auto& [s, t] : faulty) {
        fleet->Target(s, t).mFault = {};
        periods.push_back({ s, t, from, fleet->Clock().WallNow() + 1000 });
      }
      fleet->Advance(kRecovery + duration(random.Below(2'000'000)));
    }
    made.Add(fleet->Counts(), Audit(*fleet, periods));
  }
  return made;
}

/// Cuts one zone off from one target of every service. An ejection in the whole
/// fleet counts as false.
measurement
MeasurePartition(const fleet_settings& aSettings, std::uint64_t aFleets)
{
  measurement made;
  for (std::uint64_t seed = 1; seed <= aFleets; ++seed) {
    const auto fleet = MakeFleet(aSettings, baseline::None, seed);
    fleet->Advance(kWarmUp);
    for (std::size_t round = 0; round < kRounds; ++round) {
      const auto zone = simulated_fleet::ZoneName(round + seed);
      target_fault fault;
      for (const auto& one : fleet->Members()) {
        if (one.mAvailabilityZone == zone) {
          fault.mUnreachableFrom.insert(one.mName);
        }
      }
      const fault_case both{ "", fault, std::nullopt, 0, 0 };
      const auto faulty = Inject(*fleet, both, round);
      fleet->Advance(5s);
      for (const auto& [s, t] : faulty) {
        fleet->Target(s, t).mFault = {};
      }
      fleet->Advance(kRecovery);
    }
    ejection_audit audit;
    for (const auto& one : aSettings.mServices) {
      for (std::size_t t = 0; t < kRounds; ++t) {
        for (const auto& record : fleet->Instance(0).mSelector->Explain(
               one.mName, "target-" + std::to_string(t))) {
          const bool isEjection = record.mAction == ejection_action::Ejected;
          const bool isFleet =
            record.mReason.find("fleet") != std::string::npos;
          audit.mAll += isEjection ? 1 : 0;
          audit.mFalse += isEjection && isFleet ? 1 : 0;
        }
      }
    }
    made.Add(fleet->Counts(), audit);
  }
  return made;
}

measurement
MeasureFaultFree(const fleet_settings& aSettings,
                 baseline aBaseline,
                 std::uint64_t aSeed,
                 duration aLength)
{
  const auto fleet = MakeFleet(aSettings, aBaseline, aSeed);
  fleet->Advance(aLength);
  measurement made;
  made.Add(fleet->Counts(), Audit(*fleet, {}));
  return made;
}

/// Injects a gray failure (a partial fault) into one target in six of every
/// service for two minutes.
measurement
MeasureGrayFailure(const fleet_settings& aSettings,
                   baseline aBaseline,
                   const target_fault& aFault,
                   std::uint64_t aSeed)
{
  const auto fleet = MakeFleet(aSettings, aBaseline, aSeed);
  fleet->Advance(60s);
  fleet->Counts() = {};
  std::vector<faulty_period> periods;
  for (std::size_t s = 0; s < aSettings.mServices.size(); ++s) {
    for (std::size_t t = 0; t < aSettings.mServices[s].mTargets; t += 6) {
      fleet->Target(s, t).mFault = aFault;
      periods.push_back({ s, t, 0, fleet->Clock().WallNow() + 3'600'000 });
    }
  }
  fleet->Advance(120s);
  measurement made;
  made.Add(fleet->Counts(), Audit(*fleet, periods));
  return made;
}

/// One row of the table: a measurement, run on a worker thread, and its output.
struct job
{
  std::function<measurement()> mRun;
  std::function<bool(const measurement&)> mPrint;
  measurement mResult;
};

void
RunJobs(std::vector<job>& aJobs)
{
  constexpr int kThreads = 3;
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (auto index = next++; index < aJobs.size(); index = next++) {
        aJobs[index].mResult = aJobs[index].mRun();
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

const char*
Verdict(bool aIsBound, bool aIsMet)
{
  return !aIsBound ? "" : aIsMet ? "met" : "MISSED";
}

job
DetectionJob(const char* aSize,
             const fleet_settings& aSettings,
             baseline aBaseline,
             const fault_case& aCase,
             std::uint64_t aFleets)
{
  job made;
  made.mRun = [=] {
    return MeasureDetection(aSettings, aBaseline, aCase, aFleets);
  };
  made.mPrint = [=](const measurement& aResult) {
    const double median = Quantile(aResult.mSeconds, 0.5);
    const double tail = Quantile(aResult.mSeconds, 0.99);
    const bool isBound = aBaseline == baseline::None;
    const bool isMet = median <= aCase.mMedianBound &&
                       tail <= aCase.mTailBound &&
                       aResult.mAudit.mFalse * 100 <= aResult.mAudit.mAll;
    std::printf("%-11s %-19s %-29s p50 %5.2f s  p99 %5.2f s  of %3zu  "
                "false %llu of %llu  retries %.1f%%  %s\n",
                aSize,
                NameOf(aBaseline),
                aCase.mName,
                median,
                tail,
                aResult.mSeconds.size(),
                static_cast<unsigned long long>(aResult.mAudit.mFalse),
                static_cast<unsigned long long>(aResult.mAudit.mAll),
                100 * Share(aResult.mCounts.mRetries, aResult.mCounts.mFirst),
                Verdict(isBound, isMet));
    return !isBound || isMet;
  };
  return made;
}

job
FaultFreeJob(const char* aSize,
             const fleet_settings& aSettings,
             const char* aName,
             bool aIsBound,
             duration aLength)
{
  job made;
  made.mRun = [=] {
    return MeasureFaultFree(aSettings, baseline::None, 13, aLength);
  };
  made.mPrint = [=](const measurement& aResult) {
    const bool isMet = aResult.mAudit.mFalse == 0;
    std::printf("%-11s %-19s %-29s false ejections %llu  requests %llu  "
                "refused %.3f%%  %s\n",
                aSize,
                NameOf(baseline::None),
                aName,
                static_cast<unsigned long long>(aResult.mAudit.mFalse),
                static_cast<unsigned long long>(aResult.mCounts.mFirst),
                100 * Share(aResult.mCounts.mRefused, aResult.mCounts.mFirst),
                Verdict(aIsBound, isMet));
    return !aIsBound || isMet;
  };
  return made;
}

job
GrayFailureJob(const char* aSize,
               const fleet_settings& aSettings,
               baseline aBaseline,
               const char* aName,
               const target_fault& aFault)
{
  job made;
  made.mRun = [=] {
    return MeasureGrayFailure(aSettings, aBaseline, aFault, 17);
  };
  made.mPrint = [=](const measurement& aResult) {
    const auto& counts = aResult.mCounts;
    const double refused = Share(counts.mRefused, counts.mFirst);
    const double retries = Share(counts.mRetries, counts.mFirst);
    const bool isBound = aBaseline == baseline::None;
    const bool isMet = refused <= 0.001 && retries <= 0.1;
    std::printf("%-11s %-19s 1 in 6: %-21s refused %.3f%%  failed %.3f%%  "
                "retries %.2f%%  %s\n",
                aSize,
                NameOf(aBaseline),
                aName,
                100 * refused,
                100 * Share(counts.mFailed, counts.mFirst),
                100 * retries,
                Verdict(isBound, isMet));
    return !isBound || isMet;
  };
  return made;
}

job
PartitionJob(const char* aSize,
             const fleet_settings& aSettings,
             std::uint64_t aFleets)
{
  job made;
  made.mRun = [=] { return MeasurePartition(aSettings, aFleets); };
  made.mPrint = [=](const measurement& aResult) {
    const bool isMet = aResult.mAudit.mFalse * 100 <= aResult.mAudit.mAll;
    std::printf("%-11s %-19s %-29s fleet-wide %llu of %llu ejections  %s\n",
                aSize,
                NameOf(baseline::None),
                "one zone cut off",
                static_cast<unsigned long long>(aResult.mAudit.mFalse),
                static_cast<unsigned long long>(aResult.mAudit.mAll),
                Verdict(true, isMet));
    return isMet;
  };
  return made;
}

std::vector<job>
MakeJobs(bool aIsQuick)
{
  std::vector<job> jobs;
  jobs.reserve(64);
  const auto hour = aIsQuick ? duration(600s) : duration(3600s);
  const std::uint64_t fleets = aIsQuick ? 4 : 12;
  const std::vector<std::pair<const char*, fleet_settings>> sizes = {
    { "Hronec", Hronec() }, { "Lagoa Viva", LagoaViva() }
  };
  const std::vector<baseline> baselines = { baseline::None,
                                            baseline::Random,
                                            baseline::RoundRobin,
                                            baseline::ConsecutiveErrors,
                                            baseline::OwnEvidenceOnly };
  for (const auto& [name, settings] : sizes) {
    jobs.push_back(FaultFreeJob(name, settings, "fault-free hour", true, hour));
  }
  for (const double errors : { 0.0, 0.01 }) {
    auto settings = Hronec();
    settings.mBaselineErrorRate = errors;
    jobs.push_back(FaultFreeJob("Hronec",
                                settings,
                                errors > 0 ? "10 min, ordinary errors 1%"
                                           : "10 min, no errors",
                                false,
                                600s));
  }
  for (const auto& [name, settings] : sizes) {
    jobs.push_back(PartitionJob(name, settings, fleets / 2));
    for (const auto& one : FaultCases()) {
      jobs.push_back(DetectionJob(name, settings, baseline::None, one, fleets));
    }
  }
  for (const auto kind : baselines) {
    jobs.push_back(
      GrayFailureJob("Hronec", Hronec(), kind, "20% errors", Errors(0.2)));
    jobs.push_back(
      GrayFailureJob("Hronec", Hronec(), kind, "5x latency", Slow(5)));
    if (kind == baseline::None) {
      jobs.push_back(GrayFailureJob(
        "Lagoa Viva", LagoaViva(), kind, "20% errors", Errors(0.2)));
      jobs.push_back(
        GrayFailureJob("Lagoa Viva", LagoaViva(), kind, "5x latency", Slow(5)));
      continue;
    }
    for (const auto& one : FaultCases()) {
      if (!one.mSecond) {
        jobs.push_back(DetectionJob("Hronec", Hronec(), kind, one, 1));
      }
    }
  }
  return jobs;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const bool isQuick =
    aArgumentCount > 1 && std::string_view(aArguments[1]) == "--quick";
  auto jobs = MakeJobs(isQuick);
  RunJobs(jobs);
  bool isMet = true;
  for (const auto& one : jobs) {
    isMet = one.mPrint(one.mResult) && isMet;
  }
  std::printf("%s\n", isMet ? "all targets met" : "a target was MISSED");
  return isMet ? 0 : 1;
}
