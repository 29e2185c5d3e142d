#include "modules/limits/held_tokens.h"

#include <cmath>

namespace cowslipline {

void
held_tokens::Add(const instance_name& aOwner,
                 std::uint64_t aOwnerBoot,
                 const token_reply_item& aItem,
                 steady_time aExpires)
{
  mGrants.push_back({ aOwner,
                      aOwnerBoot,
                      aItem.mGrant,
                      aItem.mTokens,
                      aItem.mTokens,
                      aItem.mBurst,
                      aExpires });
}

bool
held_tokens::Take(const rate_limits& aLimits, steady_time aNow)
{
  for (auto& one : mGrants) {
    Clip(one, aLimits.mBurst);
    if (one.mLeft > 0 && aNow < one.mExpires) {
      --one.mLeft;
      return true;
    }
  }
  return false;
}

std::uint32_t
held_tokens::Count(steady_time aNow) const
{
  std::uint32_t count = 0;
  for (const auto& one : mGrants) {
    count += aNow < one.mExpires ? one.mLeft : 0;
  }
  return count;
}

std::vector<held_tokens::finished_grant>
held_tokens::Finished(steady_time aNow)
{
  std::vector<finished_grant> finished;
  for (auto next = mGrants.begin(); next != mGrants.end();) {
    if (next->mLeft > 0 && aNow < next->mExpires) {
      ++next;
      continue;
    }
    finished.push_back(
      { next->mOwner, next->mOwnerBoot, { next->mId, next->mAmount } });
    next = mGrants.erase(next);
  }
  return finished;
}

/// Scales a grant down when the burst was lowered. All holders scale by the
/// same factor, so that their tokens together do not exceed the new burst.
void
held_tokens::Clip(grant& aGrant, double aBurst)
{
  if (aBurst < aGrant.mBurst) {
    aGrant.mLeft = static_cast<std::uint32_t>(
      std::floor(aGrant.mLeft * aBurst / aGrant.mBurst));
    aGrant.mBurst = aBurst;
  }
}

} // namespace cowslipline
