#include "modules/placement/retry_accounts.h"

#include <algorithm>

namespace cowslipline {

namespace {

// Part of the bound that is used. The rest covers questions of one window that
// report requests of the window before.
constexpr double kUsedPart = 0.85;

// Of the extra, this part may be spent at once; the remainder is earned over
// the window, so that any window gets the whole at most.
constexpr double kAtOncePart = 0.5;

// An owner that took over does not know what the one before it has granted.
constexpr double kUnknownPastPart = 0.2;

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

bool
retry_accounts::Take(std::string_view aService,
                     std::uint32_t aRequests,
                     std::uint64_t aEpoch,
                     steady_time aNow)
{
  const double extra = mLimit.mExtra * kUsedPart;
  const double most = extra * kAtOncePart;
  const double rate = extra * (1 - kAtOncePart) / Seconds(mLimit.mWindow);
  const auto placed = mAccounts.try_emplace(std::string(aService));
  auto& account = placed.first->second;
  if (placed.second) {
    account.mEpoch = aEpoch;
    account.mFilledAt = aNow;
    account.mLeft =
      std::min(most * kUnknownPastPart, rate * Seconds(aNow - mStart));
  }
  if (account.mEpoch != aEpoch) {
    account.mEpoch = aEpoch;
    account.mLeft = std::min(account.mLeft, most * kUnknownPastPart);
  }
  account.mLeft += rate * Seconds(aNow - account.mFilledAt) +
                   mLimit.mRatio * kUsedPart * aRequests;
  account.mLeft = std::min(account.mLeft, most);
  account.mFilledAt = aNow;
  if (account.mLeft < 1) {
    return false;
  }
  account.mLeft -= 1;
  return true;
}

} // namespace cowslipline
