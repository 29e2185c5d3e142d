#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "modules/sharing/peer_message.h"
#include "modules/sync/lapsed_entries.h"
#include "modules/sync/platform_feed.h"

#include <deque>
#include <set>

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

/// The instances of the own availability zone, as far as the sync uses them.
class sync_peers
{
public:
  virtual ~sync_peers() = default;

  /// True when this instance watches the store for its zone.
  virtual bool IsReader() const = 0;

  /// Asks the zone's reader; nothing when it does not reply.
  virtual std::optional<changes_reply> Ask(std::uint64_t aRevision,
                                           yield_context aYield) = 0;

  /// Tells the zone what has changed.
  virtual void Tell(const changes_reply& aChanges) = 0;
};

/// Follows the store. One instance of each availability zone watches it for
/// everything and passes changes on; the others ask that instance, with one
/// datagram a second, and ask the store only for a new configuration, after a
/// gap, and when the reader does not reply or knows nothing recent. So the
/// calls to the store grow with the zones and not with the instances.
class platform_sync
{
public:
  /// aConfigurationBound: a change is in force within this time.
  platform_sync(scheduler& aScheduler,
                platform_feed& aFeed,
                platform_view& aView,
                metrics& aMetrics,
                sync_peers& aPeers,
                duration aConfigurationBound,
                std::uint64_t aSeed);

  void SetConfigurationBound(duration aBound);

  /// Runs until Stop().
  void Run(yield_context aYield);
  void Stop() { mIsStopped = true; }

  /// A question of another instance of the zone.
  changes_reply Answer(const changes_request& aQuestion) const;
  /// Changes that the zone's reader tells unasked.
  void OnTold(const changes_reply& aChanges);

private:
  bool ReadAll(yield_context aYield);
  bool Watch(duration aWait, yield_context aYield);
  /// False when the store itself has to be asked.
  bool Follow(yield_context aYield);
  /// One round; false when nobody could be asked.
  bool Step(yield_context aYield);
  bool ApplyPassedOn(const changes_reply& aChanges);
  void Remember(std::uint64_t aFrom, const platform_changes& aChanges);
  void GrantLapseGrace();
  void Apply(const platform_changes& aChanges, bool aIsWhole);
  void ApplyConfiguration(const configuration_changed& aChange);
  void RemoveMissing(const std::set<std::string>& aTargets,
                     const std::set<std::string>& aMembers);
  void RemoveTarget(const std::string& aId, const char* aCause);
  void RemoveMember(const std::string& aName, const char* aCause);
  void RemoveOverdue();
  void OnAnswer(steady_time aAskedAt);
  void OnFailure(std::error_code aError, const char* aCall);

  scheduler& mScheduler;
  platform_feed& mFeed;
  platform_view& mView;
  metrics& mMetrics;
  sync_peers& mPeers;
  random_source mRandom;
  duration mWatchWait{ 0 };
  duration mFollowInterval{ 0 };
  duration mBelievedAge{ 0 };
  event mWoken;
  /// Changes of late, for those who ask.
  std::deque<changes_reply> mRecent;
  bool mIsToldPartially = false;
  bool mIsStopped = false;
  bool mIsInContact = false;
  bool mIsHistoryKnown = false;
  std::uint64_t mRevision = 0;
  steady_time mLastAnswer;
  lapsed_entries mLapsedTargets;
  lapsed_entries mLapsedMembers;
};

} // namespace cowslipline
