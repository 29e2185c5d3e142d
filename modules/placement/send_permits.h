#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <string_view>

namespace cowslipline {

/// Requests that a target accepts from the whole fleet.
struct send_limit
{
  double mRate = 0; ///< Requests/s.
  /// Requests that it bears in any one second; 0: not stated.
  double mMostPerSecond = 0;
};

/// A request for a permit to send once to a limited target.
struct permit_request
{
  std::string_view mTarget;
  double mRate = 0;  ///< Requests/s that the target accepts from the fleet.
  int mPriority = 0; ///< 0 is the most urgent.
  /// The deciding instance is the first owner of the target by the
  /// registrations, not one that replaces an owner that does not reply.
  bool mIsFirstOwner = false;
  /// Requests that the target bears in any one second; 0: not stated.
  double mMostPerSecond = 0;
};

struct permit_decision
{
  bool mIsGranted = false;
  /// Time until a permit is expected for a refused instance; 0 if granted.
  duration mRetryAfter{ 0 };
};

/// Token buckets of the limited targets that this instance owns, one a target.
/// Each token is a permit for one send of the whole fleet: first sends,
/// retries, hedges and trials alike. Nothing is stored: a new owner begins with
/// an empty bucket and grants half of the rate until it has been the first
/// owner for a while, so that two owners together stay below one and a half
/// times the rate. For a target that states how many requests it bears in one
/// second, a cold one, both may grant the whole rate from the start as far as
/// that allows: it is cold for less time than a takeover lasts.
///
/// Answers the load of a service whose targets accept less than what comes in.
/// More urgent requests go first: others get a token only if enough are left
/// for the urgent ones that are expected until the next token.
class send_permits
{
public:
  permit_decision Take(const permit_request& aRequest, steady_time aNow);

  /// Removes the buckets of targets that nobody asks for.
  void Prune(steady_time aNow);
  std::size_t Size() const { return mBuckets.size(); }

private:
  /// A rate of events, as an exponentially decaying count.
  struct decaying_rate
  {
    double mCount = 0;
    steady_time mUpdatedAt;

    void Add(steady_time aNow);
    double PerSecond(steady_time aNow) const;
  };

  struct bucket
  {
    double mTokens = 0;
    steady_time mRefilledAt;
    bool mIsFirstOwner = false;
    steady_time mFirstOwnerSince;
    std::map<int, decaying_rate> mDemand; ///< Requests, by priority.
    decaying_rate mRefusals;
  };

  /// How fast an owner grants permits.
  struct pace
  {
    double mRate = 0;     ///< Permits/s.
    double mCapacity = 0; ///< Permits that an idle bucket holds.
  };

  static pace PaceOf(const permit_request& aRequest, bool aIsOnlyOwner);

  std::map<std::string, bucket, std::less<>> mBuckets;
};

} // namespace cowslipline
