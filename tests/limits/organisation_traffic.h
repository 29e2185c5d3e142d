#pragma once

#include "core/random.h"
#include "tests/limits/limiter_fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipline::testing {

struct traffic_counts
{
  std::uint64_t mSent = 0;
  std::uint64_t mRefused = 0;
};

/// Sends requests to randomly chosen running instances of a fleet. Each
/// organisation has a Poisson stream at a given part of its rate.
class organisation_traffic
{
public:
  organisation_traffic(limiter_fleet& aFleet, std::uint64_t aSeed)
    : mFleet(aFleet)
    , mRandom(aSeed)
  {
  }

  /// aLoad: part of the rate that is sent. With aIsInRate, requests that would
  /// exceed rate and burst are not sent.
  void Add(const organisation& aOrganisation, double aLoad, bool aIsInRate)
  {
    mStreams.push_back(
      { aOrganisation.mName,
        aOrganisation.mRate * aLoad,
        aIsInRate,
        window_checker(aOrganisation.mRate, aOrganisation.mBurst),
        window_checker(aOrganisation.mRate, aOrganisation.mBurst) });
  }

  void Run(duration aTime)
  {
    constexpr auto kStep = std::chrono::milliseconds(2);
    const auto end = mFleet.mClock.Now() + aTime;
    while (mFleet.mClock.Now() < end) {
      for (auto& stream : mStreams) {
        auto due = stream.mPerSecond * 0.002;
        for (; due > 0 && mRandom.Unit() < due; due -= 1) {
          Send(stream);
        }
      }
      mFleet.Advance(kStep);
    }
  }

  /// Clears the counts.
  void Reset() { mCounts.clear(); }
  const traffic_counts& Of(const std::string& aOrganisation)
  {
    return mCounts[aOrganisation];
  }
  traffic_counts Total() const
  {
    traffic_counts total;
    for (const auto& [name, counts] : mCounts) {
      total.mSent += counts.mSent;
      total.mRefused += counts.mRefused;
    }
    return total;
  }
  bool IsBoundBroken() const { return mIsBoundBroken; }

private:
  struct stream
  {
    std::string mName;
    double mPerSecond;
    bool mIsInRate;
    window_checker mOffered;
    window_checker mAdmitted;
  };

  void Send(stream& aStream)
  {
    const auto now = mFleet.mClock.Now();
    if (aStream.mIsInRate && !aStream.mOffered.AddIfWithin(now)) {
      return;
    }
    auto& process = RandomRunningProcess();
    ++mCounts[aStream.mName].mSent;
    mFleet.mClock.Spawn([this, &aStream, &process](yield_context aYield) {
      const auto outcome = process.mLimiter->Admit(
        aStream.mName, std::chrono::milliseconds(50), aYield);
      if (!outcome) {
        ++mCounts[aStream.mName].mRefused;
      } else if (!aStream.mAdmitted.Add(mFleet.mClock.Now())) {
        mIsBoundBroken = true;
      }
    });
  }

  limiter_process& RandomRunningProcess()
  {
    while (true) {
      auto next = mFleet.mProcesses.begin();
      std::advance(next, mRandom.Below(mFleet.mProcesses.size()));
      if (next->second->IsRunning()) {
        return *next->second;
      }
    }
  }

  limiter_fleet& mFleet;
  random_source mRandom;
  std::vector<stream> mStreams;
  std::map<std::string, traffic_counts> mCounts;
  bool mIsBoundBroken = false;
};

} // namespace cowslipline::testing
