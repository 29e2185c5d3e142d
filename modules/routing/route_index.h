#pragma once

#include "modules/routing/fleet_configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// Immutable routing table: a configuration version with hash indexes for the
/// look-ups of each request. Their cost does not grow with the number of routes
/// or organisations.
class route_index
{
public:
  static std::shared_ptr<const route_index> Create(
    fleet_configuration aConfiguration);

  const fleet_configuration& Configuration() const { return mConfiguration; }

  /// Longest-prefix match among the routes of the host; null when none matches.
  /// The port and the letter case of the host are ignored.
  const route_spec* FindRoute(std::string_view aHost,
                              std::string_view aPath) const;

  /// The organisation that the API key belongs to; null for an unknown key.
  const organisation_spec* FindOrganisation(std::string_view aKey) const;

  const organisation_spec* FindOrganisationByName(std::string_view aName) const;

  const service_spec* FindService(std::string_view aName) const;

private:
  explicit route_index(fleet_configuration aConfiguration);

  fleet_configuration mConfiguration;
  /// By host and prefix, joined by a space, which neither contains.
  std::unordered_map<std::string, const route_spec*> mRoutes;
  std::unordered_map<std::string_view, const organisation_spec*> mKeys;
  std::unordered_map<std::string_view, const organisation_spec*> mOrganisations;
  std::unordered_map<std::string_view, const service_spec*> mServices;
};

/// Weighted traffic split: distributes the requests of a route over its
/// services in proportion to their weights. It uses a low-discrepancy sequence
/// instead of random numbers, so that the proportions hold after few requests.
class weighted_service_picker
{
public:
  /// aStart: start of the sequence, in [0, 1); different on each instance.
  explicit weighted_service_picker(double aStart)
    : mPosition(aStart)
  {
  }

  /// The service of the next request; empty when no share has a positive
  /// weight.
  const std::string& Pick(const std::vector<traffic_share>& aShares);

private:
  double mPosition;
};

} // namespace cowslipline
