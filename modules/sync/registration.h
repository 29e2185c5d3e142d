#pragma once

#include "modules/sync/platform_feed.h"

namespace cowslipline {

/// Keeps this instance registered in the store under a lease, so that the other
/// instances find it. Renews the lease, and registers again when it has
/// expired or the store has come back from a copy, in which it may be missing.
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

  /// Registers again now instead of with the next renewal, since the others
  /// remove what the store does not list two seconds after its return.
  void OnStoreRestored() { mWakeUp.Set(); }

  /// Removes the registration at once instead of when the lease expires. On
  /// failure it is left to expire.
  void Deregister(yield_context aYield);

private:
  scheduler& mScheduler;
  platform_feed& mFeed;
  fleet_member mSelf;
  std::optional<store_lease> mLease;
  event mWakeUp;
  bool mIsStopped = false;
};

} // namespace cowslipline
