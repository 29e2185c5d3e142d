#include "modules/sync/view_updater.h"

#include "core/log.h"

#include <algorithm>
#include <set>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// The leases of entries that only an older copy of the store still lists have
// expired this long after its return: those of targets run for a few
// heartbeats, those of instances for 6 s.
constexpr duration kCopyLifetime = 8s;

} // namespace

void
view_updater::Apply(const platform_changes& aChanges, bool aIsFullRead)
{
  missing_entries missing;
  if (aIsFullRead) {
    mHasSkippedEntries = false;
    mListedLease = 0;
    // Known entries that a full read does not contain are missing.
    for (const auto& [id, entry] : mView.mTargets.All()) {
      missing.mTargetIds.insert(id);
    }
    const auto members = mView.mMembers.RegisteredNames();
    missing.mMemberNames.insert(members.begin(), members.end());
    missing.mZones.insert(mView.mEvacuations.Zones().begin(),
                          mView.mEvacuations.Zones().end());
  }
  struct visitor
  {
    view_updater& mUpdater;
    missing_entries& mMissing;
    bool mIsFullRead;

    void operator()(const configuration_changed& aChange) const
    {
      mUpdater.ApplyConfiguration(aChange);
    }
    void operator()(const target_changed& aChange) const
    {
      mMissing.mTargetIds.erase(aChange.mEntry.mId);
      mUpdater.mLapsedTargets.OnReturned(aChange.mEntry.mId);
      if (mIsFullRead && mUpdater.IsOlderCopy(aChange.mEntry)) {
        mUpdater.mHasSkippedEntries = true;
        return;
      }
      mUpdater.mDeparted.OnTargetReturned(aChange.mEntry.mId);
      auto entry = aChange.mEntry;
      entry.mColdUntil = ColdUntil(mUpdater.mView.mTargets.Find(entry.mId),
                                   entry,
                                   mUpdater.mScheduler.Now());
      mUpdater.mView.mTargets.Put(std::move(entry));
      // A full read contains thousands of targets; a line for each would push
      // all other lines out of the log.
      if (mIsFullRead) {
        return;
      }
      Log(log_level::Info,
          "target_changed",
          { { "target", aChange.mEntry.mId },
            { "service", aChange.mEntry.mService },
            { "phase",
              aChange.mEntry.mPhase == target_phase::Ready ? "ready"
                                                           : "draining" } });
    }
    void operator()(const target_removed& aChange) const
    {
      if (mUpdater.mView.mTargets.Find(aChange.mId) != nullptr) {
        mMissing.mTargetIds.insert(aChange.mId);
      }
    }
    void operator()(const member_changed& aChange) const
    {
      if (mIsFullRead && mUpdater.IsOlderCopy(aChange.mMember)) {
        mUpdater.mHasSkippedEntries = true;
        return;
      }
      const auto& self = mUpdater.mView.mMembers.Self();
      if (mIsFullRead && aChange.mMember.mName == self.mName &&
          aChange.mMember.mRunId == self.mRunId) {
        mUpdater.mListedLease = aChange.mLeaseId;
      }
      mUpdater.mDeparted.OnMemberReturned(aChange.mMember);
      mMissing.mMemberNames.erase(aChange.mMember.mName);
      mUpdater.mLapsedMembers.OnReturned(aChange.mMember.mName);
      const auto* previous =
        mUpdater.mView.mMembers.Find(aChange.mMember.mName);
      if (previous != nullptr && previous->mRunId != aChange.mMember.mRunId) {
        mUpdater.mDeparted.OnMemberRemoved(*previous,
                                           mUpdater.mScheduler.Now());
      }
      mUpdater.mView.mMembers.Put(aChange.mMember);
      if (mIsFullRead) {
        return;
      }
      Log(log_level::Info,
          "member_joined",
          { { "peer", aChange.mMember.mName },
            { "zone", aChange.mMember.mAvailabilityZone } });
    }
    void operator()(const member_removed& aChange) const
    {
      mMissing.mMemberNames.insert(aChange.mName);
    }
    void operator()(const recovery_recorded& aChange) const
    {
      mUpdater.mView.mRecoveredGeneration = aChange.mGeneration;
    }
    void operator()(const zone_evacuated& aChange) const
    {
      mMissing.mZones.erase(aChange.mZone);
      mUpdater.mLapsedEvacuations.OnReturned(aChange.mZone);
      mUpdater.BeginEvacuation(aChange.mZone);
    }
    void operator()(const zone_restored& aChange) const
    {
      mUpdater.mLapsedEvacuations.OnReturned(aChange.mZone);
      mUpdater.EndEvacuation(aChange.mZone, "removed");
    }
    void operator()(const entry_unreadable& aChange) const
    {
      Log(log_level::Warn,
          "entry_unreadable",
          { { "key", aChange.mKey }, { "reason", aChange.mReason } });
    }
  };
  for (const auto& event : aChanges.mEvents) {
    std::visit(visitor{ *this, missing, aIsFullRead }, event);
  }
  RemoveMissing(missing);
  WarnOfUnknownZones(aChanges);
  if (aIsFullRead) {
    Log(log_level::Info,
        "store_read",
        { { "revision", std::to_string(aChanges.mPosition.mRevision) },
          { "generation", std::to_string(aChanges.mPosition.mGeneration) },
          { "targets", std::to_string(mView.mTargets.All().size()) },
          { "members",
            std::to_string(mView.mMembers.RegisteredNames().size()) } });
  }
}

