#pragma once

#include "modules/outcomes/segment_format.h"

namespace cowslipline {

constexpr char kClaimService[] = "outcomes.claim";
constexpr char kReportService[] = "outcomes.finish";

/// Request to a shard's owner to record an attempt.
struct claim_message
{
  attempt mAttempt;
  /// How long the attempt may run.
  duration mDeadline{ 0 };
  /// How long the sender waits for the reply.
  duration mWait{ 0 };
};

enum class claim_status
{
  Granted,
  Finished,
  InProgress,
  OutcomeUnknown,
  KeyReused,
  NotOwner,
  StoreUnavailable,
  RecordsFull,
  NotReady,
};

struct claim_reply
{
  claim_status mStatus = claim_status::NotReady;
  /// The claim was not granted, but its record may exist or be written later,
  /// so the sender must release the attempt.
  bool mMayBeRecorded = false;
  /// Set for claim_status::Finished only.
  recorded_outcome mOutcome;
};

/// Request to a shard's owner to commit outcomes and releases.
struct report_request
{
  std::uint32_t mShard = 0;
  /// How long the sender waits for the reply.
  duration mWait{ 0 };
  std::vector<log_entry> mEntries;
};

enum class report_status
{
  Committed,
  NotOwner,
  NotCommitted,
};

// Errors of the decoders: errc::MessageMalformed.
std::string
EncodeClaimRequest(const claim_message& aRequest);
result<claim_message>
DecodeClaimRequest(std::string_view aBytes);
std::string
EncodeClaimReply(const claim_reply& aReply);
result<claim_reply>
DecodeClaimReply(std::string_view aBytes);
std::string
EncodeReportRequest(const report_request& aRequest);
result<report_request>
DecodeReportRequest(std::string_view aBytes);
std::string
EncodeReportStatus(report_status aStatus);
result<report_status>
DecodeReportStatus(std::string_view aBytes);

} // namespace cowslipline
