#include "modules/placement/target_rate_limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Answers without a limit that end it. One alone may come from a target that
// names its limit in some answers only.
constexpr int kAnswersToLift = 2;

// A changed rate is told to the other instances if it differs by more than this
// fraction, and not more often than the interval: a target may name another
// rate in each answer.
constexpr double kToldDifference = 0.1;
constexpr duration kTellInterval = 500ms;

// A refused instance asks again after this time at the latest, because other
// instances may have no requests for the permits.
constexpr duration kMaxBlock = 500ms;

constexpr duration kRecordLifetime = 60s;

// Requests/s. No target serves more; a larger value is no limit.
constexpr double kMaxRate = 1e6;

} // namespace

limit_signal
ReadLimitSignal(const std::vector<std::string_view>& aValues)
{
  limit_signal signal;
  signal.mIsClear = aValues.empty();
  for (const auto value : aValues) {
    double rate = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, rate);
    const bool isRate = parsed.ec == std::errc() && parsed.ptr == end &&
                        std::isfinite(rate) && !std::signbit(rate);
    if (isRate) {
      signal.mRate = std::min({ rate, kMaxRate, signal.mRate.value_or(rate) });
    }
  }
  return signal;
}

limit_change
target_rate_limits::OnAnswer(const target_run& aTarget,
                             std::optional<double> aRate,
                             steady_time aSentAt,
                             steady_time aNow)
{
  return aRate ? OnNamed(aTarget, *aRate, aNow, aNow)
               : OnCleared(aTarget, aSentAt);
}

limit_change
target_rate_limits::OnReport(const target_limit_state& aReport,
                             steady_time aNow)
{
  const target_run target{ aReport.mTarget, aReport.mStartedAtMs };
  const auto at = aNow - aReport.mAge;
  return aReport.mRate ? OnNamed(target, *aReport.mRate, at, aNow)
                       : OnCleared(target, at);
}

limit_change
target_rate_limits::OnNamed(const target_run& aTarget,
                            double aRate,
                            steady_time aNamedAt,
                            steady_time aNow)
{
  const auto inserted =
    mRecords.try_emplace({ std::string(aTarget.mId), aTarget.mStartedAtMs });
  auto& known = inserted.first->second;
  if (inserted.second) {
    known = { aRate, aNamedAt, aNow, aNow, 0 };
    return limit_change::Limited;
  }
  if (aNamedAt < known.mNamedAt) {
    return limit_change::None;
  }
  const bool isChanged =
    std::abs(aRate - known.mRate) > kToldDifference * known.mRate;
  const bool isTold = known.mClearAnswers > 0 ||
                      (isChanged && aNow - known.mToldAt >= kTellInterval);
  known.mRate = aRate;
  known.mNamedAt = aNamedAt;
  known.mHeardAt = aNow;
  known.mClearAnswers = 0;
  if (!isTold) {
    return limit_change::None;
  }
  known.mToldAt = aNow;
  return limit_change::Limited;
}

limit_change
target_rate_limits::OnCleared(const target_run& aTarget, steady_time aSentAt)
{
  const bool hasEarlierEnded = RemoveOtherRuns(aTarget, aSentAt);
  auto* known = Find(aTarget);
  if (known == nullptr) {
    return hasEarlierEnded ? limit_change::Lifted : limit_change::None;
  }
  if (aSentAt <= known->mNamedAt) {
    return limit_change::None;
  }
  if (++known->mClearAnswers < kAnswersToLift) {
    return limit_change::Cleared;
  }
  mRecords.erase(mRecords.find(aTarget));
  const auto refusals = mRefusals.find(aTarget);
  if (refusals != mRefusals.end()) {
    mRefusals.erase(refusals);
  }
  return limit_change::Lifted;
}

