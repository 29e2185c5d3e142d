#include "modules/fleet/peer_frame.h"

#include "core/cbor.h"
#include "core/check.h"
#include "core/hash.h"

#include <sodium.h>

namespace cowslipline {

namespace {

constexpr std::size_t kTagBytes = std::tuple_size<digest16>::value;

constexpr auto kLastKind = static_cast<std::uint8_t>(frame_kind::Rejection);

bool
HasForm(const nlohmann::json& aDocument)
{
  return aDocument.is_object() && aDocument.contains("v") &&
         aDocument["v"].is_number_unsigned() && aDocument.contains("f") &&
         aDocument["f"].is_string() && aDocument.contains("b") &&
         aDocument["b"].is_number_unsigned() && aDocument.contains("s") &&
         aDocument["s"].is_string() && aDocument.contains("k") &&
         aDocument["k"].is_number_unsigned() && aDocument.contains("i") &&
         aDocument["i"].is_number_unsigned() && aDocument.contains("p") &&
         aDocument["p"].is_binary();
}

bool
HasValidTag(std::string_view aBody,
            std::string_view aTag,
            std::string_view aSecret)
{
  const auto expected = KeyedDigest16(aSecret, aBody);
  return sodium_memcmp(expected.data(), aTag.data(), kTagBytes) == 0;
}

} // namespace

std::string
EncodeFrame(const peer_frame& aFrame, std::string_view aSecret)
{
  const auto* payload =
    reinterpret_cast<const std::uint8_t*>(aFrame.mPayload.data());
  const nlohmann::json document = {
    { "v", kPeerProtocolVersion },
    { "f", aFrame.mFrom },
    { "b", aFrame.mBoot },
    { "s", aFrame.mService },
    { "k", static_cast<std::uint8_t>(aFrame.mKind) },
    { "i", aFrame.mId },
    { "p",
      nlohmann::json::binary(
        std::vector<std::uint8_t>(payload, payload + aFrame.mPayload.size())) },
  };
  auto bytes = EncodeCbor(document);
  bytes += AsView(KeyedDigest16(aSecret, bytes));
  return bytes;
}

result<peer_frame>
DecodeFrame(std::string_view aBytes, std::string_view aSecret)
{
  if (aBytes.size() <= kTagBytes) {
    return Fail(errc::MessageMalformed);
  }
  const auto body = aBytes.substr(0, aBytes.size() - kTagBytes);
  if (!HasValidTag(body, aBytes.substr(body.size()), aSecret)) {
    return Fail(errc::MessageMalformed);
  }
  const auto decoded = DecodeCbor(body);
  COWSLIPLINE_PROPAGATE(decoded);
  const auto& document = *decoded;
  if (!HasForm(document) || document["v"] != kPeerProtocolVersion ||
      document["k"] > kLastKind) {
    return Fail(errc::MessageMalformed);
  }
  peer_frame frame;
  frame.mFrom = document["f"].get<std::string>();
  frame.mBoot = document["b"].get<std::uint64_t>();
  frame.mService = document["s"].get<std::string>();
  frame.mKind = static_cast<frame_kind>(document["k"].get<std::uint8_t>());
  frame.mId = document["i"].get<std::uint64_t>();
  const auto& payload = document["p"].get_binary();
  frame.mPayload.assign(payload.begin(), payload.end());
  return frame;
}

} // namespace cowslipline
