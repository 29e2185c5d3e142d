#pragma once

#include "core/manual_scheduler.h"
#include "modules/limits/limits.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/memory_peer_network.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslipline::testing {

class fixed_snapshots final : public snapshot_source
{
public:
  snapshot_pointer Current() const override { return mCurrent; }
  void Set(std::vector<organisation> aOrganisations)
  {
    auto next = std::make_shared<snapshot>();
    next->mVersion = mCurrent->mVersion + 1;
    for (organisation_index i = 0; i < aOrganisations.size(); ++i) {
      next->mOrganisationByName[aOrganisations[i].mName] = i;
    }
    next->mOrganisations = std::move(aOrganisations);
    mCurrent = std::move(next);
  }

private:
  snapshot_pointer mCurrent = std::make_shared<snapshot>();
};

/// The peer channel of one process. Drops what a crashed process still sends,
/// even when another process has started under its name.
class process_channel final : public peer_channel
{
public:
  explicit process_channel(std::shared_ptr<peer_channel> aInner)
    : mInner(std::move(aInner))
  {
  }
  void Send(const instance_name& aTo,
            std::string_view aService,
            std::string aPayload) override
  {
    if (!mIsDead) {
      mInner->Send(aTo, aService, std::move(aPayload));
    }
  }
  result<std::string> Call(const instance_name& aTo,
                           std::string_view aService,
                           std::string aPayload,
                           duration aTimeout,
                           yield_context aYield) override
  {
    if (mIsDead) {
      return Fail(errc::PeerUnreachable);
    }
    auto reply =
      mInner->Call(aTo, aService, std::move(aPayload), aTimeout, aYield);
    return mIsDead ? Fail(errc::PeerUnreachable) : std::move(reply);
  }
  void Handle(std::string aService, peer_handler aHandler) override
  {
    mInner->Handle(std::move(aService), std::move(aHandler));
  }
  bool mIsDead = false;

private:
  std::shared_ptr<peer_channel> mInner;
};

/// One process of an instance in a test.
struct limiter_process
{
  member mSelf;
  std::shared_ptr<process_channel> mChannel;
  std::shared_ptr<memory_key_value_store> mStore;
  std::shared_ptr<fixed_membership> mMembership;
  std::shared_ptr<rate_limiter> mLimiter;
  bool mIsPaused = false;
  bool mIsLeaving = false;
  bool mIsStoreCut = false;
  /// Other members do not hear this process, but it hears them.
  bool mIsUnheard = false;
  steady_time mLastHeartbeat{ duration(0) };

  bool IsRunning() const { return !mChannel->mIsDead && !mIsPaused; }
};

/// Several rate limiters on a fake network, store and membership. Views have
/// the delays of the real membership: a silent member leaves the live list
/// after 3 s and the platform's list after 5 s.
class limiter_fleet
{
public:
  explicit limiter_fleet(std::uint64_t aSeed)
    : mNetwork(mClock, aSeed)
    , mSeed(aSeed)
  {
  }

  limiter_process& StartProcess(const std::string& aName)
  {
    auto& boot = mBoots[aName];
    auto process = std::make_shared<limiter_process>();
    process->mSelf = { aName, "zone", ++boot, instance_state::Live };
    process->mChannel = std::make_shared<process_channel>(mNetwork.Join(aName));
    process->mStore = std::make_shared<memory_key_value_store>(
      mClock, mStoreContent, mSeed * 1000 + mAll.size());
    process->mMembership = std::make_shared<fixed_membership>(
      process->mSelf, std::vector<member>{ process->mSelf });
    process->mLastHeartbeat = mClock.Now();
    process->mLimiter =
      rate_limiter::Create({ { std::shared_ptr<void>(), &mClock },
                             process->mStore,
                             process->mChannel,
                             process->mMembership,
                             mSnapshots,
                             mMetrics });
    mAll.push_back(process);
    mProcesses[aName] = process;
    UpdateViews();
    process->mLimiter->Start();
    return *process;
  }

