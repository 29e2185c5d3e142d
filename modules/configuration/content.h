#pragma once

#include "modules/configuration/snapshot.h"

#include <string>
#include <vector>

namespace cowslipline {

/// A route as files and chunks hold it: organisations by name. The members
/// mService and mOrganisations of mRoute are unused.
struct route_definition
{
  route mRoute;
  std::vector<std::string> mOrganisationNames;
};

struct service_definition
{
  service mService;
  std::vector<route_definition> mRoutes;
};

struct key_definition
{
  std::string mId;
  std::string mOrganisationName;
  digest32 mDigest{};
  bool mIsWithdrawn = false;
};

/// The whole configuration without a version, as operators wrote it or as it
/// is in force.
struct configuration_content
{
  std::vector<service_definition> mServices;
  std::vector<organisation> mOrganisations;
  std::vector<key_definition> mKeys;
};

} // namespace cowslipline
