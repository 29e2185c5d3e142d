#pragma once

#include "modules/health/circuit_breaker.h"
#include "modules/health/concurrency_limit.h"
#include "modules/health/ejection.h"
#include "modules/health/evidence.h"
#include "modules/health/load_estimate.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// An ejection that this instance received. During a network partition a
/// service may have several owners, so each owner's ejections are kept.
struct received_ejection
{
  instance_name mDecidedBy;
  ejection mEjection;
  steady_time mExpires{};
  /// Whether the scope includes this instance.
  bool mAppliesHere = false;
};

/// The most severe reason to take a target out of use, and when it ends.
struct exclusion
{
  double mSeverity = 0; ///< Share of failing requests, 0 to 1.
  steady_time mUntil{};
};

/// State of one target at this instance: limits, load, ejections and the
/// evidence not yet sent. Kept by name across snapshots.
struct target_state
{
  std::string mName;
  std::uint32_t mHash = 0;
  std::uint32_t mInFlight = 0;
  concurrency_limit mLimit;
  circuit_breaker mBreaker;
  load_estimate mLoad;
  std::vector<received_ejection> mEjections;
  evidence_counts mEvidence;
  steady_time mDrainingUntil{};
  steady_time mDrainNoticeSent{};
  /// Until this time the target gets additional requests, since its owner
  /// needs more evidence.
  steady_time mSuspectUntil{};
  /// Time at which the slow start begins; the epoch for a target that was never
  /// out of use.
  steady_time mInUseSince{};

  bool IsDraining(const target& aTarget, steady_time aNow) const;
  /// The most severe of the circuit breaker and the ejections; empty when none
  /// is active.
  std::optional<exclusion> ExclusionAt(steady_time aNow) const;
  /// Slow start: share of its normal traffic that the target gets, 0.1 to 1.
  double WeightAt(steady_time aNow) const;
};

/// State of one service at this instance; its targets are in the order of the
/// current snapshot.
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
