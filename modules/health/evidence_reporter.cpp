#include "modules/health/evidence_reporter.h"

#include "core/cbor.h"
#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

constexpr duration kFailureInterval = std::chrono::milliseconds(100);
constexpr duration kSuccessInterval = std::chrono::milliseconds(500);

} // namespace

evidence_reporter::evidence_reporter(
  std::shared_ptr<scheduler> aScheduler,
  std::shared_ptr<peer_channel> aChannel,
  std::shared_ptr<membership> aMembership,
  std::shared_ptr<target_table> aTable,
  std::shared_ptr<ejection_receiver> aReceiver,
  std::shared_ptr<ejection_owner> aOwner)
  : mScheduler(std::move(aScheduler))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mTable(std::move(aTable))
  , mReceiver(std::move(aReceiver))
  , mOwner(std::move(aOwner))
{
}

void
evidence_reporter::Start()
{
  mChannel->Handle(std::string(kEvidenceRequestService),
                   [this](const instance_name&,
                          std::string_view aPayload,
                          yield_context) -> result<std::string> {
                     const auto value =
                       DecodeCbor(aPayload).value_or(nlohmann::json());
                     auto* const service =
                       value.is_number_unsigned()
                         ? mTable->FindByHash(value.get<std::uint32_t>())
                         : nullptr;
                     if (service != nullptr) {
                       Send(*service);
                     }
                     return std::string();
                   });
}

void
evidence_reporter::Record(service_state& aService,
                          target_state& aTarget,
                          const attempt_report& aReport)
{
  const auto now = mScheduler->Now();
  aTarget.mEvidence.Record(aReport.mOutcome, aReport.mLatency, now);
  if (!IsFailure(aReport.mOutcome)) {
    return;
  }
  aService.mHasNewFailures = true;
  if (now - aService.mEvidenceSent >= kFailureInterval) {
    Send(aService);
  }
}

void
evidence_reporter::SendDue()
{
  const auto now = mScheduler->Now();
  mTable->ForEach([&](service_state& aService) {
    const auto interval =
      aService.mHasNewFailures ? kFailureInterval : kSuccessInterval;
    if (now - aService.mEvidenceSent >= interval) {
      Send(aService);
    }
  });
}

service_evidence
evidence_reporter::TakeEvidence(service_state& aService,
                                const instance_name& aOwner)
{
  service_evidence evidence;
  evidence.mService = aService.mHash;
  evidence.mEjectionDigest = mReceiver->DigestOfEjectionsBy(aService, aOwner);
  for (const auto& state : aService.mTargets) {
    if (state->mEvidence.Attempts() > 0) {
      evidence.mTargets.push_back({ state->mHash, state->mEvidence });
      const auto lastSuccess = state->mEvidence.mLastSuccess;
      state->mEvidence = {};
      state->mEvidence.mLastSuccess = lastSuccess;
    }
  }
  return evidence;
}

void
evidence_reporter::Send(service_state& aService)
{
  const auto owner = mMembership->OwnerOf(ShardOf(aService.mName));
  const auto evidence = TakeEvidence(aService, owner);
  aService.mHasNewFailures = false;
  if (evidence.mTargets.empty()) {
    return;
  }
  aService.mEvidenceSent = mScheduler->Now();
  const auto& self = mMembership->Self().mName;
  if (owner == self || owner.empty()) {
    mOwner->AddEvidence(self, evidence);
    return;
  }
  mChannel->Send(
    owner, kEvidenceService, EncodeEvidence(evidence, mScheduler->Now()));
}

} // namespace cowslipline