  void StartMany(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      StartProcess("instance-" + std::to_string(i));
    }
  }

  void Crash(const std::string& aName)
  {
    auto& process = *mProcesses.at(aName);
    process.mChannel->mIsDead = true;
    process.mStore->SetCutOff(true);
    mNetwork.SetPaused(aName, false);
    mNetwork.Leave(aName);
  }

  void Pause(const std::string& aName, bool aIsPaused)
  {
    auto& process = *mProcesses.at(aName);
    process.mIsPaused = aIsPaused;
    process.mStore->SetCutOff(aIsPaused || process.mIsStoreCut);
    mNetwork.SetPaused(aName, aIsPaused);
  }

  /// Advances time and keeps the views up to date.
  void Advance(duration aDuration)
  {
    const auto end = mClock.Now() + aDuration;
    while (mClock.Now() < end) {
      if (mClock.Now() >= mNextViews) {
        UpdateViews();
        mNextViews = mClock.Now() + std::chrono::milliseconds(500);
      }
      mClock.Advance(std::min(end, mNextViews) - mClock.Now());
    }
  }

  void UpdateViews()
  {
    const auto now = mClock.Now();
    std::vector<member> live;
    for (auto& [name, process] : mProcesses) {
      if (process->IsRunning() && !process->mIsUnheard) {
        process->mLastHeartbeat = now;
      }
      const bool isSeen =
        now - process->mLastHeartbeat < std::chrono::seconds(3);
      if (isSeen && !process->mIsLeaving) {
        live.push_back(process->mSelf);
      }
    }
    for (auto& [name, process] : mProcesses) {
      if (process->IsRunning()) {
        UpdateView(*process, live);
      }
    }
  }

  manual_scheduler& mClock = NewClock();
  memory_peer_network mNetwork;
  std::shared_ptr<memory_store_content> mStoreContent =
    std::make_shared<memory_store_content>();
  std::shared_ptr<fixed_snapshots> mSnapshots =
    std::make_shared<fixed_snapshots>();
  std::shared_ptr<metrics> mMetrics = std::make_shared<metrics>();
  std::map<std::string, std::shared_ptr<limiter_process>> mProcesses;
  /// Views are split: members with an odd index are not seen by the others and
  /// the other way round, so that shards have two owners.
  bool mIsSplit = false;

private:
  /// Clocks live as long as the program: destroying one unwinds the stacks of
  /// its suspended tasks, which AddressSanitizer reports as errors.
  static manual_scheduler& NewClock()
  {
    static auto* clocks = new std::vector<std::unique_ptr<manual_scheduler>>;
    clocks->push_back(std::make_unique<manual_scheduler>());
    return *clocks->back();
  }

  void UpdateView(limiter_process& aProcess, const std::vector<member>& aLive)
  {
    const auto now = mClock.Now();
    std::vector<member> seen;
    for (const auto& one : aLive) {
      const bool isSameSide =
        Hash64(one.mName) % 2 == Hash64(aProcess.mSelf.mName) % 2;
      if (!mIsSplit || isSameSide) {
        seen.push_back(one);
      }
    }
    aProcess.mMembership->SetLive(std::move(seen));
    aProcess.mMembership->SetLastContact(now);
    for (const auto& [name, other] : mProcesses) {
      aProcess.mMembership->SetLastHeard(name, other->mLastHeartbeat);
      const auto silence = now - other->mLastHeartbeat;
      aProcess.mMembership->SetAbsentSince(name,
                                           silence > std::chrono::seconds(5)
                                             ? other->mLastHeartbeat +
                                                 std::chrono::seconds(5)
                                             : steady_time::max());
    }
  }

  std::uint64_t mSeed;
  std::map<std::string, std::uint64_t> mBoots;
  /// Crashed processes stay allocated: their tasks may still run.
  std::vector<std::shared_ptr<limiter_process>> mAll;
  steady_time mNextViews{ duration(0) };
};

/// Checks the times of an organisation's admitted requests against the bound:
/// over any window at most rate x window + burst. This is the same as
/// conformance to one token bucket that starts full.
class window_checker
{
public:
  window_checker(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mLevel(aBurst)
  {
  }

  /// Counts a request. Returns false when a window that ends now exceeds the
  /// bound.
  bool Add(steady_time aNow)
  {
    constexpr double kRounding = 1e-6;
    const auto passed = std::chrono::duration<double>(aNow - mLast).count();
    mLevel = std::min(mBurst, mLevel + mRate * passed) - 1;
    mLast = aNow;
    ++mCount;
    return mLevel >= -kRounding;
  }

  /// Adds nothing and returns false when the request would exceed the bound.
  bool AddIfWithin(steady_time aNow)
  {
    auto tried = *this;
    if (!tried.Add(aNow)) {
      return false;
    }
    *this = tried;
    return true;
  }

  /// Applies a new configuration: the level is clipped, not refilled.
  void Change(double aRate, double aBurst, steady_time aNow)
  {
    const auto passed = std::chrono::duration<double>(aNow - mLast).count();
    mLevel = std::min({ mBurst, aBurst, mLevel + mRate * passed });
    mLast = aNow;
    mRate = aRate;
    mBurst = aBurst;
  }

  double Level() const { return mLevel; }
  std::uint64_t Count() const { return mCount; }

private:
  double mRate;
  double mBurst;
  double mLevel;
  steady_time mLast{ std::chrono::hours(1) };
  std::uint64_t mCount = 0;
};

} // namespace cowslipline::testing
