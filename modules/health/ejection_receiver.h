#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_log.h"
#include "modules/health/target_table.h"

#include <memory>
#include <set>

namespace cowslipline {

/// Applies the ejections received from the owners to the target table and
/// removes them when they expire or are withdrawn.
class ejection_receiver
{
public:
  ejection_receiver(std::shared_ptr<scheduler> aScheduler,
                    std::shared_ptr<peer_channel> aChannel,
                    std::shared_ptr<membership> aMembership,
                    std::shared_ptr<target_table> aTable,
                    std::shared_ptr<ejection_log> aLog,
                    std::shared_ptr<metrics> aMetrics);

  /// Registers the peer handlers.
  void Start();

  /// Adds new ejections of the owner aFrom and removes the withdrawn ones.
  /// Unknown targets are ignored.
  void Apply(const instance_name& aFrom,
             const std::vector<ejection>& aEjections);

  /// Sends more requests to the target for kSuspectTime, so that its owner gets
  /// evidence sooner. The arguments are NameHash values.
  void MarkSuspect(std::uint32_t aService, std::uint32_t aTarget);

  /// DigestOf() the ejections in force for the service that aOwner decided.
  std::uint32_t DigestOfEjectionsBy(const service_state& aService,
                                    const instance_name& aOwner) const;

  /// Removes expired ejections and logs that their targets have returned.
  void RemoveExpired();

private:
  void ApplyOne(const instance_name& aFrom, const ejection& aEjection);
  void AddEjection(service_state& aService,
                   target_state& aTarget,
                   const instance_name& aFrom,
                   const ejection& aEjection);
  void Withdraw(service_state& aService,
                target_state& aTarget,
                const instance_name& aFrom,
                std::uint64_t aSequence);
  void RemoveExpiredAt(service_state& aService, target_state& aTarget);
  void LogChange(ejection_action aAction,
                 const service_state& aService,
                 const target_state& aTarget,
                 const received_ejection& aReceived);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_log> mLog;
  std::shared_ptr<metrics> mMetrics;
  /// NameHash of the services with ejections in force.
  std::set<std::uint32_t> mServicesWithEjections;
};

} // namespace cowslipline
