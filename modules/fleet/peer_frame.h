#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cowslipline {

/// Frames with another version are dropped. Fields may be added without a new
/// version; unknown fields are ignored, so that two releases can work together.
constexpr std::uint32_t kPeerProtocolVersion = 1;

enum class frame_kind : std::uint8_t
{
  Send = 0,
  Request = 1,
  Reply = 2,
  Rejection = 3,
};

/// One message between two instances.
struct peer_frame
{
  std::string mFrom;
  std::uint64_t mBoot = 0;
  std::string mService;
  frame_kind mKind = frame_kind::Send;
  std::uint64_t mId = 0; ///< Pairs a reply with its request; 0 for Send.
  std::string mPayload;
};

/// CBOR, followed by 16 bytes of keyed BLAKE2b over it.
std::string
EncodeFrame(const peer_frame& aFrame, std::string_view aSecret);

/// Errors: errc::MessageMalformed for a wrong tag, version or form.
result<peer_frame>
DecodeFrame(std::string_view aBytes, std::string_view aSecret);

} // namespace cowslipline
