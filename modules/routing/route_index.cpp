#include "modules/routing/route_index.h"

#include <cmath>

namespace cowslipline {

namespace {

std::string
RouteKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key;
  key.reserve(aHost.size() + aPrefix.size() + 1);
  for (const char c : aHost) {
    key += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  key += ' ';
  key += aPrefix;
  return key;
}

/// Host header without the port.
std::string_view
HostName(std::string_view aHost)
{
  return aHost.substr(0, aHost.rfind(':'));
}

} // namespace

std::shared_ptr<const route_index>
route_index::Create(fleet_configuration aConfiguration)
{
  return std::shared_ptr<const route_index>(
    new route_index(std::move(aConfiguration)));
}

route_index::route_index(fleet_configuration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const auto& route : mConfiguration.mRoutes) {
    mRoutes.emplace(RouteKey(route.mHost, route.mPathPrefix), &route);
  }
  for (const auto& organisation : mConfiguration.mOrganisations) {
    mOrganisations.emplace(organisation.mName, &organisation);
    for (const auto& key : organisation.mKeys) {
      mKeys.emplace(key, &organisation);
    }
  }
  for (const auto& service : mConfiguration.mServices) {
    mServices.emplace(service.mName, &service);
  }
}

const route_spec*
route_index::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  auto key = RouteKey(HostName(aHost), aPath);
  const auto hostBytes = key.size() - aPath.size();
  // Prefixes end with a slash, so shorten the path slash by slash until one
  // matches.
  while (key.size() > hostBytes) {
    const auto slash = key.rfind('/');
    if (slash == key.npos || slash < hostBytes) {
      return nullptr;
    }
    key.resize(slash + 1);
    const auto found = mRoutes.find(key);
    if (found != mRoutes.end()) {
      return found->second;
    }
    key.resize(slash);
  }
  return nullptr;
}

const organisation_spec*
route_index::FindOrganisation(std::string_view aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : found->second;
}

const organisation_spec*
route_index::FindOrganisationByName(std::string_view aName) const
{
  const auto found = mOrganisations.find(aName);
  return found == mOrganisations.end() ? nullptr : found->second;
}

const service_spec*
route_index::FindService(std::string_view aName) const
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : found->second;
}

const std::string&
weighted_service_picker::Pick(const std::vector<traffic_share>& aShares)
{
  static const std::string kNone;
  // Additive recurrence with the golden ratio: a low-discrepancy sequence,
  // which fills the unit interval evenly at any length.
  constexpr double kGoldenRatioStep = 0.6180339887498949;
  mPosition = std::fmod(mPosition + kGoldenRatioStep, 1.0);
  double total = 0;
  for (const auto& share : aShares) {
    total += share.mWeight;
  }
  double remaining = mPosition * total;
  const std::string* picked = &kNone;
  for (const auto& share : aShares) {
    if (share.mWeight <= 0) {
      continue;
    }
    picked = &share.mService;
    remaining -= share.mWeight;
    if (remaining < 0) {
      break;
    }
  }
  return *picked;
}

} // namespace cowslipline
