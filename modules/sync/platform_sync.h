#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "modules/sharing/peer_message.h"
#include "modules/sync/view_updater.h"

#include <deque>
#include <functional>

namespace cowslipline {

/// Messages between platform_sync and the other instances of its availability
/// zone, one of which is the zone's reader.
class sync_peers
{
public:
  virtual ~sync_peers() = default;

  /// True when this instance watches the store for its zone.
  virtual bool IsReader() const = 0;

  /// Asks the zone's reader for changes after aPosition. std::nullopt when
  /// neither it nor the instance that takes over from it replies, or when this
  /// instance is the reader.
  virtual std::optional<changes_reply> AskReader(
    const store_position& aPosition,
    yield_context aYield) = 0;

  /// Sends changes of any length to the other instances of the zone.
  virtual void Broadcast(const changes_reply& aChanges) = 0;

  /// The reader's state is too old: another instance is asked from now on.
  virtual void PassOverReader() = 0;

  /// This instance cannot reach the store, so that another one becomes the
  /// reader if there is one. aAge: of this instance's state.
  virtual void OnStoreLost(duration aAge) = 0;
};

/// Keeps a platform_view in step with the store. One instance of each
/// availability zone, the reader, watches the store and forwards changes; the
/// others are followers and ask the reader with a datagram from time to time. A
/// follower calls the store only after a gap in the changes, or when neither
/// the reader nor the instance that takes over from it has a recent state in
/// time. The number of calls to the store therefore grows with the zones and
/// not with the instances.
class platform_sync
{
public:
  /// aConfigurationBound: time within which a change must be in force on this
  /// instance. Watch and follow intervals are fractions of it.
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

  /// aHandler: called when the store has come back from an older copy, with the
  /// lease under which that lists this instance; its id is 0 if it does not.
  void SetRestoredHandler(std::function<void(const store_lease&)> aHandler)
  {
    mRestoredHandler = std::move(aHandler);
  }

  /// Answers a follower of the zone that asks for changes after its revision.
  changes_reply Answer(const changes_request& aQuestion);
  /// This instance has become the reader: it looks at the store now.
  void OnBecameReader() { mWakeUp.Set(); }
  /// Applies changes that the zone's reader has broadcast.
  void OnChangesReceived(const changes_reply& aChanges);

private:
  bool ReadAll(yield_context aYield);
  /// The first read may be of an old state, which the watch or the reader
  /// confirms before this instance counts as complete.
  bool ReadOldState(yield_context aYield);
  bool Watch(duration aWait, yield_context aYield);
  /// Gets the changes from the zone's reader. False when the store has to be
  /// asked instead.
  bool FollowReader(yield_context aYield);
  /// One synchronisation with the store or the zone's reader; false when
  /// neither could be reached.
  bool SyncOnce(yield_context aYield);
  /// The state is so old that only a call to the store keeps the bound.
  bool IsStoreDue(steady_time aNow) const;
  /// False for a while after a failed call to the store.
  bool MayCallStore(steady_time aNow) const { return aNow >= mNextCallAt; }
  bool ApplyForwarded(const changes_reply& aChanges);
  void RecordChanges(std::uint64_t aFrom, const platform_changes& aChanges);
  void BeginGraceAfterOutage();
  /// The store has come back from an older copy.
  void OnStoreRestored(const store_position& aPosition);
  /// Another instance has reached a later generation of the store.
  void OnLaterGeneration(std::uint64_t aGeneration);
  void Apply(const platform_changes& aChanges, bool aIsFullRead);
  /// The store or the reader has answered a request of aRequestedAt.
  void ConfirmFreshness(steady_time aRequestedAt);
  /// What the store lacked when it came back from a copy has had time to be
  /// written again, according to the store.
  bool IsRecovered() const;
  /// duration::max() once it is time to record the recovery.
  duration TimeToRecovery(steady_time aNow) const;
  /// Tells all instances, also those that start later, that the store can be
  /// relied on. Does nothing before the time for writing again has passed.
  void RecordRecovery(steady_time aNow, yield_context aYield);
  /// Age of the store's state that this instance has; duration::max() before
  /// the first read. It may be that of an older copy, unlike what the view's
  /// freshness vouches for.
  duration AgeOfState(steady_time aNow) const;
  /// A random part of aWhole, to spread what many instances do.
  duration RandomPart(duration aWhole);
  /// Logs why a follower has to call the store; false.
  bool MustCallStore(const char* aReason);
  /// Ends the wait after failed calls.
  void OnStoreAnswered()
  {
    mBackoff = duration(0);
    mNextCallAt = steady_time::min();
  }
  void OnStoreFailure(std::error_code aError, const char* aCall);

  scheduler& mScheduler;
  platform_feed& mFeed;
  platform_view& mView;
  metrics& mMetrics;
  sync_peers& mPeers;
  random_source mRandom;
  duration mWatchWait{ 0 };
  duration mFollowInterval{ 0 };
  duration mMaxReaderAge{ 0 };
  duration mMaxAgeBeforeCall{ 0 };
  duration mPauseAfterChanges{ 0 };
  duration mLongestBackoff{ 0 };
  duration mLongestReadBackoff{ 0 };
  event mWakeUp;
  std::function<void(const store_lease&)> mRestoredHandler =
    [](const store_lease&) {};
  /// Latest changes, to answer followers.
  std::deque<changes_reply> mRecentChanges;
  std::size_t mRecentBytes = 0; ///< Text of mRecentChanges.
  /// The reader has broadcast changes without their text, so the next changes
  /// have to come from the store.
  bool mMustAskStore = false;
  bool mIsStopped = false;
  /// The state was confirmed, and no call to the store has failed since.
  bool mIsConnected = false;
  /// A watch can start after mPosition; if not, a full read is required.
  bool mIsPositionValid = false;
  store_position mPosition;
  /// A read of a possibly old state has been tried since the start.
  bool mHasReadOldState = false;
  /// A peer has caused the next full read, as it has for other instances.
  bool mIsReadSpread = false;
  steady_time mLastReadAt; ///< Of the last full read.
  /// Wait after failed calls to the store, 0 after one that succeeded.
  duration mBackoff{ 0 };
  steady_time mNextCallAt = steady_time::min();
  /// When the store or the reader last answered; steady_time() before the first
  /// answer.
  steady_time mLastConfirmedAt;
  view_updater mUpdater;
  steady_time mSyncedAt = steady_time::min();
  /// Until then a store that has come back from a copy may lack changes that it
  /// had acknowledged, such as the withdrawal of a key.
  steady_time mRewriteEnd = steady_time::min();
};

} // namespace cowslipline
