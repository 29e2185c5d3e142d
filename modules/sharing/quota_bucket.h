#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// An organisation's limit over the whole fleet.
struct quota_limit
{
  double mRate = 0;  ///< Requests/s; 0: no limit.
  double mBurst = 0; ///< Requests.
};

struct quota_decision
{
  bool mIsAdmitted = false;
  /// When a refused caller has a chance.
  duration mRetryAfter{ 0 };
};

/// Token buckets of the organisations that this instance owns. Answers the
/// load of one organisation that sends many times its rate: it gets its rate
/// and no more, whichever instances its requests arrive at.
///
/// Nothing is stored: an owner that has just started, or that took over from
/// another, does not know what was admitted before. It begins with a small
/// part of the burst, so that two owners in one window together admit hardly
/// more than one.
class quota_buckets
{
public:
  explicit quota_buckets(steady_time aStart)
    : mStart(aStart)
  {
  }

  /// aEpoch: the state of the member table. A change may mean that another
  /// instance has admitted requests meanwhile.
  quota_decision Admit(std::string_view aOrganisation,
                       const quota_limit& aLimit,
                       std::uint64_t aEpoch,
                       steady_time aNow);

  void Prune(steady_time aNow);

private:
  struct bucket
  {
    double mTokens = 0;
    steady_time mFilledAt;
    std::uint64_t mEpoch = 0;
    double mRefused = 0; ///< Decays; demand beyond the rate, requests/s.
  };

  steady_time mStart;
  std::unordered_map<std::string, bucket> mBuckets;
};

} // namespace cowslipline
