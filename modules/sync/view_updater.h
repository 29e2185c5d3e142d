#pragma once

#include "core/scheduler.h"
#include "modules/sync/departed_entries.h"
#include "modules/sync/lapsed_entries.h"
#include "modules/sync/platform_feed.h"

#include <set>

namespace cowslipline {

/// Time in which the entries that a store lacks after an outage, or after its
/// return from an older copy, are written again. The operators of the platform
/// state it.
constexpr duration kRewriteTime = std::chrono::seconds(2);

/// Local copy of the store's state: routes, targets and members. Requests read
/// it and the sync task writes it. Both run on one thread, so there is no lock.
struct platform_view
{
  platform_view(duration aRevocationBound, fleet_member aSelf)
    : mFreshness(aRevocationBound)
    , mMembers(std::move(aSelf))
  {
  }

  /// Null until the first configuration has been read.
  std::shared_ptr<const route_index> mRoutes;
  configuration_freshness mFreshness;
  target_directory mTargets;
  member_table mMembers;
  zone_evacuations mEvacuations;
  /// The store has been read in full at least once since the start.
  bool mIsComplete = false;
  /// The last generation that the store names as recovered.
  std::uint64_t mRecoveredGeneration = 0;
};

/// Applies what was read from the store to a platform_view. What the store no
/// longer lists has left, unless it has had no time yet to be written again;
/// what it lists again after its return from an older copy is compared with
/// what is known.
class view_updater
{
public:
  view_updater(scheduler& aScheduler, platform_view& aView)
    : mScheduler(aScheduler)
    , mView(aView)
  {
  }

  /// aIsFullRead: the events are all entries of the store.
  void Apply(const platform_changes& aChanges, bool aIsFullRead);

  /// The store is back after an outage in which leases may have expired.
  void OnOutageEnded();
  /// The store has come back from an older copy.
  void OnStoreRestored();

  /// Time until RemoveLapsedEntries() has something to do.
  duration TimeToExpiry() const;
  /// Removes what has not been written again in time.
  void RemoveLapsedEntries();

  /// The lease under which the last full read lists this process's own
  /// registration; 0 if it does not.
  std::uint64_t ListedLease() const { return mListedLease; }

  /// Entries were left out as older ones. What is still listed now is alive:
  /// its owner renews it without changing it.
  bool IsFullReadDue() const;

private:
  /// Entries to remove: those that a full read does not contain or that an
  /// event removes.
  struct missing_entries
  {
    std::set<std::string> mTargetIds;
    std::set<std::string> mMemberNames;
    std::set<std::string> mZones; ///< Evacuated ones.
  };

  void ApplyConfiguration(const configuration_changed& aChange);
  void BeginEvacuation(const std::string& aZone);
  /// After all changes: a full read lists the evacuations before the targets.
  void WarnOfUnknownZones(const platform_changes& aChanges) const;
  void EndEvacuation(const std::string& aZone, const char* aCause);
  void RemoveMissing(const missing_entries& aMissing);
  /// True if the store has come back from an older copy, and a full read has
  /// the entry in an older state than is known.
  bool IsOlderCopy(const target_entry& aRead) const;
  bool IsOlderCopy(const fleet_member& aRead) const;
  void RemoveTarget(const std::string& aId, const char* aCause);
  void RemoveMember(const std::string& aName, const char* aCause);

  scheduler& mScheduler;
  platform_view& mView;
  lapsed_entries mLapsedTargets;
  lapsed_entries mLapsedMembers;
  lapsed_entries mLapsedEvacuations;
  departed_entries mDeparted;
  /// Until then a full read may list what only an older copy of the store has.
  steady_time mCopyEnd = steady_time::min();
  bool mHasSkippedEntries = false;
  std::uint64_t mListedLease = 0;
};

} // namespace cowslipline
