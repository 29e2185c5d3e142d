#include "modules/placement/target_records.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Gray failures last for seconds; evidence older than a few of these no longer
// speaks about the present.
constexpr duration kHalfLife = 2s;

// First avoidance after a failure. A sound target loses one request in a
// hundred, a failing one most of them: one failure speaks against the target.
constexpr duration kFirstAvoidance = 2500ms;

// Each failed trial doubles the avoidance up to this, the usual length of a
// gray failure.
constexpr duration kLongestAvoidance = 8s;

// A target that refuses connections is down until it has started again, which
// takes seconds; trials of it cost little.
constexpr duration kUnreachableAvoidance = 1s;

// The last part of an avoidance is open to trials by repeatable requests.
constexpr int kEarlyTrialPart = 2;

// Successes that end a trial: a failing target serves one request in six.
constexpr int kSuccessesOfTrial = 2;

// The time in which a full target works off a part of its queue.
constexpr duration kFullTime = 250ms;

// One request in a hundred fails at sound targets; two failures that make up
// this share of the recent outcomes are a fault of the target.
constexpr double kFailuresOfFault = 1.6;
constexpr double kShareOfFault = 0.35;

constexpr duration kForgetAfter = 60s;

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
target_records::Decay(record& aRecord, steady_time aNow)
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
target_records::Avoid(record& aRecord, duration aShortest, steady_time aNow)
{
  // Several requests were on their way when the first one failed: they are one
  // piece of evidence.
  const bool isNew = !aRecord.mIsOnTrial || aNow >= aRecord.mTrialFrom;
  if (!isNew) {
    aRecord.mIsConfirmed = true;
    return false;
  }
  aRecord.mIsConfirmed = aRecord.mIsOnTrial;
  if (aRecord.mIsOnTrial) {
    aRecord.mFailedTrials = std::min(aRecord.mFailedTrials + 1, 4);
  }
  const auto length = std::min<duration>(
    kLongestAvoidance, aShortest * (1 << aRecord.mFailedTrials));
  aRecord.mAvoidedUntil = aNow + length;
  aRecord.mTrialFrom = aNow + length / kEarlyTrialPart;
  aRecord.mTrialSuccesses = 0;
  aRecord.mIsOnTrial = true;
  return true;
}

bool
target_records::Observe(std::string_view aTarget,
                        exchange_outcome aOutcome,
                        steady_time aNow)
{
  auto& record = mRecords[std::string(aTarget)];
  Decay(record, aNow);
  record.mUpdated = aNow;
  switch (aOutcome) {
    case exchange_outcome::Served: {
      record.mSuccesses += 1;
      // Answers to requests that were on their way when the target failed say
      // nothing about its present state.
      if (!record.mIsOnTrial || aNow < record.mTrialFrom) {
        return false;
      }
      if (++record.mTrialSuccesses >= kSuccessesOfTrial) {
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
          (record.mFailures >= kFailuresOfFault && share >= kShareOfFault)) {
        Avoid(record, kFirstAvoidance, aNow);
      }
      // Told to others each time: they add up the failures.
      return true;
    }
    case exchange_outcome::Broken:
    case exchange_outcome::TimedOut:
      record.mFailures += 1;
      return Avoid(record, kFirstAvoidance, aNow);
    case exchange_outcome::Unreachable:
      record.mFailures += 1;
      return Avoid(record, kUnreachableAvoidance, aNow);
    case exchange_outcome::Shed: {
      const bool isNew = aNow >= record.mFullUntil;
      record.mFullUntil = aNow + kFullTime;
      return isNew;
    }
    case exchange_outcome::Misdirected:
      return Avoid(record, kLongestAvoidance, aNow);
    case exchange_outcome::Abandoned:
      return false;
  }
  return false;
}

target_use
target_records::UseOf(std::string_view aTarget, steady_time aNow) const
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
target_records::IsConfirmed(std::string_view aTarget) const
{
  const auto found = mRecords.find(std::string(aTarget));
  return found != mRecords.end() && found->second.mIsOnTrial &&
         found->second.mIsConfirmed;
}

bool
target_records::IsFull(std::string_view aTarget, steady_time aNow) const
{
  const auto found = mRecords.find(std::string(aTarget));
  return found != mRecords.end() && aNow < found->second.mFullUntil;
}

double
target_records::Suspicion(std::string_view aTarget, steady_time aNow) const
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
target_records::Prune(steady_time aNow)
{
  for (auto record = mRecords.begin(); record != mRecords.end();) {
    const bool isOld = aNow - record->second.mUpdated > kForgetAfter;
    record = isOld ? mRecords.erase(record) : std::next(record);
  }
}

} // namespace cowslipline
