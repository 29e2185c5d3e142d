#pragma once

#include "modules/fleet/membership.h"

namespace cowslipline {

/// The owner of a shard if the given member had failed; empty without others.
instance_name
NextOwner(const membership& aMembership,
          shard_index aShard,
          const instance_name& aFailed);

} // namespace cowslipline
