#pragma once

#include "core/time.h"
#include "modules/limits/limit_messages.h"
#include "modules/limits/rate_bucket.h"

#include <deque>
#include <vector>

namespace cowslipline {

/// Tokens of one organisation that owners have granted to this instance.
class held_tokens
{
public:
  struct finished_grant
  {
    instance_name mOwner;
    std::uint64_t mOwnerBoot = 0;
    usage_report mReport;
  };

  /// aExpires counts from the moment the request was sent. aBurst is the burst
  /// that the owner counted with.
  void Add(const instance_name& aOwner,
           std::uint64_t aOwnerBoot,
           const token_reply_item& aItem,
           steady_time aExpires);

  /// Uses one token, those that expire first before others.
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
