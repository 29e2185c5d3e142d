#pragma once

#include "core/time.h"

#include <array>
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

/// How exactly quotas are kept. Within one window every owner keeps them
/// exactly; the tolerance is for windows in which the owner changed.
struct quota_tolerance
{
  duration mWindow = std::chrono::seconds(5);
  double mOvershoot = 0.1; ///< Part of the quota.
  double mSlack = 20;      ///< Requests.
};

/// The quotas of the organisations that this instance owns. Answers the load of
/// one organisation that sends many times its rate: it gets its quota and no
/// more, whichever instances its requests arrive at.
///
/// A sliding window keeps the quota exactly, and a token bucket spreads it over
/// the window. Nothing is stored: an owner that has started or taken over
/// begins with an empty bucket and an unknown window. The bucket's size and
/// rate are such that the sum over successive owners stays within the
/// tolerance. What an owner has earned since the last change of the members is
/// its own, also for organisations that it was not asked for yet.
class quota_buckets
{
public:
  explicit quota_buckets(const quota_tolerance& aTolerance)
    : mTolerance(aTolerance)
  {
  }

  /// The window must stay the same.
  void SetTolerance(const quota_tolerance& aTolerance)
  {
    mTolerance = aTolerance;
  }

  /// aSince: before it, another instance may have been asked; nobody has been
  /// since then.
  quota_decision Admit(std::string_view aOrganisation,
                       const quota_limit& aLimit,
                       steady_time aSince,
                       steady_time aNow);

  void Prune(steady_time aNow);

private:
  static constexpr std::size_t kSlots = 100;

  struct bucket
  {
    double mTokens = 0;
    /// Admitted requests by part of the window, the present one at mSlot.
    std::array<float, kSlots + 1> mAdmitted{};
    std::int64_t mSlot = 0;
    steady_time mAskedAt;
    steady_time mChangedAt; ///< Change of the members known when last asked.
    double mRefused = 0;    ///< Decays: demand beyond the quota, requests/s.
  };

  void Advance(bucket& aBucket, steady_time aNow) const;

  quota_tolerance mTolerance;
  std::unordered_map<std::string, bucket> mBuckets;
};

} // namespace cowslipline
