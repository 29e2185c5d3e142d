#pragma once

#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_owner.h"
#include "modules/health/ejection_receiver.h"
#include "modules/health/target_table.h"

#include <memory>

namespace cowslipline {

/// Counts the outcomes of this instance's attempts and sends the counts to the
/// owner of each service: every 100 ms after failures, otherwise every 500 ms.
class evidence_reporter
{
public:
  evidence_reporter(std::shared_ptr<scheduler> aScheduler,
                    std::shared_ptr<peer_channel> aChannel,
                    std::shared_ptr<membership> aMembership,
                    std::shared_ptr<target_table> aTable,
                    std::shared_ptr<ejection_receiver> aReceiver,
                    std::shared_ptr<ejection_owner> aOwner);

  /// Registers the peer handler for evidence requests of the owners.
  void Start();

  /// Counts an attempt; a failure is sent at once unless evidence was sent less
  /// than 100 ms ago.
  void Record(service_state& aService,
              target_state& aTarget,
              const attempt_report& aReport);

  /// Sends the evidence of all services whose interval has passed. Must be
  /// called every 100 ms.
  void SendDue();

private:
  void Send(service_state& aService);
  /// Returns the counts since the last call and resets them.
  service_evidence TakeEvidence(service_state& aService,
                                const instance_name& aOwner);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_receiver> mReceiver;
  std::shared_ptr<ejection_owner> mOwner;
};

} // namespace cowslipline
