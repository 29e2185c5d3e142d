#include "modules/limits/next_owner.h"

#include <algorithm>

namespace cowslipline {

instance_name
NextOwner(const membership& aMembership,
          shard_index aShard,
          const instance_name& aFailed)
{
  auto members = aMembership.LiveMembers();
  members.erase(std::remove_if(members.begin(),
                               members.end(),
                               [&aFailed](const member& aMember) {
                                 return aMember.mName == aFailed;
                               }),
                members.end());
  return OwnerAmong(members, aShard);
}

} // namespace cowslipline
