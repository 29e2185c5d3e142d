#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/ejection_holder.h"
#include "modules/health/service_detector.h"

#include <map>
#include <memory>

namespace cowslipline {

constexpr std::string_view kEvidenceService = "health.evidence";
constexpr std::string_view kQuestionService = "health.question";
constexpr std::string_view kSuspectService = "health.suspect";
constexpr std::string_view kEjectionService = "health.ejection";

/// The owner's part: takes evidence, decides and sends ejections.
class ejection_owner
{
public:
  ejection_owner(std::shared_ptr<scheduler> aScheduler,
                 std::shared_ptr<peer_channel> aChannel,
                 std::shared_ptr<membership> aMembership,
                 std::shared_ptr<ejection_holder> aHolder,
                 std::shared_ptr<metrics> aMetrics);

  /// Registers the peer handler.
  void Start();

  void Take(const instance_name& aFrom, const service_evidence& aEvidence);

  /// Forgets services without evidence for long; they have another owner.
  void RemoveIdle();

private:
  std::string ZoneOf(const instance_name& aInstance) const;
  service_detector& DetectorOf(std::uint32_t aService);
  /// Asks all members for their counts now and decides on the answers.
  void Ask(std::uint32_t aService);
  /// Makes all members send more requests to a target under suspicion: the
  /// decision takes as many failures as before, but less time.
  void PublishSuspect(std::uint32_t aService, std::uint32_t aTarget);
  void Publish(const std::vector<ejection>& aDecisions);
  void Correct(const instance_name& aTo,
               const service_evidence& aEvidence,
               service_detector& aDetector);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<ejection_holder> mHolder;
  std::shared_ptr<metrics> mMetrics;
  std::map<std::uint32_t, service_detector> mDetectors;
};

} // namespace cowslipline
