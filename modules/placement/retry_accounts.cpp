#include "modules/placement/retry_accounts.h"

#include <algorithm>

namespace cowslipline {

namespace {

// Part of the extra that is used.
constexpr double kUsedPart = 0.85;

// Part of the ratio that is used: the questions of a window may also report the
// requests of the quarter of a window before it.
constexpr double kRatioPart = 0.75;

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

void
recent_requests::Add(std::string_view aService, steady_time aNow)
{
  auto& requests = mRequests[std::string(aService)];
  while (!requests.empty() && aNow - requests.front() > mValidity) {
    requests.pop_front();
  }
  requests.push_back(aNow);
}

std::uint32_t
recent_requests::Take(std::string_view aService, steady_time aNow)
{
  const auto found = mRequests.find(std::string(aService));
  if (found == mRequests.end()) {
    return 0;
  }
  const auto count =
    std::count_if(found->second.begin(),
                  found->second.end(),
                  [&](steady_time aAt) { return aNow - aAt <= mValidity; });
  found->second.clear();
  return static_cast<std::uint32_t>(count);
}

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
                   mLimit.mRatio * kRatioPart * aRequests;
  account.mLeft = std::min(account.mLeft, most);
  account.mFilledAt = aNow;
  if (account.mLeft < 1) {
    return false;
  }
  account.mLeft -= 1;
  return true;
}

} // namespace cowslipline
