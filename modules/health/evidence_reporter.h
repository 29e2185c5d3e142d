#pragma once

#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_holder.h"
#include "modules/health/ejection_owner.h"
#include "modules/health/target_table.h"

#include <memory>

namespace cowslipline {

/// Adds up what this instance sees and sends it to the owner of each service.
class evidence_reporter
{
public:
  evidence_reporter(std::shared_ptr<scheduler> aScheduler,
                    std::shared_ptr<peer_channel> aChannel,
                    std::shared_ptr<membership> aMembership,
                    std::shared_ptr<target_table> aTable,
                    std::shared_ptr<ejection_holder> aHolder,
                    std::shared_ptr<ejection_owner> aOwner);

  /// Registers the handler of the owners' questions.
  void Start();

  void Record(service_state& aService,
              target_state& aTarget,
              const attempt_report& aReport);

  /// Sends what is due. Called every 100 ms.
  void SendDue();

private:
  void Send(service_state& aService);
  service_evidence TakeEvidence(service_state& aService,
                                const instance_name& aOwner);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_holder> mHolder;
  std::shared_ptr<ejection_owner> mOwner;
};

} // namespace cowslipline
