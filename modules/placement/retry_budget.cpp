#include "modules/placement/retry_budget.h"

#include <algorithm>

namespace cowslipline {

void
retry_budget::SetInstances(std::size_t aCount)
{
  mInstances = std::max<std::size_t>(1, aCount);
}

double
retry_budget::MostHeld() const
{
  return std::max(1.0, mExtra / static_cast<double>(mInstances));
}

retry_budget::account&
retry_budget::AccountOf(std::string_view aService)
{
  auto& account = mAccounts[std::string(aService)];
  if (account.mIsNew) {
    account.mIsNew = false;
    account.mLeft = std::min(1.0, mExtra / static_cast<double>(mInstances));
  }
  return account;
}

void
retry_budget::OnRequest(std::string_view aService)
{
  auto& account = AccountOf(aService);
  account.mLeft = std::min(MostHeld(), account.mLeft + mRatio);
}

bool
retry_budget::Take(std::string_view aService)
{
  auto& account = AccountOf(aService);
  if (account.mLeft < 1) {
    return false;
  }
  account.mLeft -= 1;
  return true;
}

} // namespace cowslipline
