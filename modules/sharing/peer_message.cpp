#include "modules/sharing/peer_message.h"

#include "core/cbor.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr int kProtocolVersion = 1;

/// Values are part of the wire format.
enum class message_kind
{
  Outcome = 1,
  Crash,
  Load,
  QuotaRequest,
  RetryRequest,
  OwnerReply,
  ChangesRequest,
  ChangesReply,
  TargetLimit,
  TargetLimitsRequest,
  SendPermitRequest,
  QuotaHandoverRequest,
  QuotaHandover,
  SuspicionCleared,
  ChangesPart,
  ChangesPartsRequest,
  StoreLost,
  SlotRequest,
  SlotReply,
  SlotReturn,
  CrashSuspects,
};

/// Not negative.
std::uint64_t
MillisecondsOf(duration aDuration)
{
  return static_cast<std::uint64_t>(std::max<duration::rep>(
    0, static_cast<duration::rep>(aDuration / std::chrono::milliseconds(1))));
}

/// Appends the version, the rate and the burst.
void
AppendLimit(json& aFields, const std::optional<stated_limit>& aLimit)
{
  if (aLimit) {
    aFields.push_back(aLimit->mVersion);
    aFields.push_back(aLimit->mLimit.mRate);
    aFields.push_back(aLimit->mLimit.mBurst);
  }
}

json
Encode(const std::string& aSender, const target_report& aReport)
{
  return { kProtocolVersion, static_cast<int>(message_kind::Outcome),
           aSender,          aReport.mTarget,
           aReport.mOutcome, aReport.mShouldRelay,
           aReport.mAgeMs };
}

json
Encode(const std::string& aSender, const crash_report& aReport)
{
  return { kProtocolVersion, static_cast<int>(message_kind::Crash),
           aSender,          aReport.mFingerprint,
           aReport.mTarget,  aReport.mShouldRelay,
           aReport.mAgeMs };
}

json
Encode(const std::string& aSender, const suspicion_cleared& aReport)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::SuspicionCleared),
           aSender,
           aReport.mFingerprint,
           aReport.mShouldRelay };
}

json
Encode(const std::string& aSender, const load_report& aReport)
{
  auto requests = json::array();
  for (const auto& [target, count] : aReport.mRequests) {
    requests.push_back(target);
    requests.push_back(count);
  }
  return { kProtocolVersion,
           static_cast<int>(message_kind::Load),
           aSender,
           std::move(requests) };
}

json
Encode(const std::string& aSender, const quota_request& aRequest)
{
  json fields = { kProtocolVersion,
                  static_cast<int>(message_kind::QuotaRequest),
                  aSender,
                  aRequest.mId,
                  aRequest.mOrganisation };
  AppendLimit(fields, aRequest.mLimit);
  return fields;
}

json
Encode(const std::string& aSender, const retry_request& aRequest)
{
  return { kProtocolVersion,  static_cast<int>(message_kind::RetryRequest),
           aSender,           aRequest.mId,
           aRequest.mService, aRequest.mRequestsSinceLast,
           aRequest.mUse };
}

json
Encode(const std::string& aSender, const owner_reply& aReply)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::OwnerReply),
           aSender,
           aReply.mId,
           aReply.mIsAdmitted,
           aReply.mRetryAfterMs,
           aReply.mVersion };
}

json
Encode(const std::string& aSender, const changes_request& aRequest)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::ChangesRequest),
           aSender,
           aRequest.mId,
           aRequest.mKnownRevision,
           aRequest.mGeneration };
}

json
Encode(const std::string& aSender, const changes_reply& aReply)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::ChangesReply),
           aSender,
           aReply.mId,
           aReply.mFromRevision,
           aReply.mToRevision,
           aReply.mAgeMs,
           aReply.mIsPartial,
           aReply.mText,
           aReply.mGeneration,
           aReply.mPartCount,
           aReply.mDigest };
}

json
Encode(const std::string& aSender, const changes_part& aPart)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::ChangesPart),
           aSender,
           aPart.mId.mGeneration,
           aPart.mId.mFromRevision,
           aPart.mId.mToRevision,
           aPart.mId.mDigest,
           aPart.mIndex,
           aPart.mCount,
           json::binary({ aPart.mBytes.begin(), aPart.mBytes.end() }) };
}

