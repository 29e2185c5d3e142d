#include "tests/fakes/memory_platform_feed.h"

#include <cstdio>

namespace cowslipline::testing {

void
memory_platform_feed::Record(platform_event aEvent)
{
  mState.mHistory.emplace_back(++mState.mRevision, std::move(aEvent));
  mChanged.Set();
}

void
memory_platform_feed::Publish(fleet_configuration aConfiguration)
{
  mState.mConfiguration =
    configuration_changed{ route_index::Create(std::move(aConfiguration)) };
  Record(*mState.mConfiguration);
}

void
memory_platform_feed::PutTarget(const target_entry& aTarget)
{
  mState.mTargets[aTarget.mId] = aTarget;
  Record(target_changed{ aTarget });
}

void
memory_platform_feed::RemoveTarget(const std::string& aId)
{
  mState.mTargets.erase(aId);
  Record(target_removed{ aId });
}

void
memory_platform_feed::RestoreCopy()
{
  mState = mCopy;
  ++mGeneration;
}

void
memory_platform_feed::ExpireLeases()
{
  mState.mOldestValidLease = mState.mNextLease;
  mState.mMembers.clear();
}

void
memory_platform_feed::RemoveMember(const std::string& aName)
{
  mState.mMembers.erase(aName);
  Record(member_removed{ aName });
}

result<platform_changes>
memory_platform_feed::ReadAll(yield_context)
{
  ++mCallCount;
  if (mIsDown) {
    return Fail(errc::StoreUnavailable);
  }
  platform_changes changes;
  changes.mRevision = mState.mRevision;
  changes.mGeneration = mGeneration;
  if (mState.mConfiguration) {
    changes.mEvents.push_back(*mState.mConfiguration);
  }
  for (const auto& [id, target] : mState.mTargets) {
    changes.mEvents.push_back(target_changed{ target });
  }
  for (const auto& [name, member] : mState.mMembers) {
    changes.mEvents.push_back(member_changed{ member.first });
  }
  return changes;
}

result<platform_changes>
memory_platform_feed::Watch(std::uint64_t aAfter,
                            duration aWait,
                            yield_context aYield)
{
  ++mCallCount;
  if (mIsDown) {
    return Fail(errc::StoreUnavailable);
  }
  if (aAfter < mOldestRevision || aAfter > mState.mRevision) {
    mOldestRevision = 0;
    return Fail(errc::HistoryLost);
  }
  if (mState.mRevision <= aAfter) {
    mChanged.Wait(mScheduler, aWait, aYield);
  }
  if (mIsDown) {
    return Fail(errc::StoreUnavailable);
  }
  platform_changes changes;
  changes.mRevision = mState.mRevision;
  changes.mGeneration = mGeneration;
  for (const auto& [revision, event] : mState.mHistory) {
    if (revision > aAfter) {
      changes.mEvents.push_back(event);
      changes.mHasConfiguration =
        changes.mHasConfiguration ||
        std::holds_alternative<configuration_changed>(event);
    }
  }
  changes.mText =
    std::to_string(aAfter) + '-' + std::to_string(mState.mRevision);
  return changes;
}

result<std::vector<platform_event>>
memory_platform_feed::Decode(std::string_view aText)
{
  // Watch() encodes changes as "FROM-TO", the range of revisions.
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  if (std::sscanf(std::string(aText).c_str(), "%lu-%lu", &from, &to) != 2) {
    return Fail(errc::MessageMalformed);
  }
  std::vector<platform_event> events;
  for (const auto& [revision, event] : mState.mHistory) {
    if (revision > from && revision <= to) {
      events.push_back(event);
    }
  }
  return events;
}

result<lease_id>
memory_platform_feed::GrantLease(duration, yield_context)
{
  ++mCallCount;
  if (mIsDown) {
    return Fail(errc::StoreUnavailable);
  }
  return mState.mNextLease++;
}

result<void>
memory_platform_feed::RenewLease(lease_id aLease, yield_context)
{
  ++mCallCount;
  if (mIsDown) {
    return Fail(errc::StoreUnavailable);
  }
  if (aLease < mState.mOldestValidLease) {
    return Fail(errc::NotFound);
  }
  return {};
}

result<void>
memory_platform_feed::EndLease(lease_id aLease, yield_context)
{
  ++mCallCount;
  for (auto member = mState.mMembers.begin();
       member != mState.mMembers.end();) {
    member = member->second.second == aLease ? mState.mMembers.erase(member)
                                             : std::next(member);
  }
  return {};
}

result<void>
memory_platform_feed::Register(const fleet_member& aMember,
                               lease_id aLease,
                               yield_context)
{
  ++mCallCount;
  if (mIsDown) {
    return Fail(errc::StoreUnavailable);
  }
  mState.mMembers[aMember.mName] = { aMember, aLease };
  Record(member_changed{ aMember });
  return {};
}

} // namespace cowslipline::testing