bool
target_rate_limits::RemoveOtherRuns(const target_run& aTarget,
                                    steady_time aSentAt)
{
  constexpr auto kEarliestStart = std::numeric_limits<std::int64_t>::min();
  bool isAnyRemoved = false;
  auto entry = mRecords.lower_bound(target_run{ aTarget.mId, kEarliestStart });
  while (entry != mRecords.end() && entry->first.mId == aTarget.mId) {
    const bool isOver = entry->first.mStartedAtMs != aTarget.mStartedAtMs &&
                        entry->second.mNamedAt < aSentAt;
    isAnyRemoved = isAnyRemoved || isOver;
    entry = isOver ? mRecords.erase(entry) : std::next(entry);
  }
  return isAnyRemoved;
}

target_rate_limits::record*
target_rate_limits::Find(const target_run& aTarget)
{
  const auto found = mRecords.find(aTarget);
  return found == mRecords.end() ? nullptr : &found->second;
}

const target_rate_limits::record*
target_rate_limits::Find(const target_run& aTarget) const
{
  const auto found = mRecords.find(aTarget);
  return found == mRecords.end() ? nullptr : &found->second;
}

std::optional<double>
target_rate_limits::RateOf(const target_run& aTarget) const
{
  const auto* known = Find(aTarget);
  return known == nullptr ? std::nullopt : std::optional<double>(known->mRate);
}

void
target_rate_limits::OnOwnerReply(const target_run& aTarget, steady_time aNow)
{
  if (auto* known = Find(aTarget)) {
    known->mHeardAt = aNow;
  }
}

void
target_rate_limits::OnRefused(const target_run& aTarget,
                              int aPriority,
                              duration aRetryAfter,
                              steady_time aNow)
{
  auto known = mRefusals.find(aTarget);
  if (known == mRefusals.end()) {
    const run_key key{ std::string(aTarget.mId), aTarget.mStartedAtMs };
    known = mRefusals.try_emplace(key).first;
  }
  known->second[aPriority] = { aNow + std::min(aRetryAfter, kMaxBlock),
                               aNow + aRetryAfter };
}

bool
target_rate_limits::IsBlocked(const target_run& aTarget,
                              int aPriority,
                              steady_time aNow) const
{
  const auto known = mRefusals.find(aTarget);
  return known != mRefusals.end() &&
         std::any_of(known->second.begin(),
                     known->second.upper_bound(aPriority),
                     [&](const auto& aEntry) {
                       return aNow < aEntry.second.mBlockedUntil;
                     });
}

duration
target_rate_limits::TimeToPermit(const target_run& aTarget,
                                 int aPriority,
                                 steady_time aNow) const
{
  duration longest{ 0 };
  const auto known = mRefusals.find(aTarget);
  if (known != mRefusals.end()) {
    const auto end = known->second.upper_bound(aPriority);
    for (auto entry = known->second.begin(); entry != end; ++entry) {
      longest =
        std::max(longest, duration(entry->second.mPermitExpectedAt - aNow));
    }
  }
  return longest;
}

std::vector<target_limit_state>
target_rate_limits::States(steady_time aNow) const
{
  std::vector<target_limit_state> states;
  states.reserve(mRecords.size());
  for (const auto& [run, known] : mRecords) {
    states.push_back(
      { run.mId, run.mStartedAtMs, known.mRate, aNow - known.mNamedAt });
  }
  return states;
}

void
target_rate_limits::Prune(steady_time aNow)
{
  for (auto entry = mRecords.begin(); entry != mRecords.end();) {
    const bool isOld = aNow - entry->second.mHeardAt > kRecordLifetime;
    entry = isOld ? mRecords.erase(entry) : std::next(entry);
  }
  for (auto entry = mRefusals.begin(); entry != mRefusals.end();) {
    const bool isOver = std::all_of(
      entry->second.begin(), entry->second.end(), [&](const auto& aRefusal) {
        return aNow >= aRefusal.second.mPermitExpectedAt;
      });
    entry = isOver ? mRefusals.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
