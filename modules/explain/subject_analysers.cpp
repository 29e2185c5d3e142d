#include "modules/explain/subject_analysers.h"

namespace cowslipline {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

/// Makes a log line that summarises one second and sorts among the events.
/// aSecond is Unix time in s.
log_line
MakeSecondSummary(std::int64_t aSecond,
                  std::map<std::string, std::string, std::less<>> aFields)
{
  log_line line;
  line.mTimeMs = aSecond * kMsPerSecond;
  line.mInstance = "all instances";
  line.mEvent = "second";
  line.mFields = std::move(aFields);
  return line;
}

} // namespace

void
target_analyser::Add(const log_line& aLine)
{
  if (aLine.mEvent != "request") {
    if (aLine.mEvent != "sent" && aLine.Field("target") == mId) {
      mEvents.push_back(aLine);
    }
    return;
  }
  for (const auto& send : ParseSends(aLine.Field("attempts"))) {
    if (send.mTarget == mId) {
      mSeconds[aLine.mTimeMs / kMsPerSecond].Add(send.mOutcome);
    }
  }
}

diagnosis
target_analyser::Diagnose() const
{
  diagnosis diagnosed;
  frequency_table outcomes;
  for (const auto& [second, sends] : mSeconds) {
    diagnosed.mEvents.push_back(
      MakeSecondSummary(second, { { "sends", sends.Text() } }));
    outcomes.Add("served", sends.CountOf("served"));
    outcomes.Add("not served", sends.Total() - sends.CountOf("served"));
  }
  diagnosed.mEvents.insert(
    diagnosed.mEvents.end(), mEvents.begin(), mEvents.end());
  frequency_table avoided;
  for (const auto& event : mEvents) {
    if (event.mEvent == "target_avoided") {
      avoided.Add(event.Field("outcome"));
    }
  }
  diagnosed.mHeadline = "target " + mId + ": sends " + outcomes.Text();
  diagnosed.mFindings.push_back(
    "Instances avoided the target because of: " + avoided.Text() + '.');
  return diagnosed;
}

void
organisation_analyser::Add(const log_line& aLine)
{
  if (aLine.mEvent != "request") {
    if (aLine.Field("item") == mName) {
      mEvents.push_back(aLine);
    }
    return;
  }
  if (aLine.Field("organisation") != mName) {
    return;
  }
  auto& second = mSeconds[aLine.mTimeMs / kMsPerSecond];
  second.mCauses.Add(aLine.Field("cause"));
  const auto decider = aLine.Field("quota_by");
  second.mQuotaDeciders.Add(decider.empty() ? "nobody" : decider);
}

diagnosis
organisation_analyser::Diagnose() const
{
  diagnosis diagnosed;
  frequency_table causes;
  std::size_t secondsWithSeveralDeciders = 0;
  for (const auto& [unixSecond, counts] : mSeconds) {
    diagnosed.mEvents.push_back(
      MakeSecondSummary(unixSecond,
                        { { "causes", counts.mCauses.Text() },
                          { "decided_by", counts.mQuotaDeciders.Text() } }));
    causes.Add("over_quota", counts.mCauses.CountOf("over_quota"));
    causes.Add("others",
               counts.mCauses.Total() - counts.mCauses.CountOf("over_quota"));
    secondsWithSeveralDeciders +=
      counts.mQuotaDeciders.DistinctNames() > 1 ? 1 : 0;
  }
  diagnosed.mEvents.insert(
    diagnosed.mEvents.end(), mEvents.begin(), mEvents.end());
  diagnosed.mHeadline = "organisation " + mName + ": requests " + causes.Text();
  diagnosed.mFindings.push_back("Seconds with more than one quota decider: " +
                                std::to_string(secondsWithSeveralDeciders) +
                                '.');
  return diagnosed;
}

} // namespace cowslipline
