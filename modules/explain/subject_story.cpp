#include "modules/explain/subject_story.h"

namespace cowslipline {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

/// A line of its own for each second, so that it sorts among the events.
log_line
SecondLine(std::int64_t aSecond,
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
target_story::Add(const log_line& aLine)
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

story
target_story::Tell() const
{
  story told;
  line_tally all;
  for (const auto& [second, sends] : mSeconds) {
    told.mEvents.push_back(SecondLine(second, { { "sends", sends.Text() } }));
    all.Add("served", sends.Of("served"));
    all.Add("not served", sends.Total() - sends.Of("served"));
  }
  told.mEvents.insert(told.mEvents.end(), mEvents.begin(), mEvents.end());
  line_tally avoided;
  for (const auto& event : mEvents) {
    if (event.mEvent == "target_avoided") {
      avoided.Add(event.Field("outcome"));
    }
  }
  told.mHeadline = "target " + mId + ": sends " + all.Text();
  told.mFindings.push_back(
    "Avoided by instances because of: " + avoided.Text() + '.');
  return told;
}

void
organisation_story::Add(const log_line& aLine)
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
  second.mDeciders.Add(decider.empty() ? "nobody" : decider);
}

story
organisation_story::Tell() const
{
  story told;
  line_tally causes;
  std::size_t disputed = 0;
  for (const auto& [time, second] : mSeconds) {
    told.mEvents.push_back(
      SecondLine(time,
                 { { "causes", second.mCauses.Text() },
                   { "decided_by", second.mDeciders.Text() } }));
    causes.Add("over_quota", second.mCauses.Of("over_quota"));
    causes.Add("others",
               second.mCauses.Total() - second.mCauses.Of("over_quota"));
    disputed += second.mDeciders.Names() > 1 ? 1 : 0;
  }
  told.mEvents.insert(told.mEvents.end(), mEvents.begin(), mEvents.end());
  told.mHeadline = "organisation " + mName + ": requests " + causes.Text();
  told.mFindings.push_back(
    "Seconds with more than one decider: " + std::to_string(disputed) + '.');
  return told;
}

} // namespace cowslipline
