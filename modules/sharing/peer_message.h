#pragma once

#include "core/result.h"
#include "modules/placement/poison_request_detector.h"
#include "modules/sharing/quota_bucket.h"
#include "modules/sharing/stated_limits.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <asio/ip/udp.hpp>

namespace cowslipline {

using udp_endpoint = asio::ip::udp::endpoint;

/// Outcome of an exchange that the sender had with a target.
struct target_report
{
  std::string mTarget;
  std::uint8_t mOutcome = 0; ///< Value of an exchange_outcome.
  /// The receiver is to send it on to the members of its availability zone.
  bool mShouldRelay = false;
  std::uint32_t mAgeMs = 0; ///< Time since the request was sent, ms.
};

/// A target crashed while it executed a request.
struct crash_report
{
  std::uint64_t mFingerprint = 0; ///< Hash that identifies the request.
  std::string mTarget;
  bool mShouldRelay = false;
  /// Time since the request was sent to the target, ms. The largest value: not
  /// known, as from instances of an earlier version.
  std::uint32_t mAgeMs = std::numeric_limits<std::uint32_t>::max();
};

/// A target served a request that the sender suspected of crashing targets.
struct suspicion_cleared
{
  std::uint64_t mFingerprint = 0;
  bool mShouldRelay = false;
};

/// The sender's requests in flight by target. Replaces its previous report.
struct load_report
{
  std::vector<std::pair<std::string, std::uint32_t>> mRequests;
};

/// Asks the owner of an organisation's quota to admit one request.
struct quota_request
{
  std::uint64_t mId = 0;
  std::string mOrganisation;
  /// By the sender's configuration. Nothing from instances of an earlier
  /// version.
  std::optional<stated_limit> mLimit{};
};

/// Asks the owner of a service's retry budget for one retry.
struct retry_request
{
  std::uint64_t mId = 0;
  std::string mService;
  /// The sender's requests of the service since its last retry_request.
  std::uint32_t mRequestsSinceLast = 0;
  /// Value of a retry_use; 0, a repeat, from instances of an earlier version.
  std::uint8_t mUse = 0;
};

/// Reply to a quota_request, retry_request or send_permit_request, with its
/// mId.
struct owner_reply
{
  std::uint64_t mId = 0;
  bool mIsAdmitted = false;
  /// Milliseconds after which a refused caller may be admitted.
  std::uint32_t mRetryAfterMs = 0;
  /// Version of the configuration by which a quota was decided; 0: none, and
  /// from instances of an earlier version.
  std::uint64_t mVersion = 0;
};

/// What the sender saw of a target's rate limit.
struct target_limit_report
{
  std::string mTarget;
  std::int64_t mStartedAtMs = 0; ///< Of the target, Unix ms.
  bool mIsNamed = false;         ///< False: an answer without a limit.
  double mRate = 0;              ///< Requests/s of the whole fleet.
  std::uint32_t mAgeMs = 0;      ///< Milliseconds since it was seen.
  /// The receiver is to send it on to the members of its availability zone.
  bool mShouldRelay = false;
};

/// Asks for a target_limit_report of each limit that the receiver knows.
struct target_limits_request
{
  std::uint64_t mId = 0;
  /// And for its crash_suspects; false from instances of an earlier version.
  bool mWantsSuspects = false;
};

/// Requests that the sender suspects of crashing targets: a part of the reply
/// to a target_limits_request, or a single one for an instance that has sent it
/// to a target although it is blocked.
struct crash_suspects
{
  /// How the sender computes a request_fingerprint. Those of another scheme
  /// name other requests.
  std::uint32_t mScheme = kFingerprintScheme;
  std::uint32_t mIndex = 0; ///< Part of the reply, from 0.
  std::uint32_t mCount = 0; ///< Parts of the reply; 0: no reply.
  /// The sender knows what happened before its start.
  bool mIsInformed = false;
  std::vector<crash_suspect> mSuspects;
};

/// Asks the owner of a limited target for a permit to send to it once.
struct send_permit_request
{
  std::uint64_t mId = 0;
  std::string mTarget;
  double mRate = 0;            ///< The target's limit, as the sender knows it.
  std::uint32_t mPriority = 0; ///< 0 is the most urgent.
  /// Requests that the target bears in any one second; 0: not stated.
  double mMostPerSecond = 0;
};

/// Asks an instance of the zone for the changes in the platform's store.
struct changes_request
{
  std::uint64_t mId = 0;
  std::uint64_t mKnownRevision = 0; ///< The last one the sender applied.
  std::uint64_t mGeneration = 0;    ///< Of the store, for mKnownRevision.
};

/// Reply to a changes_request, or an unsolicited notice of changes (mId 0).
struct changes_reply
{
  std::uint64_t mId = 0;
  std::uint64_t mFromRevision = 0; ///< Exclusive: the changes follow it.
  std::uint64_t mToRevision = 0;
  /// Milliseconds since the sender last confirmed that mToRevision is the
  /// store's state.
  std::uint32_t mAgeMs = 0;
  /// mText does not hold all changes: the receiver has to read the store.
  bool mIsPartial = false;
  std::string mText;
  std::uint64_t mGeneration = 0; ///< Of the store, for the revisions.
  /// Above 0: the changes are too long for one datagram and come in this many
  /// changes_part messages. mIsPartial is true then, for receivers of an
  /// earlier version.
  std::uint32_t mPartCount = 0;
  std::uint64_t mDigest = 0; ///< Of the changes that come in parts.
};

/// Names changes that are too long for one datagram.
struct changes_id
{
  std::uint64_t mGeneration = 0;   ///< Of the store, for the revisions.
  std::uint64_t mFromRevision = 0; ///< Exclusive: the changes follow it.
  std::uint64_t mToRevision = 0;
  std::uint64_t mDigest = 0; ///< Hash64() of the text before it was compressed.
};

inline bool
operator==(const changes_id& aLeft, const changes_id& aRight)
{
  return aLeft.mGeneration == aRight.mGeneration &&
         aLeft.mFromRevision == aRight.mFromRevision &&
         aLeft.mToRevision == aRight.mToRevision &&
         aLeft.mDigest == aRight.mDigest;
}

/// One part of changes that are too long for one datagram.
struct changes_part
{
  changes_id mId;
  std::uint32_t mIndex = 0; ///< From 0.
  std::uint32_t mCount = 0; ///< Parts of the changes.
  std::string mBytes;       ///< Of the compressed text.
};

/// Asks for parts that have not arrived.
struct changes_parts_request
{
  changes_id mId;
  std::vector<std::uint32_t> mMissing; ///< Indexes.
};

/// Asks the receiver to hand the organisation's quota over to the sender.
struct quota_handover_request
{
  std::uint64_t mId = 0;
  std::string mOrganisation;
};

/// Reply to a quota_handover_request, with its mId. The sender no longer
/// decides on the organisation's requests.
struct quota_handover
{
  std::uint64_t mId = 0;
  /// Nothing if the sender has not decided on any request.
  std::optional<quota_state> mState;
  /// The instance that the sender had handed the quota over to before, which
  /// has to be asked too; port 0: none.
  udp_endpoint mHeldBy;
  /// The limit that the sender decided by if it is of a later version than its
  /// configuration; only beside a state.
  std::optional<stated_limit> mLimit{};
};

/// The sender, which was the reader of its availability zone, cannot reach the
/// store.
struct store_lost_notice
{
  std::uint32_t mAgeMs = 0; ///< Of the sender's state.
};

/// Asks the owner of a group of targets for a free slot. Its reply is a
/// slot_reply.
struct slot_request
{
  std::uint64_t mId = 0; ///< Of the lease, chosen by the sender.
  std::string mService;
  std::uint32_t mGroup = 0;
  std::uint32_t mGroups = 1;
  std::uint32_t mLeaseMs = 0; ///< When the lease ends by itself.
  std::uint32_t mPriority = 0;
  bool mIsRepeatable = false;
  bool mMayUseLimited = true; ///< Targets that limit their rate may be lent.
  std::vector<std::string> mTried;
};

/// Reply to a slot_request, with its mId.
struct slot_reply
{
  std::uint64_t mId = 0;
  std::string mTarget; ///< Empty: none of the group is left.
  bool mIsFull = false;
};

/// Returns lent slots. Repeats the last ones, because a datagram may be lost.
struct slot_return
{
  std::vector<std::uint64_t> mIds;
};

using peer_payload = std::variant<target_report,
                                  crash_report,
                                  load_report,
                                  quota_request,
                                  retry_request,
                                  owner_reply,
                                  changes_request,
                                  changes_reply,
                                  target_limit_report,
                                  target_limits_request,
                                  send_permit_request,
                                  quota_handover_request,
                                  quota_handover,
                                  suspicion_cleared,
                                  changes_part,
                                  changes_parts_request,
                                  store_lost_notice,
                                  slot_request,
                                  slot_reply,
                                  slot_return,
                                  crash_suspects>;

/// A payload and the name of the instance that sent it.
struct peer_message
{
  std::string mSender;
  peer_payload mPayload;
};

/// The parts of a reply with these suspects, each of which fits into one packet
/// of a network unless a single suspect does not. An empty list makes one part,
/// which says that there are none.
std::vector<crash_suspects>
PartsOf(std::vector<crash_suspect> aSuspects, bool aIsInformed);

/// Encodes as a CBOR array: protocol version, message kind, sender, then the
/// fields of the kind.
std::string
EncodePeerMessage(const peer_message& aMessage);

/// Errors: errc::MessageMalformed, also for another version or an unknown kind.
result<peer_message>
DecodePeerMessage(std::string_view aBytes);

} // namespace cowslipline
