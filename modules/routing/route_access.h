#pragma once

#include <cstddef>

namespace cowslipline {

/// What decides whether a request may use its route, as far as API keys go.
struct access_facts
{
  bool mIsRoutePublic = false;
  /// fleet_configuration::mNeedsKeys of the version in force.
  bool mNeedsKeys = true;
  /// configuration_freshness::IsFresh() now.
  bool mIsConfigurationFresh = false;
  std::size_t mKeys = 0; ///< API keys in the request.
  /// The request has one key, and an organisation holds it.
  bool mIsKeyKnown = false;
};

enum class route_access
{
  Anonymous,          ///< Allowed, on behalf of no organisation.
  Identified,         ///< Allowed for the key's organisation, without a quota.
  Limited,            ///< Allowed for the key's organisation, by its quota.
  KeyMissing,         ///< Refused: not exactly one key.
  KeyUnknown,         ///< Refused: no organisation holds the key.
  ConfigurationStale, ///< Refused: another may hold the key by now, or nobody.
};

/// Decides by what is known: how many organisations the configuration has makes
/// no difference, so that a version without any admits nobody.
route_access
DecideAccess(const access_facts& aFacts);

} // namespace cowslipline
