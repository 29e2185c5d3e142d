#include "modules/health/ejection_owner.h"

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

/// A repeat covers the loss of the first message, long before the digest in
/// the next evidence does.
constexpr duration kRepeatAfter = std::chrono::milliseconds(150);
constexpr duration kIdle = std::chrono::minutes(10);

} // namespace

ejection_owner::ejection_owner(std::shared_ptr<scheduler> aScheduler,
                               std::shared_ptr<peer_channel> aChannel,
                               std::shared_ptr<membership> aMembership,
                               std::shared_ptr<ejection_holder> aHolder,
                               std::shared_ptr<metrics> aMetrics)
  : mScheduler(std::move(aScheduler))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mHolder(std::move(aHolder))
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
      Take(aFrom, *evidence);
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
  // Wall time keeps the sequence growing across restarts of this instance.
  return mDetectors
    .try_emplace(
      aService, aService, static_cast<std::uint64_t>(mScheduler->WallNow()))
    .first->second;
}

void
ejection_owner::Take(const instance_name& aFrom,
                     const service_evidence& aEvidence)
{
  auto& detector = DetectorOf(aEvidence.mService);
  const auto decisions =
    detector.Add(aFrom, ZoneOf(aFrom), aEvidence, mScheduler->Now());
  for (const auto suspect : detector.TakeSuspects()) {
    PublishSuspect(aEvidence.mService, suspect);
  }
  if (detector.TakeQuestion()) {
    Ask(aEvidence.mService);
  }
  if (!decisions.empty()) {
    Publish(decisions);
    return;
  }
  Correct(aFrom, aEvidence, detector);
}

void
ejection_owner::Ask(std::uint32_t aService)
{
  std::string payload;
  nlohmann::json::to_cbor(aService, payload);
  for (const auto& peer : mMembership->LiveMembers()) {
    if (peer.mName != mMembership->Self().mName) {
      mChannel->Send(peer.mName, kQuestionService, payload);
    }
  }
  mScheduler->Spawn([this, aService](yield_context aYield) {
    mScheduler->SleepFor(kAnswerTime, aYield);
    const auto decisions = DetectorOf(aService).Review(mScheduler->Now());
    if (!decisions.empty()) {
      Publish(decisions);
    }
  });
}

void
ejection_owner::PublishSuspect(std::uint32_t aService, std::uint32_t aTarget)
{
  mMetrics->Counter("cowslipline_health_suspicions_total").Add();
  mHolder->Suspect(aService, aTarget);
  std::string payload;
  nlohmann::json::to_cbor(nlohmann::json::array({ aService, aTarget }),
                          payload);
  for (const auto& peer : mMembership->LiveMembers()) {
    if (peer.mName != mMembership->Self().mName) {
      mChannel->Send(peer.mName, kSuspectService, payload);
    }
  }
}

void
ejection_owner::Publish(const std::vector<ejection>& aDecisions)
{
  mMetrics->Counter("cowslipline_health_decisions_total")
    .Add(aDecisions.size());
  const auto& self = mMembership->Self().mName;
  mHolder->Apply(self, aDecisions);
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
    mScheduler->SleepFor(kRepeatAfter, aYield);
    auto repeated = aDecisions;
    for (auto& one : repeated) {
      one.mTimeLeft -=
        std::chrono::duration_cast<std::chrono::milliseconds>(kRepeatAfter);
    }
    sendToAll(EncodeEjections(repeated));
  });
}

void
ejection_owner::Correct(const instance_name& aTo,
                        const service_evidence& aEvidence,
                        service_detector& aDetector)
{
  const auto& self = mMembership->Self().mName;
  const auto active = aDetector.Active(mScheduler->Now());
  if (aTo == self || active.empty() ||
      DigestOf(active) == aEvidence.mHeldDigest) {
    return;
  }
  mChannel->Send(aTo, kEjectionService, EncodeEjections(active));
}

void
ejection_owner::RemoveIdle()
{
  const auto now = mScheduler->Now();
  for (auto one = mDetectors.begin(); one != mDetectors.end();) {
    one = now - one->second.LastEvidence() > kIdle ? mDetectors.erase(one)
                                                   : std::next(one);
  }
}

} // namespace cowslipline