json
Encode(const std::string& aSender, const changes_parts_request& aRequest)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::ChangesPartsRequest),
           aSender,
           aRequest.mId.mGeneration,
           aRequest.mId.mFromRevision,
           aRequest.mId.mToRevision,
           aRequest.mId.mDigest,
           aRequest.mMissing };
}

json
Encode(const std::string& aSender, const store_lost_notice& aNotice)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::StoreLost),
           aSender,
           aNotice.mAgeMs };
}

json
Encode(const std::string& aSender, const target_limit_report& aReport)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::TargetLimit),
           aSender,
           aReport.mTarget,
           aReport.mStartedAtMs,
           aReport.mIsNamed,
           aReport.mRate,
           aReport.mAgeMs,
           aReport.mShouldRelay };
}

json
Encode(const std::string& aSender, const target_limits_request& aRequest)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::TargetLimitsRequest),
           aSender,
           aRequest.mId,
           aRequest.mWantsSuspects };
}

json
Encode(const std::string& aSender, const crash_suspects& aSuspects)
{
  auto suspects = json::array();
  for (const auto& suspect : aSuspects.mSuspects) {
    auto targets = json::array();
    for (const auto& [target, age] : suspect.mTargets) {
      targets.push_back(target);
      targets.push_back(MillisecondsOf(age));
    }
    suspects.push_back(
      { suspect.mRequest, suspect.mCrashes, std::move(targets) });
  }
  return { kProtocolVersion,
           static_cast<int>(message_kind::CrashSuspects),
           aSender,
           aSuspects.mScheme,
           aSuspects.mIndex,
           aSuspects.mCount,
           aSuspects.mIsInformed,
           std::move(suspects) };
}

json
Encode(const std::string& aSender, const send_permit_request& aRequest)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::SendPermitRequest),
           aSender,
           aRequest.mId,
           aRequest.mTarget,
           aRequest.mRate,
           aRequest.mPriority,
           aRequest.mMostPerSecond };
}

json
Encode(const std::string& aSender, const quota_handover_request& aRequest)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::QuotaHandoverRequest),
           aSender,
           aRequest.mId,
           aRequest.mOrganisation };
}

json
Encode(const std::string& aSender, const quota_handover& aHandover)
{
  json fields = { kProtocolVersion,
                  static_cast<int>(message_kind::QuotaHandover),
                  aSender,
                  aHandover.mId,
                  aHandover.mHeldBy.address().to_string(),
                  aHandover.mHeldBy.port() };
  if (aHandover.mState) {
    fields.push_back(aHandover.mState->mTokens);
    fields.push_back(MillisecondsOf(aHandover.mState->mIdle));
    fields.push_back(aHandover.mState->mAdmitted);
    AppendLimit(fields, aHandover.mLimit);
  }
  return fields;
}

json
Encode(const std::string& aSender, const slot_request& aRequest)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::SlotRequest),
           aSender,
           aRequest.mId,
           aRequest.mService,
           aRequest.mGroup,
           aRequest.mGroups,
           aRequest.mLeaseMs,
           aRequest.mPriority,
           aRequest.mIsRepeatable,
           aRequest.mMayUseLimited,
           aRequest.mTried };
}

json
Encode(const std::string& aSender, const slot_reply& aReply)
{
  return { kProtocolVersion, static_cast<int>(message_kind::SlotReply),
           aSender,          aReply.mId,
           aReply.mTarget,   aReply.mIsFull };
}

json
Encode(const std::string& aSender, const slot_return& aReturn)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::SlotReturn),
           aSender,
           aReturn.mIds };
}

