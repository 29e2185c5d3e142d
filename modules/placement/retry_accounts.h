#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// The fleet's bound on repeated sends: in any window a service gets at most
/// `ratio` x its requests + `extra` arrivals beyond the first of each request.
struct retry_limit
{
  double mRatio = 0.2;
  double mExtra = 60;
  duration mWindow = std::chrono::seconds(10);
};

/// Counts an instance's requests that its next question to the owner of a
/// budget reports. Older ones have lapsed: the bound knows only the requests of
/// about one window.
class recent_requests
{
public:
  explicit recent_requests(const retry_limit& aLimit)
    : mValidity(aLimit.mWindow / 4)
  {
  }

  void Add(std::string_view aService, steady_time aNow);
  /// The requests that were not reported yet.
  std::uint32_t Take(std::string_view aService, steady_time aNow);

private:
  duration mValidity;
  std::unordered_map<std::string, std::deque<steady_time>> mRequests;
};

/// Accounts of the services that this instance owns. Answers the load of a
/// fault that makes most first sends fail: without a bound, repeats would
/// double it. Instances ask the owner for each repeat and report with it how
/// many requests they have had since they asked last.
class retry_accounts
{
public:
  retry_accounts(const retry_limit& aLimit, steady_time aStart)
    : mLimit(aLimit)
    , mStart(aStart)
  {
  }

  /// The window must stay the same.
  void SetLimit(const retry_limit& aLimit) { mLimit = aLimit; }

  /// Takes one repeated send; false when there is none left. aRequests: the
  /// asking instance's requests of the service since its last question.
  bool Take(std::string_view aService,
            std::uint32_t aRequests,
            std::uint64_t aEpoch,
            steady_time aNow);

private:
  struct account
  {
    double mLeft = 0;
    steady_time mFilledAt;
    std::uint64_t mEpoch = 0;
  };

  retry_limit mLimit;
  steady_time mStart;
  std::unordered_map<std::string, account> mAccounts;
};

} // namespace cowslipline
