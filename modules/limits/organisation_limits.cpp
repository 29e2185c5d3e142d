#include "modules/limits/organisation_limits.h"

#include "modules/fleet/membership.h"

namespace cowslipline {

organisation_limits::organisation_limits(
  std::shared_ptr<snapshot_source> aSource)
  : mSource(std::move(aSource))
{
}

result<rate_limits>
organisation_limits::Find(std::string_view aOrganisation) const
{
  const auto current = mSource->Current();
  if (current->mVersion == 0) {
    return Fail(errc::NotReady);
  }
  const auto found =
    current->mOrganisationByName.find(std::string(aOrganisation));
  if (found == current->mOrganisationByName.end()) {
    return rate_limits{};
  }
  const auto& organisation = current->mOrganisations[found->second];
  return rate_limits{ organisation.mRate, organisation.mBurst };
}

shard_mask
organisation_limits::UsedShards() const
{
  const auto current = mSource->Current();
  if (current != mMaskSnapshot) {
    mMaskSnapshot = current;
    mMask = 0;
    for (const auto& organisation : current->mOrganisations) {
      mMask |= shard_mask{ 1 } << ShardOf(organisation.mName);
    }
  }
  return mMask;
}

} // namespace cowslipline