/// aFields: tokens, idle time in ms, and the requests of each part.
std::optional<quota_state>
DecodeQuotaState(const json& aTokens, const json& aIdleMs, const json& aParts)
{
  // Longer ones would overflow a duration; buckets expire sooner.
  constexpr std::uint64_t kLongestIdleMs = 3'600'000;
  if (!aTokens.is_number() || !std::isfinite(aTokens.get<double>()) ||
      aTokens.get<double>() < 0 || !aIdleMs.is_number_unsigned() ||
      !aParts.is_array() || aParts.size() != quota_state::kParts) {
    return std::nullopt;
  }
  quota_state state;
  state.mTokens = aTokens.get<double>();
  state.mIdle = std::chrono::milliseconds(
    std::min(aIdleMs.get<std::uint64_t>(), kLongestIdleMs));
  for (std::size_t i = 0; i < state.mAdmitted.size(); ++i) {
    if (!aParts[i].is_number_unsigned()) {
      return std::nullopt;
    }
    state.mAdmitted[i] = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(aParts[i].get<std::uint64_t>(),
                              std::numeric_limits<std::uint32_t>::max()));
  }
  return state;
}

/// The version, the rate and the burst that begin at aIndex. Nothing if they
/// are not there, as from instances of an earlier version. Errors:
/// errc::MessageMalformed.
result<std::optional<stated_limit>>
DecodeLimit(const json& aFields, std::size_t aIndex)
{
  if (aFields.size() <= aIndex) {
    return std::optional<stated_limit>();
  }
  const auto isAmount = [&](std::size_t aField) {
    return aFields[aField].is_number() &&
           std::isfinite(aFields[aField].get<double>()) &&
           aFields[aField].get<double>() >= 0;
  };
  if (aFields.size() < aIndex + 3 || !aFields[aIndex].is_number_unsigned() ||
      !isAmount(aIndex + 1) || !isAmount(aIndex + 2)) {
    return Fail(errc::MessageMalformed);
  }
  return std::optional(stated_limit{
    aFields[aIndex], { aFields[aIndex + 1], aFields[aIndex + 2] } });
}

/// The kinds of the id and the organisation have been checked.
result<peer_payload>
DecodeQuotaRequest(const json& aFields)
{
  const auto limit = DecodeLimit(aFields, 5);
  if (!limit) {
    return Fail(limit.error());
  }
  return quota_request{ aFields[3], aFields[4], *limit };
}

/// The kinds of the id, the address and the port have been checked.
result<peer_payload>
DecodeHandover(const json& aFields)
{
  asio::error_code error;
  const auto address =
    asio::ip::make_address(aFields[4].get<std::string>(), error);
  const auto port = aFields[5].get<std::uint64_t>();
  if (error || port > std::numeric_limits<std::uint16_t>::max()) {
    return Fail(errc::MessageMalformed);
  }
  quota_handover handover;
  handover.mId = aFields[3];
  handover.mHeldBy = { address, static_cast<std::uint16_t>(port) };
  if (aFields.size() > 8) {
    handover.mState = DecodeQuotaState(aFields[6], aFields[7], aFields[8]);
    const auto limit = DecodeLimit(aFields, 9);
    if (!handover.mState || !limit) {
      return Fail(errc::MessageMalformed);
    }
    handover.mLimit = *limit;
  }
  return handover;
}

result<peer_payload>
DecodeLoad(const json& aRequests)
{
  load_report report;
  if (!aRequests.is_array() || aRequests.size() % 2 != 0) {
    return Fail(errc::MessageMalformed);
  }
  for (std::size_t i = 0; i < aRequests.size(); i += 2) {
    if (!aRequests[i].is_string() || !aRequests[i + 1].is_number_unsigned()) {
      return Fail(errc::MessageMalformed);
    }
    report.mRequests.emplace_back(aRequests[i].get<std::string>(),
                                  aRequests[i + 1].get<std::uint32_t>());
  }
  return report;
}

/// The kinds of the fields of the id have been checked.
changes_id
DecodeChangesId(const json& aFields)
{
  return { aFields[3], aFields[4], aFields[5], aFields[6] };
}

/// The kinds of the fields have been checked.
result<peer_payload>
DecodePart(const json& aFields)
{
  const auto index = aFields[7].get<std::uint64_t>();
  const auto count = aFields[8].get<std::uint64_t>();
  if (index >= count || count > std::numeric_limits<std::uint32_t>::max()) {
    return Fail(errc::MessageMalformed);
  }
  const auto& bytes = aFields[9].get_binary();
  return changes_part{ DecodeChangesId(aFields),
                       static_cast<std::uint32_t>(index),
                       static_cast<std::uint32_t>(count),
                       { bytes.begin(), bytes.end() } };
}

