#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_log.h"
#include "modules/health/target_table.h"

#include <memory>
#include <set>

namespace cowslipline {

/// Holds the ejections that owners sent until they expire.
class ejection_holder
{
public:
  ejection_holder(std::shared_ptr<scheduler> aScheduler,
                  std::shared_ptr<peer_channel> aChannel,
                  std::shared_ptr<membership> aMembership,
                  std::shared_ptr<target_table> aTable,
                  std::shared_ptr<ejection_log> aLog,
                  std::shared_ptr<metrics> aMetrics);

  /// Registers the peer handler.
  void Start();

  void Apply(const instance_name& aFrom,
             const std::vector<ejection>& aEjections);

  /// More requests go to the target for a second, by hashes of the names.
  void Suspect(std::uint32_t aService, std::uint32_t aTarget);

  /// Digest of what is held for the service by decision of aOwner.
  std::uint32_t HeldDigest(const service_state& aService,
                           const instance_name& aOwner) const;

  /// Drops expired ejections and records the returns.
  void Expire();

private:
  void ApplyOne(const instance_name& aFrom, const ejection& aEjection);
  void Hold(service_state& aService,
            target_state& aTarget,
            const instance_name& aFrom,
            const ejection& aEjection);
  void Release(service_state& aService,
               target_state& aTarget,
               const instance_name& aFrom,
               std::uint64_t aSequence);
  void ExpireTarget(service_state& aService, target_state& aTarget);
  void Record(ejection_action aAction,
              const service_state& aService,
              const target_state& aTarget,
              const held_ejection& aHeld);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_log> mLog;
  std::shared_ptr<metrics> mMetrics;
  /// Services that hold an ejection, by hash.
  std::set<std::uint32_t> mHolding;
};

} // namespace cowslipline
