#include "modules/health/ejection_owner.h"

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

/// Decisions are sent twice, in case the first message is lost. The digest in
/// the next evidence would repair the loss too, but much later.
constexpr duration kResendDelay = std::chrono::milliseconds(150);
constexpr duration kIdleTime = std::chrono::minutes(10);

} // namespace

ejection_owner::ejection_owner(std::shared_ptr<scheduler> aScheduler,
                               std::shared_ptr<peer_channel> aChannel,
                               std::shared_ptr<membership> aMembership,
                               std::shared_ptr<ejection_receiver> aReceiver,
                               std::shared_ptr<metrics> aMetrics)
  : mScheduler(std::move(aScheduler))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mReceiver(std::move(aReceiver))
  , mMetrics(std::move(aMetrics))
{
}

void
ejection_owner::Start()
{
  mChannel->Handle(
    std::string(kEvidenceService),
    [this](const instance_name& aFrom,
           std::string_view aPayload,
           yield_context) -> result<std::string> {
      const auto evidence = DecodeEvidence(aPayload, mScheduler->Now());
      if (!evidence) {
        mMetrics->Counter("cowslipline_health_malformed_total").Add();
        return Fail(evidence.error());
      }
      AddEvidence(aFrom, *evidence);
      return std::string();
    });
}

std::string
ejection_owner::ZoneOf(const instance_name& aInstance) const
{
  for (const auto& one : mMembership->LiveMembers()) {
    if (one.mName == aInstance) {
      return one.mAvailabilityZone;
    }
  }
  return {};
}

service_detector&
ejection_owner::DetectorOf(std::uint32_t aService)
{
  // The sequence starts at the wall time in milliseconds, so that it keeps
  // growing when this instance restarts.
  return mDetectors
    .try_emplace(
      aService, aService, static_cast<std::uint64_t>(mScheduler->WallNow()))
    .first->second;
}

void
ejection_owner::AddEvidence(const instance_name& aFrom,
                            const service_evidence& aEvidence)
{
  auto& detector = DetectorOf(aEvidence.mService);
  const auto decisions =
    detector.Add(aFrom, ZoneOf(aFrom), aEvidence, mScheduler->Now());
  for (const auto suspect : detector.TakeSuspects()) {
    BroadcastSuspect(aEvidence.mService, suspect);
  }
  if (detector.TakeEvidenceRequest()) {
    RequestEvidence(aEvidence.mService);
  }
  if (!decisions.empty()) {
    Broadcast(decisions);
    return;
  }
  SendMissedEjections(aFrom, aEvidence, detector);
}

void
ejection_owner::RequestEvidence(std::uint32_t aService)
{
  std::string payload;
  nlohmann::json::to_cbor(aService, payload);
  for (const auto& peer : mMembership->LiveMembers()) {
    if (peer.mName != mMembership->Self().mName) {
      mChannel->Send(peer.mName, kEvidenceRequestService, payload);
    }
  }
  mScheduler->Spawn([this, aService](yield_context aYield) {
    mScheduler->SleepFor(kEvidenceReplyTime, aYield);
    const auto decisions = DetectorOf(aService).DecideAll(mScheduler->Now());
    if (!decisions.empty()) {
      Broadcast(decisions);
    }
  });
}

void
ejection_owner::BroadcastSuspect(std::uint32_t aService, std::uint32_t aTarget)
{
  mMetrics->Counter("cowslipline_health_suspicions_total").Add();
  mReceiver->MarkSuspect(aService, aTarget);
  std::string payload;
  nlohmann::json::to_cbor(nlohmann::json::array({ aService, aTarget }),
                          payload);
  for (const auto& peer : mMembership->LiveMembers()) {
    if (peer.mName != mMembership->Self().mName) {
      mChannel->Send(peer.mName, kSuspectNoticeService, payload);
    }
  }
}

void
ejection_owner::Broadcast(const std::vector<ejection>& aDecisions)
{
  mMetrics->Counter("cowslipline_health_decisions_total")
    .Add(aDecisions.size());
  const auto& self = mMembership->Self().mName;
  mReceiver->Apply(self, aDecisions);
  const auto payload = EncodeEjections(aDecisions);
  const auto sendToAll = [this, self](const std::string& aPayload) {
    for (const auto& peer : mMembership->LiveMembers()) {
      if (peer.mName != self) {
        mChannel->Send(peer.mName, kEjectionService, aPayload);
      }
    }
  };
  sendToAll(payload);
  mScheduler->Spawn([this, sendToAll, aDecisions](yield_context aYield) {
    mScheduler->SleepFor(kResendDelay, aYield);
    auto repeated = aDecisions;
    for (auto& one : repeated) {
      one.mTimeLeft -=
        std::chrono::duration_cast<std::chrono::milliseconds>(kResendDelay);
    }
    sendToAll(EncodeEjections(repeated));
  });
}

void
ejection_owner::SendMissedEjections(const instance_name& aTo,
                                    const service_evidence& aEvidence,
                                    service_detector& aDetector)
{
  const auto& self = mMembership->Self().mName;
  const auto active = aDetector.Active(mScheduler->Now());
  if (aTo == self || active.empty() ||
      DigestOf(active) == aEvidence.mEjectionDigest) {
    return;
  }
  mChannel->Send(aTo, kEjectionService, EncodeEjections(active));
}

void
ejection_owner::RemoveIdleDetectors()
{
  const auto now = mScheduler->Now();
  for (auto one = mDetectors.begin(); one != mDetectors.end();) {
    one = now - one->second.LastEvidence() > kIdleTime ? mDetectors.erase(one)
                                                       : std::next(one);
  }
}

} // namespace cowslipline
