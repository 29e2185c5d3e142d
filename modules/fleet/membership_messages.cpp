#include "modules/fleet/membership_messages.h"

#include "core/cbor.h"
#include "core/check.h"
#include "core/hash.h"

#include <algorithm>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::uint64_t kLargestPort = 65535;

// Longer than any age that matters; bounds the conversion to microseconds.
constexpr std::chrono::hours kLongestAge{ 24 };

bool
IsUnsignedRow(const json& aRow, std::size_t aFields)
{
  return aRow.is_array() && aRow.size() >= aFields &&
         std::all_of(aRow.begin(), aRow.end(), [](const json& aField) {
           return aField.is_number_unsigned();
         });
}

bool
IsPort(const json& aField)
{
  return aField.is_number_unsigned() &&
         aField.get<std::uint64_t>() <= kLargestPort;
}

bool
IsSenderRow(const json& aRow)
{
  return aRow.is_array() && aRow.size() >= 3 && aRow[0].is_string() &&
         IsPort(aRow[1]) && aRow[2].is_string();
}

bool
IsDescriptionRow(const json& aRow)
{
  return aRow.is_array() && aRow.size() >= 5 && aRow[0].is_string() &&
         aRow[1].is_string() && IsPort(aRow[2]) && aRow[3].is_string() &&
         aRow[4].is_number_unsigned();
}

digest_extra
ReadExtra(const json& aDocument)
{
  digest_extra extra;
  if (aDocument.contains("c") && aDocument["c"].is_number_unsigned()) {
    extra.mConfigurationVersion = aDocument["c"].get<std::uint64_t>();
  }
  if (aDocument.contains("a") && aDocument["a"].is_number_unsigned()) {
    constexpr auto longest = std::chrono::milliseconds(kLongestAge).count();
    const auto age = std::min(aDocument["a"].get<std::uint64_t>(),
                              static_cast<std::uint64_t>(longest));
    extra.mConfirmationAge =
      std::chrono::milliseconds(static_cast<std::int64_t>(age));
  }
  return extra;
}

} // namespace

std::uint32_t
MemberHash(std::string_view aName)
{
  return static_cast<std::uint32_t>(Hash64(aName));
}

std::string
EncodeDigest(const digest_message& aMessage)
{
  auto rows = json::array();
  for (const auto& row : aMessage.mRows) {
    rows.push_back({ row.mNameHash,
                     row.mBoot,
                     row.mHeartbeat,
                     static_cast<unsigned>(row.mState) });
  }
  json document = {
    { "e", std::move(rows) },
    { "d",
      { aMessage.mSenderAddress.mAddress,
        aMessage.mSenderAddress.mPort,
        aMessage.mSenderZone } },
    { "c", aMessage.mExtra.mConfigurationVersion },
  };
  if (aMessage.mExtra.mConfirmationAge) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      *aMessage.mExtra.mConfirmationAge);
    document["a"] =
      static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
  }
  return EncodeCbor(document);
}

result<digest_message>
DecodeDigest(std::string_view aPayload)
{
  const auto document = DecodeCbor(aPayload);
  COWSLIPLINE_PROPAGATE(document);
  if (!document->is_object() || !document->contains("e") ||
      !(*document)["e"].is_array() || !document->contains("d") ||
      !IsSenderRow((*document)["d"])) {
    return Fail(errc::MessageMalformed);
  }
  digest_message message;
  for (const auto& row : (*document)["e"]) {
    if (!IsUnsignedRow(row, 4)) {
      return Fail(errc::MessageMalformed);
    }
    message.mRows.push_back(
      { row[0].get<std::uint32_t>(),
        row[1].get<std::uint64_t>(),
        row[2].get<std::uint64_t>(),
        row[3] == 0U ? instance_state::Live : instance_state::Leaving });
  }
  const auto& sender = (*document)["d"];
  message.mSenderAddress = { sender[0].get<std::string>(),
                             sender[1].get<std::uint16_t>() };
  message.mSenderZone = sender[2].get<std::string>();
  message.mExtra = ReadExtra(*document);
  return message;
}

std::string
EncodeHashes(const std::vector<std::uint32_t>& aHashes)
{
  return EncodeCbor(aHashes);
}

result<std::vector<std::uint32_t>>
DecodeHashes(std::string_view aPayload)
{
  const auto document = DecodeCbor(aPayload);
  COWSLIPLINE_PROPAGATE(document);
  if (!IsUnsignedRow(*document, 0)) {
    return Fail(errc::MessageMalformed);
  }
  return document->get<std::vector<std::uint32_t>>();
}

std::string
EncodeDescriptions(const std::vector<member_description>& aMembers)
{
  auto rows = json::array();
  for (const auto& member : aMembers) {
    rows.push_back({ member.mName,
                     member.mAddress.mAddress,
                     member.mAddress.mPort,
                     member.mAvailabilityZone,
                     member.mBoot });
  }
  return EncodeCbor(rows);
}

result<std::vector<member_description>>
DecodeDescriptions(std::string_view aPayload)
{
  const auto document = DecodeCbor(aPayload);
  COWSLIPLINE_PROPAGATE(document);
  if (!document->is_array()) {
    return Fail(errc::MessageMalformed);
  }
  std::vector<member_description> members;
  for (const auto& row : *document) {
    if (!IsDescriptionRow(row)) {
      return Fail(errc::MessageMalformed);
    }
    members.push_back(
      { row[0].get<std::string>(),
        { row[1].get<std::string>(), row[2].get<std::uint16_t>() },
        row[3].get<std::string>(),
        row[4].get<std::uint64_t>() });
  }
  return members;
}

} // namespace cowslipline
