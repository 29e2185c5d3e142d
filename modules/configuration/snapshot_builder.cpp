#include "modules/configuration/snapshot_builder.h"

#include "core/check.h"

#include <utility>

namespace cowslipline {

snapshot_builder::snapshot_builder(std::uint64_t aVersion)
  : mSnapshot(std::make_shared<snapshot>())
{
  mSnapshot->mVersion = aVersion;
}

result<void>
snapshot_builder::Add(configuration_content aPart)
{
  const auto added = AddOrganisations(std::move(aPart.mOrganisations));
  COWSLIPLINE_PROPAGATE(added);
  for (auto& definition : aPart.mServices) {
    const auto isAdded = AddService(std::move(definition));
    COWSLIPLINE_PROPAGATE(isAdded);
  }
  for (auto& definition : aPart.mKeys) {
    const auto isAdded = AddKey(std::move(definition));
    COWSLIPLINE_PROPAGATE(isAdded);
  }
  return {};
}

result<void>
snapshot_builder::AddOrganisations(std::vector<organisation> aOrganisations)
{
  for (auto& entry : aOrganisations) {
    const auto index =
      static_cast<organisation_index>(mSnapshot->mOrganisations.size());
    if (!mSnapshot->mOrganisationByName.emplace(entry.mName, index).second) {
      return Fail(errc::MessageMalformed);
    }
    mSnapshot->mOrganisations.push_back(std::move(entry));
  }
  return {};
}

result<void>
snapshot_builder::AddService(service_definition aService)
{
  if (!mServiceNames.insert(aService.mService.mName).second) {
    return Fail(errc::MessageMalformed);
  }
  const auto index = static_cast<service_index>(mSnapshot->mServices.size());
  for (auto& definition : aService.mRoutes) {
    auto& value = definition.mRoute;
    value.mService = index;
    value.mOrganisations.clear();
    for (const auto& name : definition.mOrganisationNames) {
      const auto found = mSnapshot->mOrganisationByName.find(name);
      if (found == mSnapshot->mOrganisationByName.end()) {
        return Fail(errc::MessageMalformed);
      }
      value.mOrganisations.push_back(found->second);
    }
    if (!mRouteIds.insert(value.mId).second) {
      return Fail(errc::MessageMalformed);
    }
    mSnapshot->mRoutes.push_back(std::move(value));
  }
  mSnapshot->mServices.push_back(std::move(aService.mService));
  return {};
}

result<void>
snapshot_builder::AddKey(key_definition aKey)
{
  access_key key;
  key.mId = std::move(aKey.mId);
  key.mDigest = aKey.mDigest;
  key.mIsWithdrawn = aKey.mIsWithdrawn;
  const auto found =
    mSnapshot->mOrganisationByName.find(aKey.mOrganisationName);
  if (found != mSnapshot->mOrganisationByName.end()) {
    key.mOrganisation = found->second;
  }
  const auto digest = key.mDigest;
  if (!mSnapshot->mKeys.emplace(digest, std::move(key)).second) {
    return Fail(errc::MessageMalformed);
  }
  return {};
}

snapshot_pointer
snapshot_builder::Finish()
{
  return std::exchange(mSnapshot, nullptr);
}

} // namespace cowslipline
