#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cowslipline {

/// Hash of host, organisation, method, path and body. Repetitions of a request
/// have the same value, whichever service of its route they go to.
using request_fingerprint = std::uint64_t;

/// Number of the way in which request_fingerprint is computed. To be raised
/// with every change of it.
inline constexpr std::uint32_t kFingerprintScheme = 2;

/// What an instance knows of a request that was at work in targets as they
/// crashed. Times are ages, since clocks differ.
struct crash_suspect
{
  request_fingerprint mRequest = 0;
  std::uint32_t mCrashes = 0;
  /// Time since the last crash of each target, the latest ones. At least one.
  std::vector<std::pair<std::string, duration>> mTargets;
};

/// Detects poison requests ("queries of death"), which crash every target that
/// runs them, and blocks them after the third crash. Without a block, a caller
/// that keeps sending one would take down a service target by target. Crashes
/// count, not targets: those of a small service are back after some seconds,
/// often under their ids.
class poison_request_detector
{
public:
  /// Records that a target went down while it ran the request, as observed by
  /// this instance or reported by another. aSentAt: when the request was sent
  /// to the target. A request that was sent before the target's last crash
  /// was broken by that one.
  void OnCrash(request_fingerprint aRequest,
               std::string_view aTarget,
               steady_time aSentAt,
               steady_time aNow);

  /// Records that a target served the request, which clears it of suspicion.
  /// True if it was suspected.
  bool OnServed(request_fingerprint aRequest);

  /// True when the request must not be sent to another target.
  bool IsBlocked(request_fingerprint aRequest, steady_time aNow) const;

  /// What other instances need to know to block the same requests, those with
  /// most crashes first.
  std::vector<crash_suspect> Suspects(steady_time aNow) const;
  /// The same for one request; nothing if it is not blocked.
  std::optional<crash_suspect> Blocked(request_fingerprint aRequest,
                                       steady_time aNow) const;
  /// Adds what another instance knows. A crash that both know counts once.
  void Merge(const crash_suspect& aOther, steady_time aNow);

  /// Removes requests that have not crashed a target for long.
  void Prune(steady_time aNow);

private:
  struct suspect
  {
    std::size_t mCrashes = 0;
    /// Time of the last crash, by target.
    std::map<std::string, steady_time, std::less<>> mTargets;
    steady_time mLastCrash;
  };

  static duration BlockDuration(const suspect& aSuspect);
  static crash_suspect ToShare(request_fingerprint aRequest,
                               const suspect& aSuspect,
                               steady_time aNow);

  std::unordered_map<request_fingerprint, suspect> mSuspects;
};

} // namespace cowslipline
