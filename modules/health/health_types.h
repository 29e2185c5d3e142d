#pragma once

#include "core/hash.h"
#include "core/time.h"
#include "modules/configuration/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Outcome of one attempt at a target.
enum class attempt_outcome : std::uint8_t
{
  Success,
  Error, ///< A 5xx answer other than a shed answer.
  Timeout,
  ConnectFailure, ///< No connection; nothing of the request was sent.
  Incomplete,     ///< The answer ended early.
  Wrong,          ///< The answer failed a check that its route configures.
  Shed, ///< The target refused the request because of load, without running it.
};

/// Whether the outcome counts against the target. Shed answers do not: they
/// indicate load and lower the concurrency limit instead.
inline bool
IsFailure(attempt_outcome aOutcome)
{
  return aOutcome != attempt_outcome::Success &&
         aOutcome != attempt_outcome::Shed;
}

/// The target chosen for one attempt. The indices are valid in mSnapshot only,
/// since a new snapshot may renumber; the names stay valid.
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

/// Result of one attempt at the chosen target.
struct attempt_report
{
  target_choice mChoice;
  attempt_outcome mOutcome = attempt_outcome::Success;
  duration mLatency{ 0 };
  /// The answer carried the header Cowslipline-Draining.
  bool mIsDraining = false;
};

/// Hash that stands for the name of a service or target in peer messages; the
/// same in all versions.
inline std::uint32_t
NameHash(std::string_view aName)
{
  return static_cast<std::uint32_t>(Hash64(aName));
}

} // namespace cowslipline
