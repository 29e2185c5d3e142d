#pragma once

#include "core/result.h"
#include "modules/configuration/snapshot.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/rate_bucket.h"

#include <memory>
#include <string_view>

namespace cowslipline {

/// Looks up organisations' rates and bursts in the configuration in force.
class organisation_limits
{
public:
  explicit organisation_limits(std::shared_ptr<snapshot_source> aSource);

  /// Returns zero rate and burst for an organisation that is not configured.
  /// Errors: errc::NotReady before a configuration is in force.
  result<rate_limits> Find(std::string_view aOrganisation) const;

  /// Shards with at least one organisation. The others need no delegations.
  shard_mask UsedShards() const;

private:
  std::shared_ptr<snapshot_source> mSource;
  mutable snapshot_pointer mMaskSnapshot;
  mutable shard_mask mMask = 0;
};

} // namespace cowslipline
