#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// Hash of service, organisation, method, path and body. Repetitions of a
/// request have the same value.
using request_fingerprint = std::uint64_t;

/// Detects poison requests ("queries of death"), which crash every target that
/// runs them, and blocks them for 60 s after the last crash. Without a block, a
/// caller that keeps sending one would take down a service target by target.
class poison_request_detector
{
public:
  /// Records that a target went down while it ran the request, as observed by
  /// this instance or reported by another.
  void OnCrash(request_fingerprint aRequest,
               std::string_view aTarget,
               steady_time aNow);

  /// Records that a target answered the request, which clears it of suspicion.
  void OnAnswer(request_fingerprint aRequest);

  /// True when the request must not be sent to another target.
  bool IsBlocked(request_fingerprint aRequest, steady_time aNow) const;

  /// Removes requests whose block has expired.
  void Prune(steady_time aNow);

private:
  struct suspect
  {
    std::vector<std::string> mTargets; ///< Distinct targets that crashed.
    steady_time mLastCrash;
  };
  std::unordered_map<request_fingerprint, suspect> mSuspects;
};

} // namespace cowslipline
