#pragma once

#include "core/result.h"
#include "modules/limits/limit_constants.h"
#include "modules/limits/token_pool.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

constexpr char kDelegationService[] = "limits.cede";
constexpr char kTokenService[] = "limits.tokens";

/// Set of shards: bit n stands for shard n.
using shard_mask = std::uint32_t;

enum class delegation_kind : std::uint8_t
{
  Request, ///< The owner requests the fractions of the shards.
  Release, ///< The owner no longer counts the fractions of the shards.
  Notice,  ///< The sender has units to delegate. If shards are given, their
           ///< owner has failed and the receiver should be the next one.
};

/// Message about the delegation of shard fractions between a member and an
/// owner; mKind tells the direction.
struct delegation_message
{
  delegation_kind mKind = delegation_kind::Request;
  std::uint64_t mBoot = 0;
  std::uint64_t mSequence = 0;
  shard_mask mShards = 0;
  /// The subset of mShards that has organisations in use.
  shard_mask mInUse = 0;

  /// How long the owner counts a delegation of this shard, from sending.
  duration Validity(std::uint32_t aShard) const
  {
    return ((mInUse >> aShard) & 1U) != 0 ? kDelegationValidityInUse
                                          : kDelegationValidity;
  }
};

/// A member's answer to delegation_kind::Request.
struct delegation_reply
{
  /// Units for each shard of the request, lowest shard first.
  std::vector<unsigned> mUnits;
};

/// How many tokens of one grant the holder has used or dropped so far.
struct usage_report
{
  grant_id mGrant = 0;
  std::uint32_t mUsed = 0;
};

struct token_request_item
{
  std::string mOrganisation;
  std::uint32_t mWanted = 0;
  std::vector<usage_report> mReports;
};

/// Requests tokens from a shard owner and reports the use of earlier grants.
struct token_request
{
  /// The owner process that made the reported grants.
  std::uint64_t mOwnerBoot = 0;
  std::vector<token_request_item> mItems;
};

struct token_reply_item
{
  grant_id mGrant = 0;
  std::uint32_t mTokens = 0;
  /// The organisation's burst in the owner's configuration, in requests.
  double mBurst = 0;
  /// Delay before the next request, if nothing was granted; 0 when the owner
  /// has no fraction of the shard.
  std::uint32_t mRetryMilliseconds = 0;
};

/// A shard owner's answer to token_request.
struct token_reply
{
  std::uint64_t mOwnerBoot = 0;
  /// In the order of the request's items.
  std::vector<token_reply_item> mItems;
};

/// CBOR maps with the version in the field "v". Decoding fails with
/// errc::MessageMalformed, also for other versions.
std::string
Encode(const delegation_message& aMessage);
std::string
Encode(const delegation_reply& aReply);
std::string
Encode(const token_request& aRequest);
std::string
Encode(const token_reply& aReply);

result<delegation_message>
DecodeDelegationMessage(std::string_view aPayload);
result<delegation_reply>
DecodeDelegationReply(std::string_view aPayload);
result<token_request>
DecodeTokenRequest(std::string_view aPayload);
result<token_reply>
DecodeTokenReply(std::string_view aPayload);

} // namespace cowslipline
