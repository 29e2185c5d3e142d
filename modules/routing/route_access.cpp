#include "modules/routing/route_access.h"

namespace cowslipline {

route_access
DecideAccess(const access_facts& aFacts)
{
  const bool isOpenToAll =
    aFacts.mIsRoutePublic || (!aFacts.mNeedsKeys && aFacts.mKeys == 0);
  // Whose key it is now decides the organisation that a target is told of.
  const bool hasKeyOfUnknownHolder =
    aFacts.mKeys == 1 && !aFacts.mIsConfigurationFresh;
  if (isOpenToAll && !hasKeyOfUnknownHolder) {
    return aFacts.mIsKeyKnown ? route_access::Identified
                              : route_access::Anonymous;
  }
  if (!aFacts.mIsConfigurationFresh) {
    return route_access::ConfigurationStale;
  }
  if (aFacts.mKeys != 1) {
    return route_access::KeyMissing;
  }
  return aFacts.mIsKeyKnown ? route_access::Limited : route_access::KeyUnknown;
}

} // namespace cowslipline
