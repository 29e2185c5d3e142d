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

  /// Runs until Stop() or Deregister().
  void Run(yield_context aYield);
  void Stop();

  /// The store has come back from an older copy. Keeps a lease under which the
  /// copy lists this process: it was granted before the copy was taken, so its
  /// number was not given out again. Otherwise registers again now, since the
  /// others remove what the store does not list two seconds after its return.
  /// aListed: id 0 if the copy does not list it.
  void OnStoreRestored(const store_lease& aListed);

  /// Ends Run() and removes the registration at once instead of when the lease
  /// expires. On failure it is left to expire. A call of Run() that is under
  /// way ends first: the feed takes one call at a time.
  void Deregister(yield_context aYield);

private:
  void KeepRegistered(yield_context aYield);

  scheduler& mScheduler;
  platform_feed& mFeed;
  fleet_member mSelf;
  std::optional<store_lease> mLease;
  /// The store is of a later generation than mLease. OnStoreRestored() tells
  /// whether the lease still counts.
  bool mIsLeaseDoubtful = false;
  event mWakeUp;
  bool mIsRunning = false;
  event mRunEnded;
  bool mIsStopped = false;
};

} // namespace cowslipline
