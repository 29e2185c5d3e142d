#pragma once

#include "core/result.h"
#include "modules/configuration/content.h"

#include <memory>
#include <unordered_set>

namespace cowslipline {

/// Builds a snapshot from parts of the content, so that at most one chunk is
/// held twice. Organisations are added before services and keys, which refer
/// to them.
class snapshot_builder
{
public:
  explicit snapshot_builder(std::uint64_t aVersion);

  /// Moves the entries into the snapshot. Errors: errc::MessageMalformed for
  /// a duplicate, or for a route that names an unknown organisation.
  result<void> Add(configuration_content aPart);

  snapshot_pointer Finish();

private:
  result<void> AddOrganisations(std::vector<organisation> aOrganisations);
  result<void> AddService(service_definition aService);
  result<void> AddKey(key_definition aKey);

  std::shared_ptr<snapshot> mSnapshot;
  std::unordered_set<std::string> mServiceNames;
  std::unordered_set<std::string> mRouteIds;
};

} // namespace cowslipline
