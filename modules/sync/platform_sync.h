#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "modules/sync/platform_feed.h"

#include <map>

namespace cowslipline {

/// What this instance knows from the store. Read by requests, written by the
/// sync task; both run on one thread.
struct platform_view
{
  platform_view(duration aRevocationBound, fleet_member aSelf)
    : mFreshness(aRevocationBound)
    , mMembers(std::move(aSelf))
  {
  }

  /// Null until the first configuration was read.
  std::shared_ptr<const route_index> mRoutes;
  configuration_freshness mFreshness;
  target_directory mTargets;
  member_table mMembers;
  /// Everything was read at least once since the start.
  bool mIsComplete = false;
};

/// Follows the store with one watch for everything, so that an instance makes
/// about one call in two seconds while nothing changes.
class platform_sync
{
public:
  platform_sync(scheduler& aScheduler,
                platform_feed& aFeed,
                platform_view& aView,
                metrics& aMetrics,
                duration aRevocationBound,
                std::uint64_t aSeed);

  /// Runs until Stop().
  void Run(yield_context aYield);
  void Stop() { mIsStopped = true; }

private:
  bool ReadAll(yield_context aYield);
  bool Watch(yield_context aYield);
  void Apply(const platform_changes& aChanges, bool aIsWhole);
  void ApplyConfiguration(const configuration_changed& aChange);
  void RemoveTarget(const std::string& aId);
  void DropLapsedTargets();
  void OnAnswer(steady_time aAskedAt);
  void OnFailure(std::error_code aError, const char* aCall);

  scheduler& mScheduler;
  platform_feed& mFeed;
  platform_view& mView;
  metrics& mMetrics;
  random_source mRandom;
  duration mWatchWait;
  bool mIsStopped = false;
  bool mIsInContact = false;
  bool mIsHistoryKnown = false;
  std::uint64_t mRevision = 0;
  steady_time mLastAnswer;
  /// Until then, entries that are missing may be back: they lapsed while the
  /// store was away.
  steady_time mLapseGraceUntil;
  std::map<std::string, steady_time> mLapsed;
};

} // namespace cowslipline
