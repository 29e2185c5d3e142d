#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// If an owner gets its next request for an organisation within this time, no
/// other owner has taken over in between.
inline constexpr duration kMaxContinuousGap = std::chrono::milliseconds(500);

/// An organisation's rate limit over the whole fleet: in any window at most
/// rate x window + burst of its requests are admitted.
struct quota_limit
{
  double mRate = 0;  ///< Requests/s; 0: no limit.
  double mBurst = 0; ///< Requests.
};

/// Whether a request is admitted under its organisation's quota.
struct quota_decision
{
  bool mIsAdmitted = false;
  /// Delay after which a refused caller may be admitted; 0 if admitted.
  duration mRetryAfter{ 0 };
};

/// Permitted excess over a quota in a window in which the owner changed: a new
/// owner does not know what its predecessor admitted. A single owner keeps the
/// quota exactly in every window.
struct quota_tolerance
{
  duration mWindow = std::chrono::seconds(5);
  double mOvershoot = 0.1; ///< Fraction of the quota.
  double mSlack = 20;      ///< Requests, added to mOvershoot.
};

/// What an owner knows of an organisation's quota, for the owner that takes it
/// over.
struct quota_state
{
  /// Parts of the window in which admitted requests are counted.
  static constexpr std::size_t kParts = 50;

  double mTokens = 0;  ///< When the organisation sent its last request.
  duration mIdle{ 0 }; ///< Time since then.
  /// Requests admitted in each part of the window, the latest part first.
  std::array<std::uint32_t, kParts> mAdmitted{};
};

/// Rate limiter for the organisations whose quota this instance owns: a
/// sliding-window limiter combined with a token bucket. An organisation that
/// sends many times its rate gets its quota and no more, whichever instances
/// its requests arrive at.
///
/// The sliding window keeps the quota exactly; the token bucket spreads it over
/// the window. An owner that takes over continues with the state of its
/// predecessor. If that does not reply, it begins with a nearly empty bucket
/// and an empty window, because it does not know what was admitted before. The
/// bucket's size and refill rate are such that the sum over successive owners
/// stays within the tolerance. The bucket refills from the last membership
/// change on, also for an organisation that has sent no request to this owner
/// yet.
class quota_buckets
{
public:
  explicit quota_buckets(const quota_tolerance& aTolerance)
    : mTolerance(aTolerance)
  {
  }

  /// mWindow must equal the present one: the admitted requests are counted by
  /// fractions of it.
  void SetTolerance(const quota_tolerance& aTolerance)
  {
    mTolerance = aTolerance;
  }

  /// Decides on one request and counts it if admitted. aSoleOwnerSince: since
  /// when no other instance can have admitted requests of the organisation.
  quota_decision Admit(std::string_view aOrganisation,
                       const quota_limit& aLimit,
                       steady_time aSoleOwnerSince,
                       steady_time aNow);

  /// Removes the organisation's bucket and returns its state; nothing if there
  /// is none.
  std::optional<quota_state> Release(std::string_view aOrganisation,
                                     steady_time aNow);

  /// Continues from the states of earlier owners. aSoleOwnerSince: as for
  /// Admit().
  void Resume(std::string_view aOrganisation,
              const std::vector<quota_state>& aStates,
              steady_time aSoleOwnerSince,
              steady_time aNow);

  /// Removes the buckets of organisations without recent requests.
  void Prune(steady_time aNow);

private:
  /// Slots into which the sliding window is divided.
  static constexpr std::size_t kWindowSlots = 100;
  static constexpr std::size_t kSlotsOfPart =
    kWindowSlots / quota_state::kParts;

  struct bucket
  {
    double mTokens = 0;
    /// Ring of admitted requests per slot of the window; mSlot, modulo its
    /// size, is the current one.
    std::array<float, kWindowSlots + 1> mAdmitted{};
    std::int64_t mSlot = 0;
    steady_time mLastRequestAt;
    /// aSoleOwnerSince of the last request.
    steady_time mSoleOwnerSince;
    /// Refused requests, decaying exponentially with a time constant of 1 s:
    /// the demand beyond the quota, in requests/s.
    double mRecentRefusals = 0;
  };

  /// Moves the window on to aNow and clears the slots that it enters.
  void Advance(bucket& aBucket, steady_time aNow) const;

  quota_tolerance mTolerance;
  std::unordered_map<std::string, bucket> mBuckets;
};

} // namespace cowslipline
