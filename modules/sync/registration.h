#pragma once

#include "modules/sync/platform_feed.h"

namespace cowslipline {

/// Keeps this instance registered under a lease, so that the others find it.
class registration
{
public:
  registration(scheduler& aScheduler, platform_feed& aFeed, fleet_member aSelf)
    : mScheduler(aScheduler)
    , mFeed(aFeed)
    , mSelf(std::move(aSelf))
  {
  }

  /// Runs until Stop().
  void Run(yield_context aYield);
  void Stop() { mIsStopped = true; }

  /// Gives the lease back, so that the others know at once.
  void Leave(yield_context aYield);

private:
  scheduler& mScheduler;
  platform_feed& mFeed;
  fleet_member mSelf;
  std::optional<lease_id> mLease;
  bool mIsStopped = false;
};

} // namespace cowslipline
