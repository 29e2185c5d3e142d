#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// An organisation's limit over the whole fleet: in any window it gets at most
/// rate x window + burst.
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
/// load of one organisation that sends many times its rate: it gets its quota
/// and no more, whichever instances its requests arrive at.
///
/// The burst belongs to every window, so a part of it is the size of the bucket
/// and the rest is filled in over the window; that admits more than a bucket
/// which gives the burst once. Nothing is stored: an owner that has started or
/// taken over begins with an empty bucket, and the sum over successive owners
/// still keeps the quota of any window.
class quota_buckets
{
public:
  explicit quota_buckets(duration aWindow)
    : mWindow(aWindow)
  {
  }

  /// aEpoch: the state of the member table. After a change of it, another
  /// instance may have been asked meanwhile.
  quota_decision Admit(std::string_view aOrganisation,
                       const quota_limit& aLimit,
                       std::uint64_t aEpoch,
                       steady_time aNow);

  void Prune(steady_time aNow);

private:
  struct bucket
  {
    double mTokens = 0;
    steady_time mAskedAt;
    std::uint64_t mEpoch = 0;
    double mRefused = 0; ///< Decays: demand beyond the quota, requests/s.
  };

  duration mWindow;
  std::unordered_map<std::string, bucket> mBuckets;
};

} // namespace cowslipline
