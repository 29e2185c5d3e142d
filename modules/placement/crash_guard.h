#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// Identifies a request that comes again: service, organisation, method, path
/// and body.
using request_fingerprint = std::uint64_t;

/// Recognises a request that crashes each target that runs it. Answers the
/// load of one caller that sends such a request again and again: without this,
/// it takes down a service target by target.
class crash_guard
{
public:
  /// A target went down while it ran the request, seen here or by another
  /// instance.
  void OnCrash(request_fingerprint aRequest,
               std::string_view aTarget,
               steady_time aNow);

  /// The request was answered: it does not crash targets.
  void OnAnswer(request_fingerprint aRequest);

  /// True when the request must not be sent to another target.
  bool IsBlocked(request_fingerprint aRequest, steady_time aNow) const;

  void Prune(steady_time aNow);

private:
  struct suspect
  {
    std::vector<std::string> mTargets; ///< Different ones that went down.
    steady_time mLast;
  };
  std::unordered_map<request_fingerprint, suspect> mSuspects;
};

} // namespace cowslipline
