#pragma once

#include "modules/health/decayed_share.h"
#include "modules/health/ejection.h"
#include "modules/health/evidence.h"
#include "modules/health/fault_test.h"
#include "modules/health/latency_profile.h"

#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cowslipline {

constexpr std::size_t kFaultKinds = 3;

/// How long a target gets more requests on suspicion.
constexpr duration kSuspectTime = std::chrono::seconds(1);

/// Time that instances have to answer a question of the owner: successes are
/// reported only every 500 ms, and the scope depends on them.
constexpr duration kAnswerTime = std::chrono::milliseconds(20);

/// Decides at the owner which targets of one service are ejected.
class service_detector
{
public:
  /// aSequence is the number before that of the first ejection.
  service_detector(std::uint32_t aService, std::uint64_t aSequence);

  /// Takes the counts of one instance; returns new decisions, withdrawals
  /// (without time left) included.
  std::vector<ejection> Add(const instance_name& aFrom,
                            const std::string& aZone,
                            const service_evidence& aEvidence,
                            steady_time aNow);

  /// The ejections in force, with the time that is left to each.
  std::vector<ejection> Active(steady_time aNow);

  /// True once when a decision waits for what the other instances see; Review()
  /// takes it after their answers.
  bool TakeQuestion() { return std::exchange(mHasQuestion, false); }
  /// Targets about which more evidence is wanted, by hash.
  std::vector<std::uint32_t> TakeSuspects()
  {
    return std::exchange(mSuspects, {});
  }
  std::vector<ejection> Review(steady_time aNow);

  steady_time LastEvidence() const { return mLastEvidence; }

private:
  struct active_ejection
  {
    ejection mEjection;
    steady_time mExpires{};
  };

  struct watched_target
  {
    std::array<fault_test, kFaultKinds> mTests;
    std::vector<decayed_share> mRecent;
    std::vector<decayed_share> mOrdinary;
    latency_profile mLatencies;
    std::size_t mSlowBucket = kLatencyBuckets;
    steady_time mSlowBucketFrom{};
    std::vector<active_ejection> mActive;
    std::uint32_t mRepeats = 0;
    steady_time mLastEnd{};
    steady_time mAsked{};
    steady_time mSuspected{};
  };

  watched_target& WatchedOf(std::uint32_t aTarget);
  void Expire(watched_target& aTarget, steady_time aNow);
  bool IsCovered(const watched_target& aTarget,
                 const instance_name& aFrom,
                 const std::string& aZone) const;
  void AddCounts(const instance_name& aFrom,
                 const std::string& aZone,
                 const target_evidence& aEvidence,
                 steady_time aNow);
  std::uint32_t CountSlow(std::uint32_t aTarget,
                          const evidence_counts& aCounts,
                          steady_time aNow);
  fault_rates RatesOf(std::uint32_t aTarget,
                      ejection_reason aReason,
                      steady_time aNow) const;
  bool IsShared(std::uint32_t aTarget,
                ejection_reason aReason,
                steady_time aNow) const;
  void Suspect(std::uint32_t aTarget, steady_time aNow);
  /// Whether the others have had time to answer; asks them if they were not.
  bool IsConfirmed(watched_target& aTarget, steady_time aNow);
  void Decide(std::uint32_t aTarget,
              steady_time aNow,
              std::vector<ejection>& aDecisions);
  ejection Eject(std::uint32_t aTarget,
                 ejection_reason aReason,
                 ejection_scope aScope,
                 steady_time aNow);
  void Withdraw(ejection_reason aReason,
                steady_time aNow,
                std::vector<ejection>& aDecisions);

  std::uint32_t mService;
  std::uint64_t mSequence;
  std::map<std::uint32_t, watched_target> mTargets;
  steady_time mLastEvidence{};
  bool mHasQuestion = false;
  std::vector<std::uint32_t> mSuspects;
};

} // namespace cowslipline
