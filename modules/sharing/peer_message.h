#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cowslipline {

/// The sender saw this outcome at a target.
struct target_report
{
  std::string mTarget;
  std::uint8_t mOutcome = 0; ///< An exchange_outcome.
  /// The receiver passes it on inside its availability zone.
  bool mIsToRelay = false;
};

/// A target went down while it ran a request.
struct crash_report
{
  std::uint64_t mFingerprint = 0;
  std::string mTarget;
  bool mIsToRelay = false;
};

/// Requests that the sender has at targets now. Replaces its last report.
struct load_report
{
  std::vector<std::pair<std::string, std::uint32_t>> mRequests;
};

/// Asks the owner of an organisation's quota to admit one request.
struct quota_question
{
  std::uint64_t mId = 0;
  std::string mOrganisation;
};

/// Asks the owner of a service's retry budget for one repeated send.
struct retry_question
{
  std::uint64_t mId = 0;
  std::string mService;
  /// The sender's requests of the service since it asked last.
  std::uint32_t mRequests = 0;
};

/// Answers either question.
struct owner_answer
{
  std::uint64_t mId = 0;
  bool mIsAdmitted = false;
  /// When a refused caller has a chance, from now.
  std::uint32_t mRetryAfterMs = 0;
};

/// Asks an instance of the zone what has changed in the platform's store.
struct changes_question
{
  std::uint64_t mId = 0;
  std::uint64_t mRevision = 0; ///< What the sender knows.
};

/// Answers a question, or tells of changes unasked (mId 0).
struct changes_answer
{
  std::uint64_t mId = 0;
  std::uint64_t mFrom = 0; ///< The changes follow this revision.
  std::uint64_t mTo = 0;
  /// Age of the sender's proof that mTo is the store's state.
  std::uint32_t mAgeMs = 0;
  /// The text leaves something out: the store has to be asked.
  bool mIsPartial = false;
  std::string mText;
};

using peer_payload = std::variant<target_report,
                                  crash_report,
                                  load_report,
                                  quota_question,
                                  retry_question,
                                  owner_answer,
                                  changes_question,
                                  changes_answer>;

struct peer_message
{
  std::string mSender;
  peer_payload mPayload;
};

/// CBOR: an array of version, kind, sender and the fields of the kind.
std::string
EncodePeerMessage(const peer_message& aMessage);

/// Errors: errc::MessageMalformed.
result<peer_message>
DecodePeerMessage(std::string_view aBytes);

} // namespace cowslipline
