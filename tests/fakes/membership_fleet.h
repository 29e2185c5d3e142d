#pragma once

#include "core/manual_scheduler.h"
#include "modules/fleet/configuration_distributor.h"
#include "modules/fleet/membership_service.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/memory_peer_network.h"
#include "tests/fakes/plain_codec.h"

#include <memory>
#include <string>
#include <vector>

namespace cowslipline::testing {

/// One instance of a simulated fleet.
struct simulated_instance
{
  std::shared_ptr<memory_key_value_store> mStore;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership_service> mMembership;
  std::shared_ptr<configuration_distributor> mDistributor;
};

/// Membership and configuration of several instances in simulated time.
class membership_fleet
{
public:
  explicit membership_fleet(std::size_t aCount, std::uint64_t aSeed = 1);
  ~membership_fleet();

  static std::string NameOf(std::size_t aIndex);
  simulated_instance& operator[](std::size_t aIndex)
  {
    return mInstances[aIndex];
  }
  std::size_t Size() const { return mInstances.size(); }

  /// Replaces the process of an instance by a new one with a later boot.
  void Restart(std::size_t aIndex);
  /// Ends the process of an instance without notice.
  void Kill(std::size_t aIndex);
  /// Writes a head and its chunk as a publisher does.
  void Publish(std::uint64_t aVersion);
  /// How many instances have this version in force.
  std::size_t CountInForce(std::uint64_t aVersion) const;

  manual_scheduler mClock;
  metrics mMetrics;
  std::shared_ptr<memory_store_content> mContent =
    std::make_shared<memory_store_content>();
  memory_peer_network mNetwork;

private:
  simulated_instance Create(std::size_t aIndex);

  std::uint64_t mSeed;
  std::uint64_t mBoot = 1;
  std::vector<simulated_instance> mInstances;
};

} // namespace cowslipline::testing