void
view_updater::RemoveMissing(const missing_entries& aMissing)
{
  const auto now = mScheduler.Now();
  const std::vector<std::string> targets(aMissing.mTargetIds.begin(),
                                         aMissing.mTargetIds.end());
  const auto knownTargets = mView.mTargets.All().size();
  for (const auto& id :
       mLapsedTargets.SelectForRemoval(targets, knownTargets, now)) {
    RemoveTarget(id, "removed");
  }
  const std::vector<std::string> members(aMissing.mMemberNames.begin(),
                                         aMissing.mMemberNames.end());
  const auto knownMembers = mView.mMembers.RegisteredNames().size();
  for (const auto& name :
       mLapsedMembers.SelectForRemoval(members, knownMembers, now)) {
    RemoveMember(name, "removed");
  }
  const std::vector<std::string> zones(aMissing.mZones.begin(),
                                       aMissing.mZones.end());
  for (const auto& zone :
       mLapsedEvacuations.SelectForRemoval(zones, zones.size(), now)) {
    EndEvacuation(zone, "removed");
  }
}

void
view_updater::BeginEvacuation(const std::string& aZone)
{
  if (!mView.mEvacuations.Begin(aZone)) {
    return;
  }
  Log(log_level::Info,
      "zone_evacuated",
      { { "zone", aZone },
        { "in_progress",
          std::to_string(mView.mEvacuations.InProgress(aZone)) } });
}

void
view_updater::WarnOfUnknownZones(const platform_changes& aChanges) const
{
  const auto& targets = mView.mTargets.All();
  for (const auto& event : aChanges.mEvents) {
    const auto* evacuated = std::get_if<zone_evacuated>(&event);
    const bool isUnknown =
      evacuated != nullptr &&
      std::none_of(targets.begin(), targets.end(), [&](const auto& aTarget) {
        return aTarget.second.mAvailabilityZone == evacuated->mZone;
      });
    if (isUnknown) {
      Log(log_level::Warn,
          "evacuated_zone_unknown",
          { { "zone", evacuated->mZone } });
    }
  }
}

void
view_updater::EndEvacuation(const std::string& aZone, const char* aCause)
{
  if (!mView.mEvacuations.End(aZone)) {
    return;
  }
  Log(log_level::Info,
      "zone_evacuation_lifted",
      { { "zone", aZone },
        { "cause", aCause },
        { "in_progress",
          std::to_string(mView.mEvacuations.InProgress(aZone)) } });
}

