#include "modules/outcomes/fleet_outcome_records.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// Pause before a claim is sent again to the shard's current owner.
constexpr duration kRetryPause = std::chrono::milliseconds(50);

/// Timeout of one call to an owner, so that a lost message does not use up the
/// caller's whole wait. A repeated call carries the same attempt id, so the
/// owner recognises it.
constexpr duration kOwnerCallTimeout = std::chrono::milliseconds(700);

/// Appends a field with a length prefix, so that different lists of fields
/// never give the same text.
void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

bool
IsRetryable(claim_status aStatus)
{
  return aStatus == claim_status::NotOwner;
}

/// Precondition: ToErrorCode() has no error for the status.
claim_answer
ToClaimAnswer(const claim_reply& aReply, const attempt& aAttempt)
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
ToErrorCode(claim_status aStatus)
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
    kReportService,
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
  // A request whose outcome can't be queued must not run.
  COWSLIPLINE_FAIL_IF(mReports->IsFull(),
                      errc::StoreUnavailable,
                      "the queue of undelivered outcomes is full");
  const auto start = clock.Now();
  const auto end = start + aWait;
  const auto attempt = MakeAttempt(aClaim);
  auto reply = ClaimWithRetries(attempt, aClaim.mDeadline, end, aYield);
  mServices.mMetrics->ObserveSeconds(
    "cowslipline_outcome_claim_seconds",
    std::chrono::duration<double>(clock.Now() - start).count());
  if (reply.mStatus == claim_status::Granted && clock.Now() > end) {
    // The grant arrived after the wait, for example because this process was
    // paused. The caller may already have been refused.
    reply = { claim_status::StoreUnavailable, true, {} };
  }
  if (reply.mMayBeRecorded) {
    Release(attempt);
  }
  const auto error = ToErrorCode(reply.mStatus);
  return error ? result<claim_answer>(Fail(*error))
               : result<claim_answer>(ToClaimAnswer(reply, attempt));
}

claim_reply
fleet_outcome_records::ClaimWithRetries(const attempt& aAttempt,
                                        duration aDeadline,
                                        steady_time aEnd,
                                        yield_context aYield)
{
  auto& clock = *mServices.mScheduler;
  claim_reply reply;
  bool mayBeRecorded = false;
  while (clock.Now() < aEnd) {
    const auto wait = std::min(kOwnerCallTimeout, duration(aEnd - clock.Now()));
    reply = ClaimAtOwner({ aAttempt, aDeadline, wait }, aYield);
    mayBeRecorded = mayBeRecorded || reply.mMayBeRecorded;
    if (reply.mStatus == claim_status::Granted) {
      return reply;
    }
    if (!IsRetryable(reply.mStatus)) {
      break;
    }
    clock.SleepFor(
      std::min(kRetryPause,
               std::max(duration(0), duration(aEnd - clock.Now()))),
      aYield);
  }
  if (mayBeRecorded && IsRetryable(reply.mStatus)) {
    reply.mStatus = claim_status::StoreUnavailable;
  }
  reply.mMayBeRecorded = mayBeRecorded;
  return reply;
}

claim_reply
fleet_outcome_records::ClaimAtOwner(const claim_message& aRequest,
                                    yield_context aYield)
{
  const auto& members = *mServices.mMembership;
  const auto owner = members.OwnerOf(ShardOf(AsView(aRequest.mAttempt.mKey)));
  if (owner.empty()) {
    return { claim_status::NotOwner, false, {} };
  }
  return owner == members.Self().mName ? mOwner->Claim(aRequest, aYield)
                                       : ClaimAtPeer(owner, aRequest, aYield);
}

claim_reply
fleet_outcome_records::ClaimAtPeer(const instance_name& aOwner,
                                   const claim_message& aRequest,
                                   yield_context aYield)
{
  const auto answer = mServices.mPeers->Call(aOwner,
                                             kClaimService,
                                             EncodeClaimRequest(aRequest),
                                             aRequest.mWait,
                                             aYield);
  if (!answer) {
    // Only errc::PeerUnreachable guarantees that the claim was not recorded.
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
  // The instance's hash makes ids differ when two instances draw the same
  // random number.
  return { MakeRecordKey(aClaim),
           mRandom.Next() ^ mInstanceHash,
           aClaim.mFingerprint };
}

record_key
fleet_outcome_records::MakeRecordKey(const claim& aClaim) const
{
  std::string text;
  AppendField(text, aClaim.mOrganisation);
  AppendField(text, aClaim.mRoute);
  AppendField(text, aClaim.mIdempotencyKey);
  return KeyedDigest16(mServices.mFleetSecret, text);
}

} // namespace cowslipline
