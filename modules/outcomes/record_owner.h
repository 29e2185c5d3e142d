#pragma once

#include "modules/fleet/membership.h"
#include "modules/outcomes/record_shard.h"

#include <map>
#include <memory>

namespace cowslipline {

/// Handles claims and reports for the shards that this instance owns according
/// to its membership view. A shard is created with its first message and
/// dropped when it is idle and owned by another instance.
class record_owner
{
public:
  record_owner(outcome_environment aEnvironment,
               std::shared_ptr<membership> aMembership,
               std::uint64_t aSeed);

  claim_reply Claim(const claim_message& aRequest, yield_context aYield);
  report_status Report(const report_request& aRequest, yield_context aYield);

  /// Estimated memory of the indexes of all shards held here, in bytes.
  std::size_t IndexBytes() const;

private:
  bool IsOwn(shard_index aShard) const;
  std::shared_ptr<record_shard> FindShard(shard_index aShard);
  void DropForeignShards();

  outcome_environment mEnvironment;
  std::shared_ptr<membership> mMembership;
  random_source mRandom;
  std::map<shard_index, std::shared_ptr<record_shard>> mShards;
  steady_time mLastDrop{};
};

} // namespace cowslipline
