#pragma once

#include "core/manual_scheduler.h"
#include "core/random.h"
#include "modules/health/health.h"
#include "tests/fakes/memory_peer_network.h"

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cowslipline::testing {

class fixed_snapshots final : public snapshot_source
{
public:
  snapshot_pointer Current() const override { return mCurrent; }
  void Set(snapshot aSnapshot)
  {
    mCurrent = std::make_shared<const snapshot>(std::move(aSnapshot));
  }

private:
  snapshot_pointer mCurrent = std::make_shared<const snapshot>();
};

struct simulated_service
{
  std::string mName;
  std::size_t mTargets = 0;
  std::uint32_t mFloor = 1;
  duration mMedianLatency = std::chrono::milliseconds(40);
  bool mIsIdempotent = true;
};

struct fleet_settings
{
  std::vector<simulated_service> mServices;
  std::size_t mInstances = 40;
  duration mZoneLatency{ 500 };
  /// Share of requests that fail at a healthy target.
  double mBaselineErrorRate = 0.001;
  std::uint64_t mSeed = 1;
  /// Each instance has only itself as a member, so that it owns every service
  /// and decides on its own evidence.
  bool mIsAlone = false;
};

/// Faults injected into a target.
struct target_fault
{
  /// Share of requests that fail, 0 to 1.
  double mErrors = 0;
  /// Factor of the service time.
  double mSlowness = 1;
  bool mRefuses = false;
  bool mHangs = false;
  bool mIsDraining = false;
  /// Instances that cannot connect to the target.
  std::set<instance_name> mUnreachableFrom;
};

struct simulated_target
{
  target_fault mFault;
  std::uint32_t mActive = 0;
  std::uint64_t mAttempts = 0;
};

struct request_counts
{
  std::uint64_t mFirst = 0;
  std::uint64_t mSucceeded = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mRetries = 0;
};

/// Load-balancing policy of one instance: the module under test or a baseline.
class choice_policy
{
public:
  virtual ~choice_policy() = default;
  virtual result<target_choice> Choose(service_index aService,
                                       const excluded_targets& aExcluded) = 0;
  virtual void Report(const attempt_report& aReport) = 0;
  virtual bool IsInUse(std::string_view aService, std::string_view aTarget) = 0;
};

class selector_policy final : public choice_policy
{
public:
  explicit selector_policy(std::shared_ptr<target_selector> aSelector)
    : mSelector(std::move(aSelector))
  {
  }
  result<target_choice> Choose(service_index aService,
                               const excluded_targets& aExcluded) override
  {
    return mSelector->Choose(aService, aExcluded);
  }
  void Report(const attempt_report& aReport) override
  {
    mSelector->Report(aReport);
  }
  bool IsInUse(std::string_view aService, std::string_view aTarget) override
  {
    return mSelector->IsInUse(aService, aTarget);
  }

private:
  std::shared_ptr<target_selector> mSelector;
};

struct simulated_instance
{
  member mMember;
  std::shared_ptr<fixed_membership> mMembership;
  std::shared_ptr<metrics> mMetrics;
  std::shared_ptr<kernel> mKernel;
  std::shared_ptr<target_selector> mSelector;
  std::shared_ptr<retry_budget> mBudget;
  std::shared_ptr<request_quarantine> mQuarantine;
  std::shared_ptr<admission_queue> mQueue;
  std::shared_ptr<choice_policy> mPolicy;
};

/// Instances that run the health module over an in-memory network, against
/// simulated targets with slots, service times and faults. Time is simulated.
class simulated_fleet
{
public:
  explicit simulated_fleet(fleet_settings aSettings)
    : mSettings(std::move(aSettings))
    , mNetwork(mClock, mSettings.mSeed)
    , mRandom(mSettings.mSeed + 1)
    , mSnapshots(std::make_shared<fixed_snapshots>())
  {
    mNetwork.SetLatency(mSettings.mZoneLatency);
    mSnapshots->Set(MakeSnapshot());
    for (std::size_t i = 0; i < mSettings.mInstances; ++i) {
      mMembers.push_back(
        { "instance-" + std::to_string(i), ZoneName(i), 1, {} });
    }
    for (std::size_t i = 0; i < mSettings.mInstances; ++i) {
      mInstances.push_back(MakeInstance(i));
    }
  }

  simulated_fleet(const simulated_fleet&) = delete;
  simulated_fleet& operator=(const simulated_fleet&) = delete;

  /// Lets all tasks end: AddressSanitizer reports the unwinding of a suspended
  /// task's stack as an error.
  ~simulated_fleet()
  {
    mIsTrafficOn = false;
    for (auto& one : mInstances) {
      one.mKernel->Stop();
    }
    mClock.Advance(std::chrono::seconds(30));
  }

  static std::string ZoneName(std::size_t aIndex)
  {
    return "zone-" + std::to_string(aIndex % 3);
  }

  snapshot MakeSnapshot() const
  {
    snapshot made;
    made.mVersion = 1;
    for (const auto& one : mSettings.mServices) {
      service added;
      added.mName = one.mName;
      added.mFloor = one.mFloor;
      for (std::size_t i = 0; i < one.mTargets; ++i) {
        target next;
        next.mId = "target-" + std::to_string(i);
        next.mAvailabilityZone = ZoneName(i);
        added.mTargets.push_back(next);
      }
      made.mServices.push_back(added);
    }
    return made;
  }

  simulated_target& Target(std::size_t aService, std::size_t aTarget)
  {
    const auto& settings = mSettings.mServices[aService];
    return mTargets[{ settings.mName, "target-" + std::to_string(aTarget) }];
  }

  simulated_instance& Instance(std::size_t aIndex)
  {
    return mInstances[aIndex];
  }
  std::size_t Size() const { return mInstances.size(); }
  manual_scheduler& Clock() { return mClock; }
  memory_peer_network& Network() { return mNetwork; }
  fixed_snapshots& Snapshots() { return *mSnapshots; }
  const fleet_settings& Settings() const { return mSettings; }
  const std::vector<member>& Members() const { return mMembers; }
  request_counts& Counts() { return mCounts; }

  /// Simulates the restart of an instance: the new one has no state.
  void Restart(std::size_t aIndex)
  {
    mInstances[aIndex].mKernel->Stop();
    mStopped.push_back(mInstances[aIndex]);
    mInstances[aIndex] = MakeInstance(aIndex);
  }

  /// Starts Poisson arrivals at every instance. The whole fleet sends
  /// aPerTarget requests/s for each target of a service.
  void StartTraffic(double aPerTarget)
  {
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      for (service_index s = 0; s < mSettings.mServices.size(); ++s) {
        const double rate =
          aPerTarget * static_cast<double>(mSettings.mServices[s].mTargets) /
          static_cast<double>(mInstances.size());
        mClock.Spawn([this, i, s, rate](yield_context aYield) {
          Generate(i, s, rate, aYield);
        });
      }
    }
  }
  void StopTraffic() { mIsTrafficOn = false; }
  void Advance(duration aDuration) { mClock.Advance(aDuration); }

  bool IsInUseAnywhere(std::size_t aService, std::size_t aTarget)
  {
    const auto& name = mSettings.mServices[aService].mName;
    const auto id = "target-" + std::to_string(aTarget);
    for (auto& one : mInstances) {
      if (one.mPolicy->IsInUse(name, id)) {
        return true;
      }
    }
    return false;
  }

  /// Advances until no instance uses the target, or until aLimit has passed.
  /// Returns the time that passed.
  duration AdvanceUntilOut(std::size_t aService,
                           std::size_t aTarget,
                           duration aLimit)
  {
    const auto start = mClock.Now();
    while (mClock.Now() - start < aLimit &&
           IsInUseAnywhere(aService, aTarget)) {
      mClock.Advance(std::chrono::milliseconds(10));
    }
    return mClock.Now() - start;
  }

  /// Sends one request with its retries, as the gateway does.
  void Request(std::size_t aInstance,
               service_index aService,
               yield_context aYield)
  {
    // A copy, since Restart() may replace the instance meanwhile.
    const auto instance = mInstances[aInstance];
    ++mCounts.mFirst;
    const auto deadline = mClock.Now() + std::chrono::seconds(2);
    if (!instance.mQueue->Enter(aService, 0, deadline, aYield)) {
      ++mCounts.mRefused;
      return;
    }
    instance.mBudget->RecordFirstAttempt(aService);
    ++*CounterOf(SendWithRetries(instance, aService, aYield));
    instance.mQueue->Leave(aService);
  }

private:
  enum class final_outcome
  {
    Succeeded,
    Refused,
    Failed,
  };

  std::uint64_t* CounterOf(final_outcome aOutcome)
  {
    return aOutcome == final_outcome::Succeeded ? &mCounts.mSucceeded
           : aOutcome == final_outcome::Refused ? &mCounts.mRefused
                                                : &mCounts.mFailed;
  }

  final_outcome SendWithRetries(const simulated_instance& aInstance,
                                service_index aService,
                                yield_context aYield)
  {
    excluded_targets excluded;
    auto outcome = final_outcome::Refused;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const auto choice = aInstance.mPolicy->Choose(aService, excluded);
      if (!choice) {
        return outcome;
      }
      const auto report = Attempt(aInstance, *choice, aYield);
      aInstance.mPolicy->Report(report);
      if (report.mOutcome == attempt_outcome::Success) {
        return final_outcome::Succeeded;
      }
      const bool didNotRun =
        report.mOutcome == attempt_outcome::ConnectFailure ||
        report.mOutcome == attempt_outcome::Shed;
      outcome = report.mOutcome == attempt_outcome::Shed
                  ? final_outcome::Refused
                  : final_outcome::Failed;
      if (!(didNotRun || mSettings.mServices[aService].mIsIdempotent) ||
          !aInstance.mBudget->TakeRetry(aService)) {
        return outcome;
      }
      ++mCounts.mRetries;
      excluded.push_back(*choice);
    }
    return outcome;
  }

  attempt_report Attempt(const simulated_instance& aInstance,
                         const target_choice& aChoice,
                         yield_context aYield)
  {
    auto& target = mTargets[{ aChoice.mServiceName, aChoice.mTargetName }];
    const auto fault = target.mFault;
    const auto start = mClock.Now();
    const auto end = [&](attempt_outcome aOutcome) {
      return attempt_report{
        aChoice, aOutcome, mClock.Now() - start, fault.mIsDraining
      };
    };
    ++target.mAttempts;
    if (fault.mRefuses ||
        fault.mUnreachableFrom.count(aInstance.mMember.mName) > 0) {
      mClock.SleepFor(std::chrono::milliseconds(1), aYield);
      return end(attempt_outcome::ConnectFailure);
    }
    if (target.mActive >= kSlots) {
      mClock.SleepFor(std::chrono::milliseconds(1), aYield);
      return end(attempt_outcome::Shed);
    }
    const bool fails = mRandom.Unit() < mSettings.mBaselineErrorRate ||
                       mRandom.Unit() < fault.mErrors;
    ++target.mActive;
    if (fault.mHangs) {
      mClock.SleepFor(std::chrono::seconds(1), aYield);
      --target.mActive;
      return end(attempt_outcome::Timeout);
    }
    mClock.SleepFor(ServiceTime(aInstance, aChoice, fault), aYield);
    --target.mActive;
    return end(fails ? attempt_outcome::Error : attempt_outcome::Success);
  }

  duration ServiceTime(const simulated_instance& aInstance,
                       const target_choice& aChoice,
                       const target_fault& aFault)
  {
    constexpr double kSpread = 0.4;
    const auto& settings = mSettings.mServices[aChoice.mService];
    const double micros = static_cast<double>(settings.mMedianLatency.count()) *
                          std::exp(kSpread * Normal()) * aFault.mSlowness;
    const auto& zone = aChoice.mSnapshot->mServices[aChoice.mService]
                         .mTargets[aChoice.mTarget]
                         .mAvailabilityZone;
    const auto path = zone == aInstance.mMember.mAvailabilityZone
                        ? duration(0)
                        : 2 * mSettings.mZoneLatency;
    return duration(static_cast<std::int64_t>(micros)) + path;
  }

  double Normal()
  {
    constexpr double kTwoPi = 6.283185307179586;
    return std::sqrt(-2 * std::log(1 - mRandom.Unit())) *
           std::cos(kTwoPi * mRandom.Unit());
  }

  void Generate(std::size_t aInstance,
                service_index aService,
                double aRate,
                yield_context aYield)
  {
    while (mIsTrafficOn) {
      const double seconds = -std::log(1 - mRandom.Unit()) / aRate;
      mClock.SleepFor(duration(static_cast<std::int64_t>(seconds * 1e6)),
                      aYield);
      if (mIsTrafficOn) {
        mClock.Spawn([this, aInstance, aService](yield_context aTaskYield) {
          Request(aInstance, aService, aTaskYield);
        });
      }
    }
  }

  simulated_instance MakeInstance(std::size_t aIndex)
  {
    simulated_instance made;
    made.mMember = mMembers[aIndex];
    const auto visibleMembers =
      mSettings.mIsAlone ? std::vector<member>{ made.mMember } : mMembers;
    made.mMembership =
      std::make_shared<fixed_membership>(made.mMember, visibleMembers);
    made.mMetrics = std::make_shared<metrics>();
    made.mKernel = std::make_shared<kernel>();
    auto& registry = *made.mKernel;
    (void)registry.Register<scheduler>(
      "scheduler", std::shared_ptr<scheduler>(&mClock, [](scheduler*) {}));
    (void)registry.Register("peer_channel", mNetwork.Join(made.mMember.mName));
    (void)registry.Register<membership>("membership", made.mMembership);
    (void)registry.Register<snapshot_source>("snapshots", mSnapshots);
    (void)registry.Register("metrics", made.mMetrics);
    (void)registry.Register("random_seed",
                            std::make_shared<std::uint64_t>(mRandom.Next()));
    (void)RegisterHealth(registry);
    registry.Start();
    made.mSelector = *registry.Find<target_selector>("target_selector");
    made.mBudget = *registry.Find<retry_budget>("retry_budget");
    made.mQuarantine = *registry.Find<request_quarantine>("request_quarantine");
    made.mQueue = *registry.Find<admission_queue>("admission_queue");
    made.mPolicy = std::make_shared<selector_policy>(made.mSelector);
    return made;
  }

  static constexpr std::uint32_t kSlots = 6;

  fleet_settings mSettings;
  manual_scheduler mClock;
  memory_peer_network mNetwork;
  random_source mRandom;
  std::shared_ptr<fixed_snapshots> mSnapshots;
  std::vector<member> mMembers;
  std::vector<simulated_instance> mInstances;
  std::vector<simulated_instance> mStopped;
  std::map<std::pair<std::string, std::string>, simulated_target> mTargets;
  request_counts mCounts;
  bool mIsTrafficOn = true;
};

} // namespace cowslipline::testing
