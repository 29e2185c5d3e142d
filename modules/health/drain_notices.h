#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_log.h"
#include "modules/health/target_table.h"

#include <memory>

namespace cowslipline {

/// Connection draining: takes a target out of use at all instances when one of
/// its answers carries the header Cowslipline-Draining. The instance that
/// received the answer broadcasts a notice, so that the others need not wait
/// for such an answer.
class drain_notices
{
public:
  drain_notices(std::shared_ptr<scheduler> aScheduler,
                std::shared_ptr<peer_channel> aChannel,
                std::shared_ptr<membership> aMembership,
                std::shared_ptr<target_table> aTable,
                std::shared_ptr<ejection_log> aLog,
                std::shared_ptr<metrics> aMetrics);

  /// Registers the peer handler.
  void Start();

  /// Marks the target as draining and notifies the other members, at most once
  /// a second.
  void ReportDraining(service_state& aService, target_state& aTarget);

private:
  void MarkDraining(service_state& aService,
                    target_state& aTarget,
                    const instance_name& aFrom);
  void Handle(const instance_name& aFrom, std::string_view aPayload);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_log> mLog;
  std::shared_ptr<metrics> mMetrics;
};

} // namespace cowslipline
