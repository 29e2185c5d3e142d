#pragma once

#include "modules/routing/fleet_configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// An immutable configuration with the look-ups that each request needs. Costs
/// do not grow with the number of routes or organisations.
class route_index
{
public:
  static std::shared_ptr<const route_index> Create(
    fleet_configuration aConfiguration);

  const fleet_configuration& Configuration() const { return mConfiguration; }

  /// The route of the host whose prefix is the longest that begins the path;
  /// null when none matches.
  const route_spec* FindRoute(std::string_view aHost,
                              std::string_view aPath) const;

  /// The organisation that holds the key; null when nobody does.
  const organisation_spec* FindOrganisation(std::string_view aKey) const;

  const organisation_spec* FindOrganisationByName(std::string_view aName) const;

  const service_spec* FindService(std::string_view aName) const;

private:
  explicit route_index(fleet_configuration aConfiguration);

  fleet_configuration mConfiguration;
  /// Host and prefix, joined by a space, which neither contains.
  std::unordered_map<std::string, const route_spec*> mRoutes;
  std::unordered_map<std::string_view, const organisation_spec*> mKeys;
  std::unordered_map<std::string_view, const organisation_spec*> mOrganisations;
  std::unordered_map<std::string_view, const service_spec*> mServices;
};

/// Spreads requests over the shares of a route so that each gets its weight's
/// part after few requests, from a start of its own on each instance.
class share_picker
{
public:
  explicit share_picker(double aStart)
    : mPosition(aStart)
  {
  }

  /// The service of the next request; empty when no share has a weight.
  const std::string& Pick(const std::vector<traffic_share>& aShares);

private:
  double mPosition;
};

} // namespace cowslipline
