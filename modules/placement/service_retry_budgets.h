#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// Fleet-wide retry limit of a service: in any window, its targets receive at
/// most mRatio x requests + mExtra sends in addition to the first send of each
/// request.
struct retry_limit
{
  double mRatio = 0.2; ///< Retries per request.
  double mExtra = 60;  ///< Retries per window, whatever the request rate.
  duration mWindow = std::chrono::seconds(10);
};

/// Counts the requests of each service that this instance has not yet reported
/// to the owner of the service's retry budget. Requests older than a quarter of
/// the window are left out, because the limit covers only the requests of about
/// one window.
class unreported_request_counter
{
public:
  explicit unreported_request_counter(const retry_limit& aLimit)
    : mValidity(aLimit.mWindow / 4)
  {
  }

  void Add(std::string_view aService, steady_time aNow);
  /// Returns the number of unreported requests and resets it to zero.
  std::uint32_t TakeCount(std::string_view aService, steady_time aNow);

private:
  duration mValidity;
  std::unordered_map<std::string, std::deque<steady_time>> mRequests;
};

/// Retry budgets of the services that this instance owns, one token bucket per
/// service. They prevent a retry storm: when a fault makes most first sends
/// fail, unlimited retries would double the load. Instances ask the owner for
/// each retry and report how many requests they have had since their last call.
class service_retry_budgets
{
public:
  service_retry_budgets(const retry_limit& aLimit, steady_time aStart)
    : mLimit(aLimit)
    , mStart(aStart)
  {
  }

  /// aLimit must have the same window as before.
  void SetLimit(const retry_limit& aLimit) { mLimit = aLimit; }

  /// Takes a token for one retry; false when fewer than one is left.
  /// aRequests: requests of the service that the calling instance has had since
  /// its last call. aEpoch: epoch of the fleet's membership; when it changes,
  /// this instance may be a new owner, so the tokens are cut to a new owner's
  /// share.
  bool TakeToken(std::string_view aService,
                 std::uint32_t aRequests,
                 std::uint64_t aEpoch,
                 steady_time aNow);

private:
  struct budget
  {
    double mTokens = 0;
    steady_time mRefilledAt;
    std::uint64_t mEpoch = 0;
  };

  retry_limit mLimit;
  steady_time mStart;
  std::unordered_map<std::string, budget> mBudgets;
};

} // namespace cowslipline
