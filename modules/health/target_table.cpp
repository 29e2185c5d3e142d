#include "modules/health/target_table.h"

namespace cowslipline {

target_table::target_table(std::shared_ptr<scheduler> aScheduler,
                           std::shared_ptr<snapshot_source> aSource)
  : mScheduler(std::move(aScheduler))
  , mSource(std::move(aSource))
{
}

const snapshot_pointer&
target_table::Refresh()
{
  auto current = mSource->Current();
  if (current == mSnapshot) {
    return mSnapshot;
  }
  std::vector<std::shared_ptr<service_state>> services;
  services.reserve(current->mServices.size());
  for (const auto& one : current->mServices) {
    services.push_back(Build(one));
  }
  mServices = std::move(services);
  mSnapshot = std::move(current);
  mByName.clear();
  mByHash.clear();
  for (service_index i = 0; i < mServices.size(); ++i) {
    mByName.emplace(mServices[i]->mName, i);
    mByHash.emplace(mServices[i]->mHash, i);
  }
  return mSnapshot;
}

std::shared_ptr<service_state>
target_table::Build(const service& aService)
{
  const auto known = mByName.find(aService.mName);
  const auto old = known == mByName.end() ? std::make_shared<service_state>()
                                          : mServices[known->second];
  auto built = std::make_shared<service_state>(*old);
  built->mName = aService.mName;
  built->mHash = NameHash(aService.mName);
  built->mTargets.clear();
  for (const auto& one : aService.mTargets) {
    if (auto* const kept = old->FindTarget(one.mId); kept != nullptr) {
      built->mTargets.push_back(std::make_shared<target_state>(*kept));
      continue;
    }
    auto added = std::make_shared<target_state>();
    added->mName = one.mId;
    added->mHash = NameHash(one.mId);
    // A target added to a known service may have cold caches: start slowly.
    if (!old->mTargets.empty()) {
      added->mInUseSince = mScheduler->Now();
    }
    built->mTargets.push_back(std::move(added));
  }
  return built;
}

service_state*
target_table::Find(service_index aService)
{
  Refresh();
  return aService < mServices.size() ? mServices[aService].get() : nullptr;
}

service_state*
target_table::FindByName(std::string_view aName)
{
  Refresh();
  const auto found = mByName.find(aName);
  return found == mByName.end() ? nullptr : mServices[found->second].get();
}

service_state*
target_table::FindByHash(std::uint32_t aHash)
{
  Refresh();
  const auto found = mByHash.find(aHash);
  return found == mByHash.end() ? nullptr : mServices[found->second].get();
}

const service&
target_table::SettingsOf(const service_state& aState) const
{
  return mSnapshot->mServices[mByName.find(aState.mName)->second];
}

void
target_table::ForEach(const std::function<void(service_state&)>& aFunction)
{
  Refresh();
  for (const auto& one : mServices) {
    aFunction(*one);
  }
}

} // namespace cowslipline
