#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// Some of the targets that a service has in an availability zone: those whose
/// id falls into the group. One instance of the zone owns the group.
struct slot_group
{
  std::uint32_t mIndex = 0;
  std::uint32_t mCount = 1; ///< Groups of the service in the zone; power of 2.
};

/// Number of groups for targets with this many slots in all.
std::uint32_t
SlotGroupCount(std::uint64_t aSlots);

bool
IsInGroup(std::string_view aTarget, const slot_group& aGroup);

/// The group of the target, among aCount groups.
slot_group
SlotGroupOf(std::string_view aTarget, std::uint32_t aCount);

/// Slots of targets that their owner has lent to the instances that send to
/// them. Answers the load in which many instances choose at the same moment
/// among targets that run few requests at a time: counts that each instance
/// reports are older than the requests they count, so instances pass on the
/// same idle targets together. An owner that lends each slot by itself has
/// counts without delay, whatever the number of instances.
///
/// A lease is a count and no right: without one a request may be sent all the
/// same, and the least loaded target is lent when no slot is free. So lost
/// messages and owners that disagree cost evenness only.
class slot_leases
{
public:
  /// aId: chosen by the borrower, unique in the fleet. aUntil: when the lease
  /// ends by itself; the message that returns it may be lost.
  void Lend(std::uint64_t aId,
            std::string_view aTarget,
            steady_time aUntil,
            steady_time aNow);

  /// Ignores leases that are unknown or have ended.
  void Return(std::uint64_t aId);

  /// Requests that the target's slots are lent for.
  std::uint32_t Lent(std::string_view aTarget) const;

  /// Removes leases that have ended by themselves.
  void Prune(steady_time aNow);

  std::size_t Size() const { return mLeases.size(); }

private:
  struct lease
  {
    std::string mTarget;
    std::multimap<steady_time, std::uint64_t>::iterator mEnd;
  };

  std::unordered_map<std::uint64_t, lease> mLeases;
  std::multimap<steady_time, std::uint64_t> mEnds;
  std::unordered_map<std::string, std::uint32_t> mCounts;
};

} // namespace cowslipline
