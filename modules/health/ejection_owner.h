#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_receiver.h"
#include "modules/health/service_detector.h"

#include <map>
#include <memory>

namespace cowslipline {

constexpr std::string_view kEvidenceService = "health.evidence";
constexpr std::string_view kEvidenceRequestService = "health.question";
constexpr std::string_view kSuspectNoticeService = "health.suspect";
constexpr std::string_view kEjectionService = "health.ejection";

/// Outlier detection at the owner of a service's shard: collects the evidence
/// of all instances, decides on ejections and sends them to the members. Only
/// one instance decides for a service, since a single instance sees too few
/// requests to tell a faulty target from a faulty network path.
class ejection_owner
{
public:
  ejection_owner(std::shared_ptr<scheduler> aScheduler,
                 std::shared_ptr<peer_channel> aChannel,
                 std::shared_ptr<membership> aMembership,
                 std::shared_ptr<ejection_receiver> aReceiver,
                 std::shared_ptr<metrics> aMetrics);

  /// Registers the peer handler.
  void Start();

  /// Adds the evidence of one instance and sends the ejections that follow.
  void AddEvidence(const instance_name& aFrom,
                   const service_evidence& aEvidence);

  /// Removes the detectors of services without evidence for 10 minutes: another
  /// instance owns these services by now.
  void RemoveIdleDetectors();

private:
  std::string ZoneOf(const instance_name& aInstance) const;
  service_detector& DetectorOf(std::uint32_t aService);
  /// Requests evidence from all members and decides after kEvidenceReplyTime.
  void RequestEvidence(std::uint32_t aService);
  /// Makes all members send more requests to a suspect target. The number of
  /// failures needed for an ejection stays the same but is reached sooner.
  void BroadcastSuspect(std::uint32_t aService, std::uint32_t aTarget);
  /// Applies the decisions locally, sends them to all members and sends them
  /// again after 150 ms.
  void Broadcast(const std::vector<ejection>& aDecisions);
  /// Sends the ejections in force to a member whose digest differs.
  void SendMissedEjections(const instance_name& aTo,
                           const service_evidence& aEvidence,
                           service_detector& aDetector);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<ejection_receiver> mReceiver;
  std::shared_ptr<metrics> mMetrics;
  std::map<std::uint32_t, service_detector> mDetectors;
};

} // namespace cowslipline
