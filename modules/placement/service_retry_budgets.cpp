#include "modules/placement/service_retry_budgets.h"

#include <algorithm>

namespace cowslipline {

namespace {

// Share of retry_limit::mExtra that is granted.
constexpr double kExtraShare = 0.85;

// Share of retry_limit::mRatio that is granted. It is below 1 because the calls
// in a window may also report requests from the quarter of a window before it.
constexpr double kRatioShare = 0.75;

// Share of the extra that forms the bucket's capacity. The remainder refills
// over the window, so that no window gets more than the whole extra.
constexpr double kBurstShare = 0.5;

// Share of the capacity that a new owner starts with at most, because it does
// not know what the previous owner has granted.
constexpr double kTakeoverShare = 0.2;

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
unreported_request_counter::Add(std::string_view aService, steady_time aNow)
{
  auto& requests = mRequests[std::string(aService)];
  while (!requests.empty() && aNow - requests.front() > mValidity) {
    requests.pop_front();
  }
  requests.push_back(aNow);
}

std::uint32_t
unreported_request_counter::TakeCount(std::string_view aService,
                                      steady_time aNow)
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
service_retry_budgets::TakeToken(std::string_view aService,
                                 std::uint32_t aRequests,
                                 std::uint64_t aEpoch,
                                 steady_time aNow)
{
  const double extra = mLimit.mExtra * kExtraShare;
  const double capacity = extra * kBurstShare;
  const double refillRate = extra * (1 - kBurstShare) / Seconds(mLimit.mWindow);
  const auto inserted = mBudgets.try_emplace(std::string(aService));
  auto& budget = inserted.first->second;
  if (inserted.second) {
    budget.mEpoch = aEpoch;
    budget.mRefilledAt = aNow;
    budget.mTokens =
      std::min(capacity * kTakeoverShare, refillRate * Seconds(aNow - mStart));
  }
  if (budget.mEpoch != aEpoch) {
    budget.mEpoch = aEpoch;
    budget.mTokens = std::min(budget.mTokens, capacity * kTakeoverShare);
  }
  budget.mTokens += refillRate * Seconds(aNow - budget.mRefilledAt) +
                    mLimit.mRatio * kRatioShare * aRequests;
  budget.mTokens = std::min(budget.mTokens, capacity);
  budget.mRefilledAt = aNow;
  if (budget.mTokens < 1) {
    return false;
  }
  budget.mTokens -= 1;
  return true;
}

} // namespace cowslipline
