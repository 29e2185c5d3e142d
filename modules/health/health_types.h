#pragma once

#include "core/hash.h"
#include "core/time.h"
#include "modules/configuration/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// How one attempt at a target ended.
enum class attempt_outcome : std::uint8_t
{
  Success,
  Error, ///< A 5xx answer that is not a shed answer.
  Timeout,
  ConnectFailure, ///< Nothing of the request was sent.
  Incomplete,
  Wrong, ///< The answer failed a check of its route.
  Shed,  ///< The target says that it did not run the request because of load.
};

/// Shed answers are load, not failure: they lower the concurrency limit.
inline bool
IsFailure(attempt_outcome aOutcome)
{
  return aOutcome != attempt_outcome::Success &&
         aOutcome != attempt_outcome::Shed;
}

/// A target that was chosen for one attempt. The indices are valid in
/// mSnapshot only; the names stay valid when a new snapshot renumbers.
struct target_choice
{
  service_index mService = 0;
  target_index mTarget = 0;
  std::string mServiceName;
  std::string mTargetName;
  snapshot_pointer mSnapshot;
};

/// Targets that the request has already tried, compared by name.
using excluded_targets = std::vector<target_choice>;

struct attempt_report
{
  target_choice mChoice;
  attempt_outcome mOutcome = attempt_outcome::Success;
  duration mLatency{ 0 };
  /// The answer carried the header Cowslipline-Draining.
  bool mIsDraining = false;
};

/// Stable short form of a service's or target's name in peer messages.
inline std::uint32_t
NameHash(std::string_view aName)
{
  return static_cast<std::uint32_t>(Hash64(aName));
}

} // namespace cowslipline
