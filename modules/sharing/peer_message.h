#pragma once

#include "core/result.h"

#include <array>
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

/// Admitted requests by age, in equal parts of the quota window, the latest
/// first.
constexpr std::size_t kHistoryParts = 5;
using admitted_history = std::array<std::uint32_t, kHistoryParts>;

/// Asks the owner of an organisation's quota to admit one request.
struct quota_question
{
  std::uint64_t mId = 0;
  std::string mOrganisation;
  /// Requests that other owners admitted for the sender and that the receiver
  /// was not told of: it may be a new owner.
  admitted_history mAdmittedByOthers{};
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

using peer_payload = std::variant<target_report,
                                  crash_report,
                                  load_report,
                                  quota_question,
                                  retry_question,
                                  owner_answer>;

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
