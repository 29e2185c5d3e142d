#pragma once

#include "modules/fleet/membership.h"

namespace cowslipline {

/// The member that owns a shard once aFailed has left the membership. Empty
/// when there is no other live member.
instance_name
NextOwner(const membership& aMembership,
          shard_index aShard,
          const instance_name& aFailed);

} // namespace cowslipline
