#include "modules/placement/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Half-life of the success and failure counts. Gray failures last for seconds,
// so outcomes older than a few half-lives say nothing about the present.
constexpr duration kHalfLife = 2s;

// Length of the first avoidance. A healthy target fails one request in a
// hundred and a faulty one most of them, so one failure is enough to avoid it.
constexpr duration kFirstAvoidance = 2500ms;

// Each failed trial doubles the avoidance up to this limit. A target that
// failed by itself counts as sound 2 s later and has to get requests within 2 s
// more; the rest is left for the trial to reach it.
constexpr duration kLongestAvoidance = 3500ms;

// A target that refuses connections is down until it has restarted, which takes
// seconds. A trial costs little, so it is avoided for a shorter time.
constexpr duration kUnreachableAvoidance = 1s;

// Repeatable requests may try a target after this fraction (1/n) of its
// avoidance.
constexpr int kEarlyTrialDivisor = 2;

// Successes that end a trial. One is not enough, because a faulty target still
// serves one request in six.
constexpr int kSuccessesToEndTrial = 2;

// Time that a full target needs to work off part of its queue.
constexpr duration kFullDuration = 250ms;

// One request in a hundred fails at a healthy target. Two recent failures (1.6
// after decay) that make up this share of the outcomes indicate a fault.
constexpr double kMinFaultFailures = 1.6;
constexpr double kMinFaultShare = 0.35;

constexpr duration kRecordLifetime = 60s;

} // namespace

const char*
OutcomeName(exchange_outcome aOutcome)
{
  switch (aOutcome) {
    case exchange_outcome::Served:
      return "served";
    case exchange_outcome::Failed:
      return "failed";
    case exchange_outcome::Broken:
      return "broken";
    case exchange_outcome::TimedOut:
      return "timed_out";
    case exchange_outcome::Shed:
      return "shed";
    case exchange_outcome::Unreachable:
      return "unreachable";
    case exchange_outcome::Misdirected:
      return "misdirected";
    case exchange_outcome::Abandoned:
      return "abandoned";
  }
  return "unknown";
}

void
outlier_detector::Decay(record& aRecord, steady_time aNow)
{
  const auto passed = aNow - aRecord.mUpdated;
  if (passed > duration(0)) {
    const double factor =
      std::exp2(-std::chrono::duration<double>(passed).count() /
                std::chrono::duration<double>(kHalfLife).count());
    aRecord.mFailures *= factor;
    aRecord.mSuccesses *= factor;
    aRecord.mUpdated = aNow;
  }
}

bool
outlier_detector::Avoid(record& aRecord,
                        duration aBaseLength,
                        steady_time aSentAt,
                        steady_time aNow)
{
  // Requests that were in flight when the first one failed don't extend the
  // avoidance: their failures have the same cause. At a target that does not
  // reply they are overdue one after the other, also during its trials.
  if (aRecord.mIsOnTrial && aNow < aRecord.mTrialFrom) {
    aRecord.mIsFailureConfirmed = true;
    return false;
  }
  if (aSentAt < aRecord.mAvoidedSince) {
    return false;
  }
  aRecord.mIsFailureConfirmed = aRecord.mIsOnTrial;
  if (aRecord.mIsOnTrial) {
    aRecord.mFailedTrials = std::min(aRecord.mFailedTrials + 1, 4);
  }
  const auto length = std::min<duration>(
    kLongestAvoidance, aBaseLength * (1 << aRecord.mFailedTrials));
  aRecord.mAvoidedSince = aNow;
  aRecord.mAvoidedUntil = aNow + length;
  aRecord.mTrialFrom = aNow + length / kEarlyTrialDivisor;
  aRecord.mTrialSuccesses = 0;
  aRecord.mIsOnTrial = true;
  return true;
}

bool
outlier_detector::Observe(std::string_view aTarget,
                          exchange_outcome aOutcome,
                          steady_time aNow,
                          duration aAge)
{
  const auto sentAt = aNow - aAge;
  auto& record = mRecords[std::string(aTarget)];
  Decay(record, aNow);
  record.mUpdated = aNow;
  switch (aOutcome) {
    case exchange_outcome::Served: {
      record.mSuccesses += 1;
      // Responses to requests that were in flight when the target failed say
      // nothing about its present state.
      if (!record.mIsOnTrial || aNow < record.mTrialFrom) {
        return false;
      }
      if (++record.mTrialSuccesses >= kSuccessesToEndTrial) {
        record.mIsOnTrial = false;
        record.mFailedTrials = 0;
        record.mFailures = 0;
        record.mAvoidedUntil = aNow;
      }
      return true;
    }
    case exchange_outcome::Failed: {
      record.mFailures += 1;
      const double share =
        record.mFailures / (record.mFailures + record.mSuccesses);
      if (record.mIsOnTrial ||
          (record.mFailures >= kMinFaultFailures && share >= kMinFaultShare)) {
        Avoid(record, kFirstAvoidance, sentAt, aNow);
      }
      // Each failure is reported, because the other instances add them up.
      return true;
    }
    case exchange_outcome::Broken:
    case exchange_outcome::TimedOut:
      record.mFailures += 1;
      return Avoid(record, kFirstAvoidance, sentAt, aNow);
    case exchange_outcome::Unreachable:
      record.mFailures += 1;
      return Avoid(record, kUnreachableAvoidance, sentAt, aNow);
    case exchange_outcome::Shed: {
      const bool isNew = aNow >= record.mFullUntil;
      record.mFullUntil = aNow + kFullDuration;
      return isNew;
    }
    case exchange_outcome::Misdirected:
      return Avoid(record, kLongestAvoidance, sentAt, aNow);
    case exchange_outcome::Abandoned:
      return false;
  }
  return false;
}

target_use
outlier_detector::UseOf(std::string_view aTarget, steady_time aNow) const
{
  const auto found = mRecords.find(std::string(aTarget));
  if (found == mRecords.end()) {
    return target_use::InUse;
  }
  const auto& record = found->second;
  if (!record.mIsOnTrial) {
    return target_use::InUse;
  }
  if (aNow < record.mTrialFrom) {
    return target_use::Avoided;
  }
  return aNow < record.mAvoidedUntil ? target_use::EarlyTrial
                                     : target_use::Trial;
}

bool
outlier_detector::IsFailureConfirmed(std::string_view aTarget) const
{
  const auto found = mRecords.find(std::string(aTarget));
  return found != mRecords.end() && found->second.mIsOnTrial &&
         found->second.mIsFailureConfirmed;
}

bool
outlier_detector::IsFull(std::string_view aTarget, steady_time aNow) const
{
  const auto found = mRecords.find(std::string(aTarget));
  return found != mRecords.end() && aNow < found->second.mFullUntil;
}

double
outlier_detector::FailureScore(std::string_view aTarget, steady_time aNow) const
{
  const auto found = mRecords.find(std::string(aTarget));
  if (found == mRecords.end()) {
    return 0;
  }
  auto record = found->second;
  Decay(record, aNow);
  return record.mFailures - 0.5 * record.mSuccesses;
}

void
outlier_detector::Prune(steady_time aNow)
{
  for (auto record = mRecords.begin(); record != mRecords.end();) {
    const bool isOld = aNow - record->second.mUpdated > kRecordLifetime;
    record = isOld ? mRecords.erase(record) : std::next(record);
  }
}

} // namespace cowslipline
