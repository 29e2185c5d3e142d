#include "core/buffer_budget.h"

#include <utility>

namespace cowslipline {

bool
buffer_budget::Take(std::size_t aHeld, std::size_t aMore)
{
  if (aMore > mLimit || mUsed > mLimit - aMore) {
    return false;
  }
  const auto freeAfter = mLimit - mUsed - aMore;
  if (aHeld + aMore > freeAfter) {
    return false;
  }
  mUsed += aMore;
  return true;
}

void
buffer_budget::GiveBack(std::size_t aBytes)
{
  mUsed -= aBytes;
}

body_lease::body_lease(body_lease&& aOther) noexcept
  : mLimit(aOther.mLimit)
  , mBudget(aOther.mBudget)
  , mBytes(std::exchange(aOther.mBytes, 0))
  , mIsOverBudget(aOther.mIsOverBudget)
{
}

body_lease&
body_lease::operator=(body_lease&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mLimit = aOther.mLimit;
    mBudget = aOther.mBudget;
    mBytes = std::exchange(aOther.mBytes, 0);
    mIsOverBudget = aOther.mIsOverBudget;
  }
  return *this;
}

bool
body_lease::Grow(std::size_t aBytes)
{
  if (aBytes > mLimit - mBytes) {
    return false;
  }
  if (mBudget != nullptr && !mBudget->Take(mBytes, aBytes)) {
    mIsOverBudget = true;
    return false;
  }
  mBytes += aBytes;
  return true;
}

void
body_lease::Release()
{
  if (mBudget != nullptr) {
    mBudget->GiveBack(mBytes);
  }
  mBytes = 0;
}

} // namespace cowslipline