/// The kinds of the fields of the id have been checked.
result<peer_payload>
DecodePartsRequest(const json& aFields)
{
  changes_parts_request request{ DecodeChangesId(aFields), {} };
  for (const auto& index : aFields[7]) {
    if (!index.is_number_unsigned()) {
      return Fail(errc::MessageMalformed);
    }
    request.mMissing.push_back(index.get<std::uint32_t>());
  }
  return request;
}

/// The kinds of the id and the service have been checked.
result<peer_payload>
DecodeSlotRequest(const json& aFields)
{
  constexpr std::uint64_t kLimit = std::numeric_limits<std::uint32_t>::max();
  for (std::size_t i = 5; i <= 8; ++i) {
    if (!aFields[i].is_number_unsigned() ||
        aFields[i].get<std::uint64_t>() > kLimit) {
      return Fail(errc::MessageMalformed);
    }
  }
  slot_request request;
  request.mId = aFields[3];
  request.mService = aFields[4];
  request.mGroup = aFields[5];
  request.mGroups = aFields[6];
  request.mLeaseMs = aFields[7];
  request.mPriority = aFields[8];
  const auto& tried = aFields[11];
  if (request.mGroup >= request.mGroups || !aFields[9].is_boolean() ||
      !aFields[10].is_boolean() || !tried.is_array()) {
    return Fail(errc::MessageMalformed);
  }
  request.mIsRepeatable = aFields[9];
  request.mMayUseLimited = aFields[10];
  for (const auto& target : tried) {
    if (!target.is_string()) {
      return Fail(errc::MessageMalformed);
    }
    request.mTried.push_back(target);
  }
  return request;
}

/// aSuspect: fingerprint, crashes, and the targets with the age of their last
/// crash in ms.
std::optional<crash_suspect>
DecodeSuspect(const json& aSuspect)
{
  if (!aSuspect.is_array() || aSuspect.size() < 3 ||
      !aSuspect[0].is_number_unsigned() || !aSuspect[1].is_number_unsigned() ||
      !aSuspect[2].is_array()) {
    return std::nullopt;
  }
  static constexpr std::uint64_t kMost =
    std::numeric_limits<std::uint32_t>::max();
  const auto bounded = [](const json& aNumber) {
    return static_cast<std::uint32_t>(
      std::min(aNumber.get<std::uint64_t>(), kMost));
  };
  crash_suspect suspect;
  suspect.mRequest = aSuspect[0];
  suspect.mCrashes = bounded(aSuspect[1]);
  const auto& targets = aSuspect[2];
  for (std::size_t i = 0; i + 1 < targets.size(); i += 2) {
    if (!targets[i].is_string() || !targets[i + 1].is_number_unsigned()) {
      return std::nullopt;
    }
    suspect.mTargets.emplace_back(
      targets[i], std::chrono::milliseconds(bounded(targets[i + 1])));
  }
  return suspect;
}

/// The kinds of all fields have been checked, but not those of the suspects.
result<peer_payload>
DecodeSuspects(const json& aFields)
{
  crash_suspects suspects{ aFields[3], aFields[4], aFields[5], aFields[6], {} };
  for (const auto& entry : aFields[7]) {
    auto suspect = DecodeSuspect(entry);
    if (!suspect) {
      return Fail(errc::MessageMalformed);
    }
    suspects.mSuspects.push_back(std::move(*suspect));
  }
  return suspects;
}

result<peer_payload>
DecodeSlotReturn(const json& aIds)
{
  slot_return returned;
  if (!aIds.is_array()) {
    return Fail(errc::MessageMalformed);
  }
  for (const auto& id : aIds) {
    if (!id.is_number_unsigned()) {
      return Fail(errc::MessageMalformed);
    }
    returned.mIds.push_back(id);
  }
  return returned;
}

