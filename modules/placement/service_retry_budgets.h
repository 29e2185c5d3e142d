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

/// What a retry is for. Each use leaves part of the budget to the uses before
/// it.
enum class retry_use
{
  Repeat, ///< No send of the request is open any more.
  Rescue, ///< The only open send is overdue and has probably been lost.
  Hedge,  ///< The open send is slow and will probably be answered.
};

/// Counts the requests of each service that this instance has not yet reported
/// to the owner of the service's retry budget. A report covers the time since
/// the one before, if that was less than a quarter of the window ago, and
/// otherwise a fortieth of the window: the limit covers only the requests of
/// one window, and after a calm the first reports of all instances would add
/// requests from before it.
class unreported_request_counter
{
public:
  explicit unreported_request_counter(const retry_limit& aLimit)
    : mWindow(aLimit.mWindow)
  {
  }

  void Add(std::string_view aService, steady_time aNow);
  /// Returns the number of unreported requests and resets it to zero.
  std::uint32_t TakeCount(std::string_view aService, steady_time aNow);

private:
  struct unreported
  {
    std::deque<steady_time> mRequests;
    steady_time mReportedAt = steady_time::min();
  };

  duration mWindow;
  std::unordered_map<std::string, unreported> mServices;
};

/// Retry budgets of the services that this instance owns, one token bucket per
/// service. They prevent a retry storm: when a fault makes most first sends
/// fail, unlimited retries would double the load. Instances ask the owner for
/// each retry and report how many requests they have had since their last call.
///
/// Answers the load of a service whose targets fail or refuse many requests, so
/// that more retries are wanted than the limit allows. Requests that would fail
/// without a retry go first: hedges, of which most only make an answer faster,
/// are granted from the upper part of the bucket alone.
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

  /// Takes a token for one retry; false when too few are left for this use.
  /// aRequests: requests of the service that the calling instance has had since
  /// its last call. aEpoch: epoch of the fleet's membership; when it changes,
  /// this instance may be a new owner, so the tokens are cut to a new owner's
  /// share.
  bool TakeToken(std::string_view aService,
                 std::uint32_t aRequests,
                 std::uint64_t aEpoch,
                 retry_use aUse,
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
