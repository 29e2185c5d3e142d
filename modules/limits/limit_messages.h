#pragma once

#include "core/result.h"
#include "modules/limits/limit_constants.h"
#include "modules/limits/token_pool.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

constexpr char kCedeService[] = "limits.cede";
constexpr char kTokenService[] = "limits.tokens";

/// Shards as bits: bit n stands for shard n.
using shard_mask = std::uint32_t;

enum class cede_kind : std::uint8_t
{
  Request, ///< The owner asks for the fractions of the shards.
  Release, ///< The owner no longer counts the fractions of the shards.
  Notice,  ///< The sender has units to cede; it takes the receiver for the
           ///< next owner of the shards, whose owner has failed.
};

struct cede_message
{
  cede_kind mKind = cede_kind::Request;
  std::uint64_t mBoot = 0;
  std::uint64_t mSequence = 0;
  shard_mask mShards = 0;
  /// Those of the shards that have organisations in use.
  shard_mask mInUse = 0;

  /// How long the owner counts a cession of this shard.
  duration Validity(std::uint32_t aShard) const
  {
    return ((mInUse >> aShard) & 1U) != 0 ? kCessionValidityInUse
                                          : kCessionValidity;
  }
};

struct cede_reply
{
  /// Units for each shard of the request, lowest shard first.
  std::vector<unsigned> mUnits;
};

/// What a holder did with one grant: tokens used or dropped so far.
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

struct token_request
{
  /// Process of the owner to which the reports belong.
  std::uint64_t mOwnerBoot = 0;
  std::vector<token_request_item> mItems;
};

struct token_reply_item
{
  grant_id mGrant = 0;
  std::uint32_t mTokens = 0;
  /// The burst that the owner counted with.
  double mBurst = 0;
  /// When to ask again, if nothing was granted; 0 when the owner has no
  /// fraction of the shard.
  std::uint32_t mRetryMilliseconds = 0;
};

struct token_reply
{
  std::uint64_t mOwnerBoot = 0;
  /// In the order of the request's items.
  std::vector<token_reply_item> mItems;
};

/// CBOR maps with the version in the field "v". Decoding fails with
/// errc::MessageMalformed, also for other versions.
std::string
Encode(const cede_message& aMessage);
std::string
Encode(const cede_reply& aReply);
std::string
Encode(const token_request& aRequest);
std::string
Encode(const token_reply& aReply);

result<cede_message>
DecodeCedeMessage(std::string_view aPayload);
result<cede_reply>
DecodeCedeReply(std::string_view aPayload);
result<token_request>
DecodeTokenRequest(std::string_view aPayload);
result<token_reply>
DecodeTokenReply(std::string_view aPayload);

} // namespace cowslipline
