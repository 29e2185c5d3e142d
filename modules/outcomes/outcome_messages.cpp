#include "modules/outcomes/outcome_messages.h"

#include "core/check.h"

namespace cowslipline {

namespace {

using nlohmann::json;

/// Error: errc::MessageMalformed for a number below 0 or above aLast.
template<typename E>
result<E>
ParseEnum(const json& aValue, E aLast)
{
  const auto number = aValue.get<int>();
  if (number < 0 || number > static_cast<int>(aLast)) {
    return Fail(errc::MessageMalformed);
  }
  return static_cast<E>(number);
}

duration
ParseDuration(const json& aValue)
{
  return duration(aValue.get<duration::rep>());
}

} // namespace

std::string
EncodeClaimRequest(const claim_message& aRequest)
{
  // The attempt is encoded as a claim entry of the log; the owner sets its
  // deadline.
  const claim_entry entry{ aRequest.mAttempt.mKey,
                           aRequest.mAttempt.mFingerprint,
                           aRequest.mAttempt.mId,
                           0 };
  return EncodeCbor(json{ { "c", EntryToJson(entry) },
                          { "d", aRequest.mDeadline.count() },
                          { "w", aRequest.mWait.count() } });
}

result<claim_message>
DecodeClaimRequest(std::string_view aBytes)
{
  return ParseCbor(aBytes, [](const json& aValue) -> result<claim_message> {
    const auto decoded = EntryFromJson(aValue.at("c"));
    COWSLIPLINE_PROPAGATE(decoded);
    const auto* entry = std::get_if<claim_entry>(&*decoded);
    if (entry == nullptr) {
      return Fail(errc::MessageMalformed);
    }
    return claim_message{ attempt{
                            entry->mKey, entry->mAttempt, entry->mFingerprint },
                          ParseDuration(aValue.at("d")),
                          ParseDuration(aValue.at("w")) };
  });
}

std::string
EncodeClaimReply(const claim_reply& aReply)
{
  json value{ { "s", static_cast<int>(aReply.mStatus) },
              { "m", aReply.mMayBeRecorded } };
  if (aReply.mStatus == claim_status::Finished) {
    value["o"] = EntryToJson(finish_entry{ {}, 0, 0, aReply.mOutcome });
  }
  return EncodeCbor(value);
}

result<claim_reply>
DecodeClaimReply(std::string_view aBytes)
{
  return ParseCbor(aBytes, [](const json& aValue) -> result<claim_reply> {
    const auto status = ParseEnum(aValue.at("s"), claim_status::NotReady);
    COWSLIPLINE_PROPAGATE(status);
    claim_reply reply{ *status, aValue.at("m").get<bool>(), {} };
    if (reply.mStatus == claim_status::Finished) {
      const auto entry = EntryFromJson(aValue.at("o"));
      COWSLIPLINE_PROPAGATE(entry);
      const auto* finish = std::get_if<finish_entry>(&*entry);
      if (finish == nullptr) {
        return Fail(errc::MessageMalformed);
      }
      reply.mOutcome = finish->mOutcome;
    }
    return reply;
  });
}

std::string
EncodeReportRequest(const report_request& aRequest)
{
  auto entries = json::array();
  for (const auto& entry : aRequest.mEntries) {
    entries.push_back(EntryToJson(entry));
  }
  return EncodeCbor(json{ { "s", aRequest.mShard },
                          { "w", aRequest.mWait.count() },
                          { "e", std::move(entries) } });
}

result<report_request>
DecodeReportRequest(std::string_view aBytes)
{
  return ParseCbor(aBytes, [](const json& aValue) -> result<report_request> {
    report_request request;
    request.mShard = aValue.at("s").get<std::uint32_t>();
    request.mWait = ParseDuration(aValue.at("w"));
    for (const auto& value : aValue.at("e")) {
      auto entry = EntryFromJson(value);
      COWSLIPLINE_PROPAGATE(entry);
      if (std::holds_alternative<claim_entry>(*entry)) {
        return Fail(errc::MessageMalformed);
      }
      request.mEntries.push_back(std::move(*entry));
    }
    return request;
  });
}

std::string
EncodeReportStatus(report_status aStatus)
{
  return EncodeCbor(json{ { "s", static_cast<int>(aStatus) } });
}

result<report_status>
DecodeReportStatus(std::string_view aBytes)
{
  return ParseCbor(aBytes, [](const json& aValue) {
    return ParseEnum(aValue.at("s"), report_status::NotCommitted);
  });
}

} // namespace cowslipline
