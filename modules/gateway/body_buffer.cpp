#include "modules/gateway/body_buffer.h"

#include <utility>

namespace cowslipline {

bool
body_budget::Take(std::size_t aBytes)
{
  auto taken = mTaken.load();
  do {
    if (aBytes > mLimit || taken > mLimit - aBytes) {
      return false;
    }
  } while (!mTaken.compare_exchange_weak(taken, taken + aBytes));
  return true;
}

body_buffer::body_buffer(body_budget& aBudget, std::size_t aLimit)
  : mBudget(&aBudget)
  , mLimit(aLimit)
{
}

body_buffer::body_buffer(body_buffer&& aOther) noexcept
  : mBudget(std::exchange(aOther.mBudget, nullptr))
  , mLimit(aOther.mLimit)
  , mTaken(std::exchange(aOther.mTaken, 0))
  , mText(std::move(aOther.mText))
{
}

body_buffer&
body_buffer::operator=(body_buffer&& aOther) noexcept
{
  std::swap(mBudget, aOther.mBudget);
  std::swap(mLimit, aOther.mLimit);
  std::swap(mTaken, aOther.mTaken);
  std::swap(mText, aOther.mText);
  return *this;
}

body_buffer::~body_buffer()
{
  if (mBudget != nullptr) {
    mBudget->GiveBack(mTaken);
  }
}

append_status
body_buffer::Append(std::string_view aData)
{
  if (aData.size() > mLimit - mText.size()) {
    return append_status::OverLimit;
  }
  if (mBudget == nullptr || !mBudget->Take(aData.size())) {
    return append_status::OverBudget;
  }
  mTaken += aData.size();
  mText.append(aData);
  return append_status::Done;
}

} // namespace cowslipline
