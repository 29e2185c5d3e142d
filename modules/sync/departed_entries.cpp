#include "modules/sync/departed_entries.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Copies of the store are some seconds old, and entries in them expire within
// seconds after it is back.
constexpr duration kMemory = 60s;

template<typename Map>
void
PruneOlder(Map& aDeparted, steady_time aNow)
{
  for (auto entry = aDeparted.begin(); entry != aDeparted.end();) {
    const bool isOld = aNow - entry->second.mAt > kMemory;
    entry = isOld ? aDeparted.erase(entry) : std::next(entry);
  }
}

} // namespace

void
departed_entries::OnTargetRemoved(const target_entry& aLast, steady_time aNow)
{
  mTargets[aLast.mId] = { aLast, aNow };
}

void
departed_entries::OnMemberRemoved(const fleet_member& aLast, steady_time aNow)
{
  mMembers[aLast.mName] = { aLast, aNow };
}

void
departed_entries::OnMemberReturned(const fleet_member& aMember)
{
  const auto found = mMembers.find(aMember.mName);
  if (found != mMembers.end() && found->second.mLast.mRunId == aMember.mRunId) {
    mMembers.erase(found);
  }
}

bool
departed_entries::HasLeft(const target_entry& aRead) const
{
  const auto found = mTargets.find(aRead.mId);
  return found != mTargets.end() && !IsOlder(found->second.mLast, aRead);
}

bool
departed_entries::HasLeft(const fleet_member& aRead) const
{
  const auto found = mMembers.find(aRead.mName);
  // Instances of an earlier version do not name their run.
  return found != mMembers.end() && aRead.mRunId != 0 &&
         found->second.mLast.mRunId == aRead.mRunId;
}

void
departed_entries::Prune(steady_time aNow)
{
  PruneOlder(mTargets, aNow);
  PruneOlder(mMembers, aNow);
}

} // namespace cowslipline