void
view_updater::ApplyConfiguration(const configuration_changed& aChange)
{
  const auto version = aChange.mIndex->Configuration().mVersion;
  const auto inForce =
    mView.mRoutes ? mView.mRoutes->Configuration().mVersion : 0;
  if (mView.mRoutes && version <= inForce) {
    if (version < inForce) {
      Log(log_level::Info,
          "configuration_older",
          { { "version", std::to_string(version) },
            { "in_force", std::to_string(inForce) } });
    }
    return;
  }
  mView.mRoutes = aChange.mIndex;
  Log(log_level::Info,
      "configuration_in_force",
      { { "version", std::to_string(version) },
        { "previous", std::to_string(inForce) },
        { "routes",
          std::to_string(aChange.mIndex->Configuration().mRoutes.size()) },
        { "organisations",
          std::to_string(
            aChange.mIndex->Configuration().mOrganisations.size()) } });
}

void
view_updater::OnOutageEnded()
{
  const auto graceEnd = mScheduler.Now() + kRewriteTime;
  mLapsedTargets.BeginGracePeriod(graceEnd, false);
  mLapsedMembers.BeginGracePeriod(graceEnd, false);
}

void
view_updater::OnStoreRestored()
{
  const auto now = mScheduler.Now();
  mLapsedTargets.BeginGracePeriod(now + kRewriteTime, true);
  mLapsedMembers.BeginGracePeriod(now + kRewriteTime, true);
  // An evacuation that the copy lacks may be written again. Until then it stays
  // in force: no request is lost by that, but one may be by sending too early.
  mLapsedEvacuations.BeginGracePeriod(now + kRewriteTime, true);
  mCopyEnd = now + kCopyLifetime;
}

bool
view_updater::IsFullReadDue() const
{
  return mHasSkippedEntries && mScheduler.Now() >= mCopyEnd;
}

duration
view_updater::TimeToExpiry() const
{
  const auto now = mScheduler.Now();
  return std::min({ mLapsedTargets.TimeToExpiry(now),
                    mLapsedMembers.TimeToExpiry(now),
                    mLapsedEvacuations.TimeToExpiry(now) });
}

bool
view_updater::IsOlderCopy(const target_entry& aRead) const
{
  if (mScheduler.Now() >= mCopyEnd) {
    return false;
  }
  const auto* known = mView.mTargets.Find(aRead.mId);
  return known != nullptr ? IsOlder(aRead, *known) : mDeparted.HasLeft(aRead);
}

bool
view_updater::IsOlderCopy(const fleet_member& aRead) const
{
  return mScheduler.Now() < mCopyEnd && mDeparted.HasLeft(aRead);
}

void
view_updater::RemoveTarget(const std::string& aId, const char* aCause)
{
  if (const auto* known = mView.mTargets.Find(aId)) {
    mDeparted.OnTargetRemoved(*known, mScheduler.Now());
  }
  mView.mTargets.Remove(aId);
  Log(log_level::Info,
      "target_removed",
      { { "target", aId }, { "cause", aCause } });
}

void
view_updater::RemoveMember(const std::string& aName, const char* aCause)
{
  if (const auto* known = mView.mMembers.Find(aName)) {
    mDeparted.OnMemberRemoved(*known, mScheduler.Now());
  }
  mView.mMembers.Remove(aName, mScheduler.Now());
  Log(
    log_level::Info, "member_left", { { "peer", aName }, { "cause", aCause } });
}

void
view_updater::RemoveLapsedEntries()
{
  const auto now = mScheduler.Now();
  for (const auto& id : mLapsedTargets.TakeExpired(now)) {
    RemoveTarget(id, "lapsed");
  }
  for (const auto& name : mLapsedMembers.TakeExpired(now)) {
    RemoveMember(name, "lapsed");
  }
  for (const auto& zone : mLapsedEvacuations.TakeExpired(now)) {
    EndEvacuation(zone, "lapsed");
  }
  mDeparted.Prune(now);
}

} // namespace cowslipline
