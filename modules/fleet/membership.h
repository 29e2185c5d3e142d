#pragma once

#include "core/hash.h"
#include "modules/fleet/peer_channel.h"
#include "platform/instance_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// Shards into which organisations, outcome records and services are hashed,
/// for each region. 32 bounds the owners that an instance talks to.
constexpr std::uint32_t kShardCount = 32;

using shard_index = std::uint32_t;

inline shard_index
ShardOf(std::string_view aItem)
{
  return static_cast<shard_index>(Hash64(aItem) % kShardCount);
}

struct member
{
  instance_name mName;
  std::string mAvailabilityZone;
  /// Grows with each start of a process under this name.
  std::uint64_t mBoot = 0;
  instance_state mState = instance_state::Live;
};

/// The member with the highest rendezvous weight; empty without members.
instance_name
OwnerAmong(const std::vector<member>& aMembers, shard_index aShard);

/// Whether the member is among the aCount ones with the highest rendezvous
/// weight for a role.
bool
HasRole(const std::vector<member>& aMembers,
        const instance_name& aName,
        std::string_view aRole,
        std::size_t aCount);

/// What this instance knows about the others. The view lags and differs
/// between instances; nothing may depend on it for safety.
class membership
{
public:
  virtual ~membership() = default;

  virtual const member& Self() const = 0;

  /// Members that are alive and not leaving, this one included, by name.
  virtual std::vector<member> LiveMembers() const = 0;

  /// Rendezvous hash over the live members.
  virtual instance_name OwnerOf(shard_index aShard) const = 0;

  /// When news of the instance's latest heartbeat arrived here, from itself or
  /// through others; empty when none ever did.
  virtual std::optional<steady_time> LastHeard(
    const instance_name& aName) const = 0;

  /// When this instance last heard any peer or the store.
  virtual steady_time LastContact() const = 0;

  /// Since when the platform's list lacks an instance that it had listed;
  /// empty when it is listed or never was.
  virtual std::optional<steady_time> AbsentSince(
    const instance_name& aName) const = 0;
};

} // namespace cowslipline
