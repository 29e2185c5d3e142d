#include "modules/fleet/membership.h"

#include <algorithm>

namespace cowslipline {

instance_name
OwnerAmong(const std::vector<member>& aMembers, shard_index aShard)
{
  const member* owner = nullptr;
  std::uint64_t highest = 0;
  for (const auto& candidate : aMembers) {
    const auto weight = RendezvousWeight(candidate.mName, aShard);
    if (owner == nullptr || weight > highest) {
      owner = &candidate;
      highest = weight;
    }
  }
  return owner == nullptr ? instance_name() : owner->mName;
}

bool
HasRole(const std::vector<member>& aMembers,
        const instance_name& aName,
        std::string_view aRole,
        std::size_t aCount)
{
  const auto role = Hash64(aRole);
  const auto own = RendezvousWeight(aName, role);
  const auto higher =
    std::count_if(aMembers.begin(), aMembers.end(), [&](const member& aMember) {
      return RendezvousWeight(aMember.mName, role) > own;
    });
  return static_cast<std::size_t>(higher) < aCount;
}

} // namespace cowslipline
