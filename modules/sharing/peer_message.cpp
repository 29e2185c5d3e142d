#include "modules/sharing/peer_message.h"

#include "core/cbor.h"

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr int kProtocolVersion = 1;

enum class message_kind
{
  Outcome = 1,
  Crash,
  Load,
  QuotaQuestion,
  RetryQuestion,
  OwnerAnswer,
  ChangesQuestion,
  ChangesAnswer,
};

json
Encode(const std::string& aSender, const target_report& aReport)
{
  return { kProtocolVersion, static_cast<int>(message_kind::Outcome),
           aSender,          aReport.mTarget,
           aReport.mOutcome, aReport.mIsToRelay };
}

json
Encode(const std::string& aSender, const crash_report& aReport)
{
  return { kProtocolVersion, static_cast<int>(message_kind::Crash),
           aSender,          aReport.mFingerprint,
           aReport.mTarget,  aReport.mIsToRelay };
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
Encode(const std::string& aSender, const quota_question& aQuestion)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::QuotaQuestion),
           aSender,
           aQuestion.mId,
           aQuestion.mOrganisation };
}

json
Encode(const std::string& aSender, const retry_question& aQuestion)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::RetryQuestion),
           aSender,
           aQuestion.mId,
           aQuestion.mService,
           aQuestion.mRequests };
}

json
Encode(const std::string& aSender, const owner_answer& aAnswer)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::OwnerAnswer),
           aSender,
           aAnswer.mId,
           aAnswer.mIsAdmitted,
           aAnswer.mRetryAfterMs };
}

json
Encode(const std::string& aSender, const changes_question& aQuestion)
{
  return { kProtocolVersion,
           static_cast<int>(message_kind::ChangesQuestion),
           aSender,
           aQuestion.mId,
           aQuestion.mRevision };
}

json
Encode(const std::string& aSender, const changes_answer& aAnswer)
{
  return { kProtocolVersion, static_cast<int>(message_kind::ChangesAnswer),
           aSender,          aAnswer.mId,
           aAnswer.mFrom,    aAnswer.mTo,
           aAnswer.mAgeMs,   aAnswer.mIsPartial,
           aAnswer.mText };
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

result<peer_payload>
DecodePayload(message_kind aKind, const json& aFields)
{
  const auto isText = [&](std::size_t aAt) {
    return aAt < aFields.size() && aFields[aAt].is_string();
  };
  const auto isCount = [&](std::size_t aAt) {
    return aAt < aFields.size() && aFields[aAt].is_number_unsigned();
  };
  const auto isFlag = [&](std::size_t aAt) {
    return aAt < aFields.size() && aFields[aAt].is_boolean();
  };
  switch (aKind) {
    case message_kind::Outcome:
      if (isText(3) && isCount(4) && isFlag(5)) {
        return target_report{ aFields[3], aFields[4], aFields[5] };
      }
      break;
    case message_kind::Crash:
      if (isCount(3) && isText(4) && isFlag(5)) {
        return crash_report{ aFields[3], aFields[4], aFields[5] };
      }
      break;
    case message_kind::Load:
      if (aFields.size() > 3) {
        return DecodeLoad(aFields[3]);
      }
      break;
    case message_kind::QuotaQuestion:
      if (isCount(3) && isText(4)) {
        return quota_question{ aFields[3], aFields[4] };
      }
      break;
    case message_kind::RetryQuestion:
      if (isCount(3) && isText(4) && isCount(5)) {
        return retry_question{ aFields[3], aFields[4], aFields[5] };
      }
      break;
    case message_kind::OwnerAnswer:
      if (isCount(3) && isFlag(4) && isCount(5)) {
        return owner_answer{ aFields[3], aFields[4], aFields[5] };
      }
      break;
    case message_kind::ChangesQuestion:
      if (isCount(3) && isCount(4)) {
        return changes_question{ aFields[3], aFields[4] };
      }
      break;
    case message_kind::ChangesAnswer:
      if (isCount(3) && isCount(4) && isCount(5) && isCount(6) && isFlag(7) &&
          isText(8)) {
        return changes_answer{ aFields[3], aFields[4], aFields[5],
                               aFields[6], aFields[7], aFields[8] };
      }
      break;
  }
  return Fail(errc::MessageMalformed);
}

} // namespace

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
