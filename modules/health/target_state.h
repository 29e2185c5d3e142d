#pragma once

#include "modules/health/concurrency_limit.h"
#include "modules/health/ejection.h"
#include "modules/health/evidence.h"
#include "modules/health/load_estimate.h"
#include "modules/health/local_hold.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// An ejection that this instance holds. Owners may differ during a
/// partition, so ejections are kept for each of them.
struct held_ejection
{
  instance_name mDecidedBy;
  ejection mEjection;
  steady_time mExpires{};
  /// The scope includes this instance.
  bool mAppliesHere = false;
};

/// Why a target should be out of use.
struct exclusion
{
  double mSeverity = 0;
  steady_time mUntil{};
};

/// What this instance knows about one target, kept by name.
struct target_state
{
  std::string mName;
  std::uint32_t mHash = 0;
  std::uint32_t mInFlight = 0;
  concurrency_limit mLimit;
  local_hold mHold;
  load_estimate mLoad;
  std::vector<held_ejection> mEjections;
  evidence_counts mEvidence;
  steady_time mDrainingUntil{};
  steady_time mDrainNoticeSent{};
  /// The owner wants more evidence about the target until then.
  steady_time mSuspectUntil{};
  /// Start of the slow start; long ago for a target that was never out.
  steady_time mInUseSince{};

  bool IsDraining(const target& aTarget, steady_time aNow) const;
  /// The worst of the local hold and the ejections; empty when none is active.
  std::optional<exclusion> ExclusionAt(steady_time aNow) const;
  /// Share of its normal traffic that the target gets, 0.1 to 1.
  double WeightAt(steady_time aNow) const;
};

/// The targets of one service in the order of the current snapshot.
struct service_state
{
  std::string mName;
  std::uint32_t mHash = 0;
  std::vector<std::shared_ptr<target_state>> mTargets;
  steady_time mEvidenceSent{};
  bool mHasNewFailures = false;

  target_state* FindTarget(std::string_view aName) const;
  target_state* FindTargetByHash(std::uint32_t aHash) const;
};

} // namespace cowslipline
