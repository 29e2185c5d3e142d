#include "modules/placement/service_retry_budgets.h"

#include <algorithm>

namespace cowslipline {

namespace {

// Share of retry_limit::mExtra that is granted. The remainder covers what a new
// owner grants while some instances still ask the previous one.
constexpr double kExtraShare = 0.92;

// Share of retry_limit::mRatio that is granted. It is below 1 because the first
// reports after a calm also cover a fortieth of a window before it.
constexpr double kRatioShare = 0.98;

// Longest time between two reports that follow on each other, and the time that
// a report after a longer one covers, as fractions (1/n) of the window.
constexpr int kReportGapDivisor = 4;
constexpr int kFirstReportDivisor = 40;

// Share of the extra that forms the bucket's capacity. The remainder refills
// over the window, so that no window gets more than the whole extra.
constexpr double kBurstShare = 0.5;

// Share of the capacity that a new owner starts with at most, because it does
// not know what the previous owner has granted.
constexpr double kTakeoverShare = 0.1;

// Shares of the capacity that are left to more important uses.
constexpr double kLeftByRescues = 0.2;
constexpr double kLeftByHedges = 0.5;

double
ShareLeftBy(retry_use aUse)
{
  switch (aUse) {
    case retry_use::Repeat:
      return 0;
    case retry_use::Rescue:
      return kLeftByRescues;
    case retry_use::Hedge:
      return kLeftByHedges;
  }
  return kLeftByHedges;
}

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
unreported_request_counter::Add(std::string_view aService, steady_time aNow)
{
  auto& requests = mServices[std::string(aService)].mRequests;
  while (!requests.empty() &&
         aNow - requests.front() > mWindow / kReportGapDivisor) {
    requests.pop_front();
  }
  requests.push_back(aNow);
}

std::uint32_t
unreported_request_counter::TakeCount(std::string_view aService,
                                      steady_time aNow)
{
  const auto found = mServices.find(std::string(aService));
  if (found == mServices.end()) {
    return 0;
  }
  auto& service = found->second;
  const auto gapEnd = service.mReportedAt == steady_time::min()
                        ? service.mReportedAt
                        : service.mReportedAt + mWindow / kReportGapDivisor;
  const auto covered = aNow <= gapEnd ? mWindow / kReportGapDivisor
                                      : mWindow / kFirstReportDivisor;
  const auto count =
    std::count_if(service.mRequests.begin(),
                  service.mRequests.end(),
                  [&](steady_time aAt) { return aNow - aAt <= covered; });
  service.mRequests.clear();
  service.mReportedAt = aNow;
  return static_cast<std::uint32_t>(count);
}

bool
service_retry_budgets::TakeToken(std::string_view aService,
                                 std::uint32_t aRequests,
                                 std::uint64_t aEpoch,
                                 retry_use aUse,
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
  if (budget.mTokens < 1 + capacity * ShareLeftBy(aUse)) {
    return false;
  }
  budget.mTokens -= 1;
  return true;
}

} // namespace cowslipline
