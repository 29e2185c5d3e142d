#pragma once

#include "modules/health/cusum_detector.h"
#include "modules/health/decayed_counts.h"
#include "modules/health/decayed_histogram.h"
#include "modules/health/ejection.h"
#include "modules/health/evidence.h"

#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cowslipline {

constexpr std::size_t kFaultKinds = 3;

/// Time for which a suspect target gets more requests.
constexpr duration kSuspectTime = std::chrono::seconds(1);

/// Time that instances have to send evidence that the owner requests. Without a
/// request, successes arrive only every 500 ms, and the scope depends on them.
constexpr duration kEvidenceReplyTime = std::chrono::milliseconds(20);

/// Outlier detection for the targets of one service, run by its owner: three
/// CUSUM tests per target (errors, connect failures, slow answers) against the
/// rates of the service's other targets. Nothing is ejected for a fault that
/// most targets share.
class service_detector
{
public:
  /// aService is a NameHash. The first ejection gets sequence aSequence + 1.
  service_detector(std::uint32_t aService, std::uint64_t aSequence);

  /// Adds the counts of one instance. Returns new ejections and withdrawals;
  /// a withdrawal has no time left.
  std::vector<ejection> Add(const instance_name& aFrom,
                            const std::string& aZone,
                            const service_evidence& aEvidence,
                            steady_time aNow);

  /// Returns the ejections in force with their remaining time.
  std::vector<ejection> Active(steady_time aNow);

  /// Returns true once when a decision needs fresh evidence of the other
  /// instances; DecideAll() must be called after kEvidenceReplyTime.
  bool TakeEvidenceRequest() { return std::exchange(mNeedsEvidence, false); }
  /// Returns and clears the targets that need more evidence, by NameHash.
  std::vector<std::uint32_t> TakeSuspects()
  {
    return std::exchange(mSuspects, {});
  }
  /// Decides on all targets again, after fresh evidence was requested.
  std::vector<ejection> DecideAll(steady_time aNow);

  steady_time LastEvidence() const { return mLastEvidence; }

private:
  struct active_ejection
  {
    ejection mEjection;
    steady_time mExpires{};
  };

  /// State of one target; arrays and vectors are indexed by fault kind.
  struct monitored_target
  {
    std::array<cusum_detector, kFaultKinds> mFaultDetectors;
    /// Counts of the last seconds, to detect faults that targets share.
    std::vector<decayed_counts> mRecent;
    /// Counts of the last minutes without suspicion.
    std::vector<decayed_counts> mBaseline;
    decayed_histogram mLatencies;
    /// First latency bucket that counts as slow.
    std::size_t mSlowBucket = kLatencyBuckets;
    steady_time mSlowBucketUpdated{};
    std::vector<active_ejection> mActive;
    std::uint32_t mRepeatCount = 0;
    steady_time mLastEjectionEnd{};
    steady_time mEvidenceRequested{};
    steady_time mSuspectNoticeSent{};
  };

  monitored_target& FindOrAddTarget(std::uint32_t aTarget);
  void RemoveExpired(monitored_target& aTarget, steady_time aNow);
  /// Whether the target is already ejected for the instance aFrom.
  bool IsEjectedFor(const monitored_target& aTarget,
                    const instance_name& aFrom,
                    const std::string& aZone) const;
  void AddCounts(const instance_name& aFrom,
                 const std::string& aZone,
                 const target_evidence& aEvidence,
                 steady_time aNow);
  /// Successes that took three times the median of the other targets or more.
  std::uint32_t CountSlow(std::uint32_t aTarget,
                          const evidence_counts& aCounts,
                          steady_time aNow);
  /// Rates of the test, raised when the other targets fail more often.
  fault_rates RatesOf(std::uint32_t aTarget,
                      ejection_reason aReason,
                      steady_time aNow) const;
  /// Whether most of the other targets have the same fault.
  bool IsSharedFault(std::uint32_t aTarget,
                     ejection_reason aReason,
                     steady_time aNow) const;
  /// Adds the target to the suspects when a score passes a quarter of its
  /// threshold.
  void CheckSuspect(std::uint32_t aTarget, steady_time aNow);
  /// Whether the instances have had time to send fresh evidence; requests it
  /// when the last request is more than a second old.
  bool HasFreshEvidence(monitored_target& aTarget, steady_time aNow);
  void Decide(std::uint32_t aTarget,
              steady_time aNow,
              std::vector<ejection>& aDecisions);
  ejection Eject(std::uint32_t aTarget,
                 ejection_reason aReason,
                 ejection_scope aScope,
                 steady_time aNow);
  /// Ends young ejections for a fault that turned out to be shared.
  void Withdraw(ejection_reason aReason,
                steady_time aNow,
                std::vector<ejection>& aDecisions);

  std::uint32_t mService;
  std::uint64_t mSequence;
  std::map<std::uint32_t, monitored_target> mTargets;
  steady_time mLastEvidence{};
  bool mNeedsEvidence = false;
  std::vector<std::uint32_t> mSuspects;
};

} // namespace cowslipline
