#pragma once

#include "core/time.h"
#include "modules/sharing/peer_message.h"

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

/// Requests of the organisations that this instance owns, counted over a
/// sliding window. Answers the load of one organisation that sends many times
/// its rate: it gets its quota and no more, whichever instances its requests
/// arrive at. A token bucket would admit less: it gives the burst once, while
/// the quota gives it in every window.
///
/// Nothing is stored: an owner that took over from another does not know what
/// was admitted before. It begins as if the organisation had used a part of its
/// quota, and those who ask tell it what they were admitted.
class quota_windows
{
public:
  quota_windows(duration aWindow, steady_time aStart)
    : mWindow(aWindow)
    , mStart(aStart)
  {
  }

  /// aEpoch: the state of the member table. A change may mean that another
  /// instance has admitted requests meanwhile.
  quota_decision Admit(std::string_view aOrganisation,
                       const quota_limit& aLimit,
                       std::uint64_t aEpoch,
                       steady_time aNow);

  /// Requests that another owner admitted within the last window.
  void AddPast(std::string_view aOrganisation,
               const admitted_history& aHistory,
               steady_time aNow);

  void Prune(steady_time aNow);

private:
  static constexpr std::size_t kSlots = 25;

  struct window
  {
    /// Admitted requests by part of the window, the present one at mSlot.
    std::array<float, kSlots + 1> mAdmitted{};
    std::int64_t mSlot = 0;
    std::uint64_t mEpoch = 0;
    /// Until then a part of the quota is taken as used.
    steady_time mAssumedUntil;
    double mRefused = 0; ///< Decays: demand beyond the quota, requests/s.
    steady_time mUpdatedAt;
  };

  duration SlotLength() const { return mWindow / kSlots; }
  void Advance(window& aWindow, steady_time aNow) const;

  duration mWindow;
  steady_time mStart;
  std::uint64_t mLastEpoch = 0;
  steady_time mEpochSince;
  std::unordered_map<std::string, window> mWindows;
};

} // namespace cowslipline
