#include "modules/placement/slot_leases.h"

#include "core/hash.h"

namespace cowslipline {

namespace {

// Slots of a group, at least. With 32 slots at 70% load all are in use 1% of
// the time, and a second group is asked then; larger groups would give their
// owner, a tenth of a core, more messages.
constexpr std::uint64_t kSlotsPerGroup = 32;

// Keeps an instance that names an absurd number of groups from owning targets
// that nobody else asks it for.
constexpr std::uint32_t kMaxGroups = 1024;

} // namespace

std::uint32_t
SlotGroupCount(std::uint64_t aSlots)
{
  // A power of two changes seldom, so that instances which see the targets of
  // a service come and go at different times name the same groups.
  std::uint32_t count = 1;
  while (count < kMaxGroups && aSlots >= kSlotsPerGroup * count * 2) {
    count *= 2;
  }
  return count;
}

slot_group
SlotGroupOf(std::string_view aTarget, std::uint32_t aCount)
{
  return { static_cast<std::uint32_t>(Hash64(aTarget) % aCount), aCount };
}

bool
IsInGroup(std::string_view aTarget, const slot_group& aGroup)
{
  return SlotGroupOf(aTarget, aGroup.mCount).mIndex == aGroup.mIndex;
}

void
slot_leases::Lend(std::uint64_t aId,
                  std::string_view aTarget,
                  steady_time aUntil,
                  steady_time aNow)
{
  Prune(aNow);
  Return(aId);
  const auto end = mEnds.emplace(aUntil, aId);
  mLeases.emplace(aId, lease{ std::string(aTarget), end });
  ++mCounts[std::string(aTarget)];
}

void
slot_leases::Return(std::uint64_t aId)
{
  const auto found = mLeases.find(aId);
  if (found == mLeases.end()) {
    return;
  }
  const auto count = mCounts.find(found->second.mTarget);
  if (--count->second == 0) {
    mCounts.erase(count);
  }
  mEnds.erase(found->second.mEnd);
  mLeases.erase(found);
}

std::uint32_t
slot_leases::Lent(std::string_view aTarget) const
{
  const auto found = mCounts.find(std::string(aTarget));
  return found == mCounts.end() ? 0 : found->second;
}

void
slot_leases::Prune(steady_time aNow)
{
  while (!mEnds.empty() && mEnds.begin()->first <= aNow) {
    Return(mEnds.begin()->second);
  }
}

} // namespace cowslipline