result<peer_payload>
DecodePayload(message_kind aKind, const json& aFields)
{
  const auto isString = [&](std::size_t aIndex) {
    return aIndex < aFields.size() && aFields[aIndex].is_string();
  };
  const auto isUnsigned = [&](std::size_t aIndex) {
    return aIndex < aFields.size() && aFields[aIndex].is_number_unsigned();
  };
  const auto isBoolean = [&](std::size_t aIndex) {
    return aIndex < aFields.size() && aFields[aIndex].is_boolean();
  };
  // Fields that instances of an earlier version do not send.
  const auto unsignedOrZero = [&](std::size_t aIndex) -> std::uint64_t {
    return isUnsigned(aIndex) ? aFields[aIndex].get<std::uint64_t>() : 0;
  };
  const auto saturated = [&](std::size_t aIndex) {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      unsignedOrZero(aIndex), std::numeric_limits<std::uint32_t>::max()));
  };
  const auto isInteger = [&](std::size_t aIndex) {
    return aIndex < aFields.size() && aFields[aIndex].is_number_integer();
  };
  const auto isRate = [&](std::size_t aIndex) {
    return aIndex < aFields.size() && aFields[aIndex].is_number() &&
           std::isfinite(aFields[aIndex].get<double>()) &&
           aFields[aIndex].get<double>() >= 0;
  };
  switch (aKind) {
    case message_kind::Outcome:
      if (isString(3) && isUnsigned(4) && isBoolean(5)) {
        return target_report{
          aFields[3], aFields[4], aFields[5], saturated(6)
        };
      }
      break;
    case message_kind::Crash:
      if (isUnsigned(3) && isString(4) && isBoolean(5)) {
        crash_report report{ aFields[3], aFields[4], aFields[5] };
        if (isUnsigned(6)) {
          report.mAgeMs = saturated(6);
        }
        return report;
      }
      break;
    case message_kind::Load:
      if (aFields.size() > 3) {
        return DecodeLoad(aFields[3]);
      }
      break;
    case message_kind::QuotaRequest:
      if (isUnsigned(3) && isString(4)) {
        return DecodeQuotaRequest(aFields);
      }
      break;
    case message_kind::RetryRequest:
      if (isUnsigned(3) && isString(4) && isUnsigned(5)) {
        constexpr std::uint32_t kLargestUse =
          std::numeric_limits<std::uint8_t>::max();
        return retry_request{ aFields[3],
                              aFields[4],
                              aFields[5],
                              static_cast<std::uint8_t>(
                                std::min(saturated(6), kLargestUse)) };
      }
      break;
    case message_kind::OwnerReply:
      if (isUnsigned(3) && isBoolean(4) && isUnsigned(5)) {
        return owner_reply{
          aFields[3], aFields[4], aFields[5], unsignedOrZero(6)
        };
      }
      break;
    case message_kind::ChangesRequest:
      if (isUnsigned(3) && isUnsigned(4)) {
        return changes_request{ aFields[3], aFields[4], unsignedOrZero(5) };
      }
      break;
    case message_kind::ChangesReply:
      if (isUnsigned(3) && isUnsigned(4) && isUnsigned(5) && isUnsigned(6) &&
          isBoolean(7) && isString(8)) {
        return changes_reply{ aFields[3],        aFields[4],
                              aFields[5],        aFields[6],
                              aFields[7],        aFields[8],
                              unsignedOrZero(9), saturated(10),
                              unsignedOrZero(11) };
      }
      break;
    case message_kind::StoreLost:
      if (isUnsigned(3)) {
        return store_lost_notice{ saturated(3) };
      }
      break;
    case message_kind::ChangesPart:
      if (isUnsigned(3) && isUnsigned(4) && isUnsigned(5) && isUnsigned(6) &&
          isUnsigned(7) && isUnsigned(8) && aFields.size() > 9 &&
          aFields[9].is_binary()) {
        return DecodePart(aFields);
      }
      break;
    case message_kind::ChangesPartsRequest:
      if (isUnsigned(3) && isUnsigned(4) && isUnsigned(5) && isUnsigned(6) &&
          aFields.size() > 7 && aFields[7].is_array()) {
        return DecodePartsRequest(aFields);
      }
      break;
    case message_kind::TargetLimit:
      if (isString(3) && isInteger(4) && isBoolean(5) && isRate(6) &&
          isUnsigned(7) && isBoolean(8)) {
        return target_limit_report{ aFields[3], aFields[4], aFields[5],
                                    aFields[6], aFields[7], aFields[8] };
      }
      break;
    case message_kind::TargetLimitsRequest:
      if (isUnsigned(3)) {
        return target_limits_request{ aFields[3],
                                      isBoolean(4) && aFields[4].get<bool>() };
      }
      break;
    case message_kind::CrashSuspects:
      if (isUnsigned(3) && isUnsigned(4) && isUnsigned(5) && isBoolean(6) &&
          aFields.size() > 7 && aFields[7].is_array()) {
        return DecodeSuspects(aFields);
      }
      break;
    case message_kind::SendPermitRequest:
      if (isUnsigned(3) && isString(4) && isRate(5) && isUnsigned(6)) {
        return send_permit_request{ aFields[3],
                                    aFields[4],
                                    aFields[5],
                                    aFields[6],
                                    isRate(7) ? aFields[7].get<double>() : 0 };
      }
      break;
    case message_kind::SuspicionCleared:
      if (isUnsigned(3) && isBoolean(4)) {
        return suspicion_cleared{ aFields[3], aFields[4] };
      }
      break;
    case message_kind::SlotRequest:
      if (isUnsigned(3) && isString(4) && aFields.size() > 11) {
        return DecodeSlotRequest(aFields);
      }
      break;
    case message_kind::SlotReply:
      if (isUnsigned(3) && isString(4) && isBoolean(5)) {
        return slot_reply{ aFields[3], aFields[4], aFields[5] };
      }
      break;
    case message_kind::SlotReturn:
      return DecodeSlotReturn(aFields[3]);
    case message_kind::QuotaHandoverRequest:
      if (isUnsigned(3) && isString(4)) {
        return quota_handover_request{ aFields[3], aFields[4] };
      }
      break;
    case message_kind::QuotaHandover:
      if (isUnsigned(3) && isString(4) && isUnsigned(5)) {
        return DecodeHandover(aFields);
      }
      break;
  }
  return Fail(errc::MessageMalformed);
}

