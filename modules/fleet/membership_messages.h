#pragma once

#include "core/result.h"
#include "core/time.h"
#include "modules/fleet/peer_address.h"
#include "platform/instance_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// The newest heartbeat of a member, as the sender knows it.
struct heartbeat_row
{
  std::uint32_t mNameHash = 0;
  std::uint64_t mBoot = 0;
  std::uint64_t mHeartbeat = 0;
  instance_state mState = instance_state::Live;
};

/// What a digest carries besides heartbeats, for the configuration
/// distributor.
struct digest_extra
{
  std::uint64_t mConfigurationVersion = 0;
  /// Since the store last confirmed the version, as far as the sender knows;
  /// empty when it never did.
  std::optional<duration> mConfirmationAge;
};

/// Sent every second to a few peers. The sender's address goes along, so that a
/// peer that hears of it for the first time can answer.
struct digest_message
{
  std::vector<heartbeat_row> mRows; ///< The sender first.
  peer_address mSenderAddress;
  std::string mSenderZone;
  digest_extra mExtra;
};

/// Answer to a question for members of which only the hash was known.
struct member_description
{
  std::string mName;
  peer_address mAddress;
  std::string mAvailabilityZone;
  std::uint64_t mBoot = 0;
};

/// Name of a member in digests.
std::uint32_t
MemberHash(std::string_view aName);

std::string
EncodeDigest(const digest_message& aMessage);
/// Errors: errc::MessageMalformed.
result<digest_message>
DecodeDigest(std::string_view aPayload);

std::string
EncodeHashes(const std::vector<std::uint32_t>& aHashes);
/// Errors: errc::MessageMalformed.
result<std::vector<std::uint32_t>>
DecodeHashes(std::string_view aPayload);

std::string
EncodeDescriptions(const std::vector<member_description>& aMembers);
/// Errors: errc::MessageMalformed.
result<std::vector<member_description>>
DecodeDescriptions(std::string_view aPayload);

} // namespace cowslipline
