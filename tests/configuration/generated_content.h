#pragma once

#include "modules/configuration/content.h"

#include <string>

namespace cowslipline::testing {

struct content_size
{
  std::size_t mServices = 0;
  std::size_t mTargets = 0; ///< Of all services together.
  std::size_t mRoutes = 0;  ///< Of all services together.
  std::size_t mOrganisations = 0;
  std::size_t mKeys = 0;
};

inline organisation
MakeOrganisation(std::size_t aIndex)
{
  return { "organisation-" + std::to_string(aIndex),
           10.0 + static_cast<double>(aIndex % 7),
           20.0 };
}

inline key_definition
MakeKey(std::size_t aIndex, std::size_t aOrganisations)
{
  key_definition key;
  key.mId = "key-" + std::to_string(aIndex);
  key.mOrganisationName = MakeOrganisation(aIndex % aOrganisations).mName;
  key.mDigest = KeyedDigest32("generated", key.mId);
  return key;
}

inline service_definition
MakeService(std::size_t aIndex, std::size_t aTargets, std::size_t aRoutes)
{
  service_definition definition;
  definition.mService.mName = "service-" + std::to_string(aIndex);
  for (std::size_t i = 0; i < aTargets; ++i) {
    definition.mService.mTargets.push_back(
      { "target-" + std::to_string(i),
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
        8080,
        "zone-" + std::to_string(i % 3),
        i == 1 });
  }
  for (std::size_t i = 0; i < aRoutes; ++i) {
    route_definition entry;
    entry.mRoute.mId =
      definition.mService.mName + ".route-" + std::to_string(i);
    entry.mRoute.mMethod = "GET";
    entry.mRoute.mPathPrefix =
      "/" + definition.mService.mName + "/" + std::to_string(i);
    entry.mRoute.mAnswerChecks = { status_check{ { 200, 404 } },
                                   digest_check{ "X-Digest" },
                                   field_check{ "price" } };
    definition.mRoutes.push_back(std::move(entry));
  }
  return definition;
}

inline configuration_content
MakeContent(const content_size& aSize)
{
  configuration_content content;
  // Shares that sum up to the whole: what the first i + 1 services have minus
  // what the first i have.
  const auto share = [&aSize](std::size_t aWhole, std::size_t aIndex) {
    return aWhole * (aIndex + 1) / aSize.mServices -
           aWhole * aIndex / aSize.mServices;
  };
  for (std::size_t i = 0; i < aSize.mServices; ++i) {
    content.mServices.push_back(
      MakeService(i, share(aSize.mTargets, i), share(aSize.mRoutes, i)));
  }
  for (std::size_t i = 0; i < aSize.mOrganisations; ++i) {
    content.mOrganisations.push_back(MakeOrganisation(i));
  }
  for (std::size_t i = 0; i < aSize.mKeys; ++i) {
    content.mKeys.push_back(MakeKey(i, aSize.mOrganisations));
  }
  return content;
}

} // namespace cowslipline::testing
