#include "modules/outcomes/fleet_outcome_records.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// Pause before membership is asked again for an owner.
constexpr duration kRetryPause = std::chrono::milliseconds(50);

/// A lost message must not use up the whole wait. A repeated try carries the
/// same attempt, which the owner recognises.
constexpr duration kTryTimeout = std::chrono::milliseconds(700);

/// Appends a field with its length, so that different fields never make the
/// same text.
void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

bool
IsRetried(claim_status aStatus)
{
  return aStatus == claim_status::NotOwner;
}

/// Precondition: the status is a decision of the owner.
claim_answer
AnswerOf(const claim_reply& aReply, const attempt& aAttempt)
{
  switch (aReply.mStatus) {
    case claim_status::Granted:
      return granted{ aAttempt };
    case claim_status::Finished:
      return finished{ aReply.mOutcome };
    case claim_status::InProgress:
      return in_progress{};
    case claim_status::KeyReused:
      return key_reused{};
    default:
      return outcome_unknown{};
  }
}

std::optional<errc>
ErrorOf(claim_status aStatus)
{
  switch (aStatus) {
    case claim_status::StoreUnavailable:
      return errc::StoreUnavailable;
    case claim_status::RecordsFull:
      return errc::RecordsFull;
    case claim_status::NotOwner:
    case claim_status::NotReady:
      return errc::NotReady;
    default:
      return {};
  }
}

} // namespace

fleet_outcome_records::fleet_outcome_records(
  services aServices,
  std::shared_ptr<record_owner> aOwner,
  std::uint64_t aSeed)
  : mServices(std::move(aServices))
  , mOwner(std::move(aOwner))
  , mRandom(aSeed)
  , mInstanceHash(Hash64(mServices.mMembership->Self().mName,
                         mServices.mMembership->Self().mBoot))
  , mReports(std::make_shared<report_queue>(*mServices.mScheduler,
                                            mServices.mPeers,
                                            mServices.mMembership,
                                            mOwner,
                                            aSeed + 1))
{
}

void
fleet_outcome_records::HandlePeers()
{
  mServices.mPeers->Handle(
    kClaimService,
    [owner = mOwner](const instance_name&,
                     std::string_view aPayload,
                     yield_context aYield) -> result<std::string> {
      const auto request = DecodeClaimRequest(aPayload);
      COWSLIPLINE_PROPAGATE(request);
      return EncodeClaimReply(owner->Claim(*request, aYield));
    });
  mServices.mPeers->Handle(
    kFinishService,
    [owner = mOwner](const instance_name&,
                     std::string_view aPayload,
                     yield_context aYield) -> result<std::string> {
      const auto request = DecodeReportRequest(aPayload);
      COWSLIPLINE_PROPAGATE(request);
      return EncodeReportStatus(owner->Report(*request, aYield));
    });
}

result<claim_answer>
fleet_outcome_records::Claim(const claim& aClaim,
                             duration aWait,
                             yield_context aYield)
{
  auto& clock = *mServices.mScheduler;
  // Without room for its outcome a request must not run.
  COWSLIPLINE_FAIL_IF(mReports->IsFull(),
                      errc::StoreUnavailable,
                      "too many outcomes wait for their owners");
  const auto start = clock.Now();
  const auto end = start + aWait;
  const auto attempt = MakeAttempt(aClaim);
  auto reply = Negotiate(attempt, aClaim.mDeadline, end, aYield);
  mServices.mMetrics->ObserveSeconds(
    "cowslipline_outcome_claim_seconds",
    std::chrono::duration<double>(clock.Now() - start).count());
  if (reply.mStatus == claim_status::Granted && clock.Now() > end) {
    // This instance was paused; its caller may have been refused meanwhile.
    reply = { claim_status::StoreUnavailable, true, {} };
  }
  if (reply.mMayBeRecorded) {
    Release(attempt);
  }
  const auto error = ErrorOf(reply.mStatus);
  return error ? result<claim_answer>(Fail(*error))
               : result<claim_answer>(AnswerOf(reply, attempt));
}

claim_reply
fleet_outcome_records::Negotiate(const attempt& aAttempt,
                                 duration aDeadline,
                                 steady_time aEnd,
                                 yield_context aYield)
{
  auto& clock = *mServices.mScheduler;
  claim_reply reply;
  bool mayBeRecorded = false;
  while (clock.Now() < aEnd) {
    const auto wait = std::min(kTryTimeout, duration(aEnd - clock.Now()));
    reply = Ask({ aAttempt, aDeadline, wait }, aYield);
    mayBeRecorded = mayBeRecorded || reply.mMayBeRecorded;
    if (reply.mStatus == claim_status::Granted) {
      return reply;
    }
    if (!IsRetried(reply.mStatus)) {
      break;
    }
    clock.SleepFor(
      std::min(kRetryPause,
               std::max(duration(0), duration(aEnd - clock.Now()))),
      aYield);
  }
  if (mayBeRecorded && IsRetried(reply.mStatus)) {
    reply.mStatus = claim_status::StoreUnavailable;
  }
  reply.mMayBeRecorded = mayBeRecorded;
  return reply;
}

claim_reply
fleet_outcome_records::Ask(const claim_message& aRequest, yield_context aYield)
{
  const auto& members = *mServices.mMembership;
  const auto owner = members.OwnerOf(ShardOf(AsView(aRequest.mAttempt.mKey)));
  if (owner.empty()) {
    return { claim_status::NotOwner, false, {} };
  }
  return owner == members.Self().mName ? mOwner->Claim(aRequest, aYield)
                                       : AskPeer(owner, aRequest, aYield);
}

claim_reply
fleet_outcome_records::AskPeer(const instance_name& aOwner,
                               const claim_message& aRequest,
                               yield_context aYield)
{
  const auto answer = mServices.mPeers->Call(aOwner,
                                             kClaimService,
                                             EncodeClaimRequest(aRequest),
                                             aRequest.mWait,
                                             aYield);
  if (!answer) {
    // Only an unreachable peer is certain not to have recorded the claim.
    return { claim_status::NotOwner,
             answer.error() != errc::PeerUnreachable,
             {} };
  }
  const auto reply = DecodeClaimReply(*answer);
  return reply ? *reply : claim_reply{ claim_status::NotReady, true, {} };
}

void
fleet_outcome_records::Finish(const attempt& aAttempt,
                              recorded_outcome aOutcome)
{
  if (!aOutcome.mBody || aOutcome.mBody->size() > kRecordedBodyBytes) {
    aOutcome.mBody.reset();
    aOutcome.mContentType.clear();
  }
  mReports->AddFinish({ aAttempt.mKey,
                        aAttempt.mFingerprint,
                        aAttempt.mId,
                        std::move(aOutcome) });
}

void
fleet_outcome_records::Release(const attempt& aAttempt)
{
  mReports->AddRelease({ aAttempt.mKey, aAttempt.mId });
}

attempt
fleet_outcome_records::MakeAttempt(const claim& aClaim)
{
  // The instance's hash keeps attempts apart should two instances ever draw
  // the same random number.
  return { KeyOf(aClaim), mRandom.Next() ^ mInstanceHash, aClaim.mFingerprint };
}

record_key
fleet_outcome_records::KeyOf(const claim& aClaim) const
{
  std::string text;
  AppendField(text, aClaim.mOrganisation);
  AppendField(text, aClaim.mRoute);
  AppendField(text, aClaim.mIdempotencyKey);
  return KeyedDigest16(mServices.mFleetSecret, text);
}

} // namespace cowslipline