/// Bytes of the suspect in a message, at most.
std::size_t
EncodedBytes(const crash_suspect& aSuspect)
{
  constexpr std::size_t kFixedBytes = 16;
  constexpr std::size_t kBytesOfTarget = 9;
  std::size_t bytes = kFixedBytes;
  for (const auto& [target, age] : aSuspect.mTargets) {
    bytes += target.size() + kBytesOfTarget;
  }
  return bytes;
}

} // namespace

std::vector<crash_suspects>
PartsOf(std::vector<crash_suspect> aSuspects, bool aIsInformed)
{
  // The rest of a packet of 1,452 bytes is for the sender's name.
  constexpr std::size_t kBytesInPart = 1200;
  std::vector<crash_suspects> parts(1);
  std::size_t bytes = 0;
  for (auto& suspect : aSuspects) {
    bytes += EncodedBytes(suspect);
    if (bytes > kBytesInPart && !parts.back().mSuspects.empty()) {
      parts.emplace_back();
      bytes = EncodedBytes(suspect);
    }
    parts.back().mSuspects.push_back(std::move(suspect));
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].mIndex = static_cast<std::uint32_t>(i);
    parts[i].mCount = static_cast<std::uint32_t>(parts.size());
    parts[i].mIsInformed = aIsInformed;
  }
  return parts;
}

std::string
EncodePeerMessage(const peer_message& aMessage)
{
  return EncodeCbor(std::visit(
    [&](const auto& aPayload) { return Encode(aMessage.mSender, aPayload); },
    aMessage.mPayload));
}

result<peer_message>
DecodePeerMessage(std::string_view aBytes)
{
  const auto fields = DecodeCbor(aBytes);
  if (!fields) {
    return Fail(fields.error());
  }
  if (!fields->is_array() || fields->size() < 4 ||
      !(*fields)[0].is_number_unsigned() || (*fields)[0] != kProtocolVersion ||
      !(*fields)[1].is_number_unsigned() || !(*fields)[2].is_string()) {
    return Fail(errc::MessageMalformed);
  }
  auto payload =
    DecodePayload(static_cast<message_kind>((*fields)[1].get<int>()), *fields);
  if (!payload) {
    return Fail(payload.error());
  }
  return peer_message{ (*fields)[2], std::move(*payload) };
}

} // namespace cowslipline
