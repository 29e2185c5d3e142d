#include "modules/routing/target_directory.h"

#include <algorithm>
#include <tuple>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// The entry of a run that has ended may be listed again for a while, by a store
// that is back after an outage or from a copy.
constexpr duration kDrainingMemory = 60s;

} // namespace

bool
IsOlder(const target_entry& aLeft, const target_entry& aRight)
{
  return std::tie(aLeft.mStartedAtMs, aLeft.mSequence) <
         std::tie(aRight.mStartedAtMs, aRight.mSequence);
}

steady_time
ColdUntil(const target_entry* aKnown,
          const target_entry& aRead,
          steady_time aNow)
{
  const bool isSameRun =
    aKnown != nullptr && aKnown->mStartedAtMs == aRead.mStartedAtMs;
  const bool isSameEntry = isSameRun && aKnown->mSequence == aRead.mSequence &&
                           aKnown->mColdRemaining == aRead.mColdRemaining;
  if (isSameEntry) {
    return aKnown->mColdUntil;
  }
  if (aRead.mColdRemaining > duration(0)) {
    return aNow + aRead.mColdRemaining;
  }
  return isSameRun ? std::min(aKnown->mColdUntil, aNow) : steady_time();
}

void
target_directory::Put(target_entry aEntry)
{
  Remove(aEntry.mId);
  if (mDraining.count(RunOf(aEntry)) > 0) {
    aEntry.mPhase = target_phase::Draining;
  }
  auto id = aEntry.mId;
  const auto inserted =
    mEntries.emplace(std::move(id), std::move(aEntry)).first;
  mByService[inserted->second.mService].emplace(inserted->first,
                                                &inserted->second);
}

void
target_directory::Remove(std::string_view aId)
{
  const auto found = mEntries.find(aId);
  if (found == mEntries.end()) {
    return;
  }
  const auto service = mByService.find(found->second.mService);
  service->second.erase(found->first);
  if (service->second.empty()) {
    mByService.erase(service);
  }
  mEntries.erase(found);
}

bool
target_directory::MarkDraining(const target_entry& aTarget, steady_time aNow)
{
  const auto run = RunOf(aTarget);
  if (!mDraining.try_emplace(run, aNow).second) {
    return false;
  }
  const auto listed = mEntries.find(aTarget.mId);
  if (listed != mEntries.end() && RunOf(listed->second) == run) {
    listed->second.mPhase = target_phase::Draining;
  }
  return true;
}

void
target_directory::Prune(steady_time aNow)
{
  for (auto run = mDraining.begin(); run != mDraining.end();) {
    const auto* listed = Find(run->first.first);
    if (listed != nullptr && RunOf(*listed) == run->first) {
      run->second = aNow;
    }
    const bool isOver = aNow - run->second > kDrainingMemory;
    run = isOver ? mDraining.erase(run) : std::next(run);
  }
}

const target_entry*
target_directory::Find(std::string_view aId) const
{
  const auto found = mEntries.find(aId);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<const target_entry*>
target_directory::Ready(std::string_view aService) const
{
  std::vector<const target_entry*> ready;
  const auto found = mByService.find(std::string(aService));
  if (found == mByService.end()) {
    return ready;
  }
  for (const auto& [id, entry] : found->second) {
    if (entry->mPhase == target_phase::Ready) {
      ready.push_back(entry);
    }
  }
  return ready;
}

} // namespace cowslipline
