#pragma once

#include "core/time.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/rate_bucket.h"

#include <deque>
#include <vector>

namespace cowslipline {

/// Tokens of one organisation that shard owners have granted to this instance
/// for immediate use. Each grant expires after kTokenValidity.
class held_tokens
{
public:
  struct finished_grant
  {
    instance_name mOwner;
    std::uint64_t mOwnerBoot = 0;
    usage_report mReport;
  };

  /// Adds a grant. aExpires is counted from the moment the request was sent, so
  /// that the holder's copy expires before the owner's reservation.
  void Add(const instance_name& aOwner,
           std::uint64_t aOwnerBoot,
           const token_reply_item& aItem,
           steady_time aExpires);

  /// Takes one token from the oldest grant that has any. Returns false when
  /// there is none.
  bool Take(const rate_limits& aLimits, steady_time aNow);

  /// Tokens that may be used now.
  std::uint32_t Count(steady_time aNow) const;

  /// Returns the grants that are used up or expired since the last call.
  std::vector<finished_grant> Finished(steady_time aNow);

  bool IsEmpty() const { return mGrants.empty(); }

private:
  struct grant
  {
    instance_name mOwner;
    std::uint64_t mOwnerBoot;
    grant_id mId;
    std::uint32_t mAmount;
    std::uint32_t mLeft;
    double mBurst;
    steady_time mExpires;
  };

  void Clip(grant& aGrant, double aBurst);

  std::deque<grant> mGrants;
};

} // namespace cowslipline
