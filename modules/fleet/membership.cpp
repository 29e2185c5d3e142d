#include "modules/fleet/membership.h"

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

} // namespace cowslipline
