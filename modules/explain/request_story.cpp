#include "modules/explain/request_story.h"

#include "modules/explain/cause_text.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// What an instance believes about its dependencies and its own state.
bool
IsStateEvent(std::string_view aEvent)
{
  static const std::set<std::string_view> events = {
    "started",        "start_failed",        "leaving",
    "left",           "store_lost",          "store_regained",
    "store_reached",  "store_read",          "configuration_in_force",
    "registered",     "registration_lapsed", "reader_no_reply",
    "owner_no_reply", "member_left",         "member_joined",
  };
  return events.count(aEvent) != 0;
}

/// Those that still hold long after they happened.
bool
IsLasting(std::string_view aEvent)
{
  static const std::set<std::string_view> events = {
    "started",        "leaving",
    "store_lost",     "store_regained",
    "target_avoided", "target_in_use",
    "target_removed", "configuration_in_force",
  };
  return events.count(aEvent) != 0;
}

} // namespace

request_story::request_story(std::string aId, std::chrono::milliseconds aWindow)
  : mId(std::move(aId))
  , mWindowMs(aWindow.count())
{
}

void
request_story::FindRequest(std::string_view aText)
{
  if (mIsEnded || aText.find(mId) == std::string_view::npos) {
    return;
  }
  auto line = ParseLogLine(aText);
  if (!line || line->Field("request") != mId) {
    return;
  }
  if (line->mEvent == "request") {
    mIsEnded = true;
    mSends = ParseSends(line->Field("attempts"));
    mRequest = std::move(*line);
  } else if (line->mEvent == "sent") {
    mSends.push_back({ std::string(line->Field("target")), "open", "" });
    mRequest = std::move(*line);
  }
}

bool
request_story::IsAround(const log_line& aLine) const
{
  const auto begin = mRequest.mTimeMs - mRequest.Number("took_ms") - mWindowMs;
  return aLine.mTimeMs >= begin &&
         aLine.mTimeMs <= mRequest.mTimeMs + mWindowMs;
}

bool
request_story::IsAboutTarget(const log_line& aLine) const
{
  const auto target = aLine.Field("target");
  return std::any_of(mSends.begin(), mSends.end(), [&](const auto& aSend) {
    return aSend.mTarget == target;
  });
}

bool
request_story::IsAboutOwner(const log_line& aLine) const
{
  const auto owner = mRequest.Field("quota_by");
  if (owner.empty() || owner == mRequest.mInstance) {
    return false;
  }
  return aLine.Field("peer") == owner ||
         (aLine.mInstance == owner && IsStateEvent(aLine.mEvent)) ||
         aLine.Field("item") == mRequest.Field("organisation");
}

bool
request_story::IsBelief(const log_line& aLine) const
{
  return (aLine.mInstance == mRequest.mInstance &&
          IsStateEvent(aLine.mEvent)) ||
         IsAboutTarget(aLine) || IsAboutOwner(aLine);
}

void
request_story::CountRequest(const log_line& aLine)
{
  const auto sends = ParseSends(aLine.Field("attempts"));
  for (const auto& send : sends) {
    const bool isShared =
      std::any_of(mSends.begin(), mSends.end(), [&](const auto& aOwn) {
        return aOwn.mTarget == send.mTarget;
      });
    if (isShared) {
      mSendsOfTarget[send.mTarget].Add(send.mOutcome);
    }
  }
  if (aLine.mTimeMs > mRequest.mTimeMs) {
    return;
  }
  const auto organisation = mRequest.Field("organisation");
  if (!organisation.empty() && aLine.Field("organisation") == organisation) {
    mOrganisation.Add(aLine.Field("cause") == "over_quota" ? "refused"
                                                           : "admitted");
    const auto decider = aLine.Field("quota_by");
    mDeciders.Add(decider.empty() ? "nobody" : decider);
  }
  const auto service = mRequest.Field("service");
  if (!service.empty() && aLine.Field("service") == service) {
    mService.Add("requests");
    mService.Add("repeats", sends.empty() ? 0 : sends.size() - 1);
  }
}

void
request_story::AddCircumstance(const log_line& aLine)
{
  if (aLine.mEvent == "request") {
    if (IsAround(aLine)) {
      CountRequest(aLine);
    }
    return;
  }
  if (aLine.mEvent == "sent") {
    return;
  }
  if (!IsBelief(aLine)) {
    return;
  }
  const bool isAfterwards = !mIsEnded && aLine.mTimeMs >= mRequest.mTimeMs &&
                            aLine.mInstance == mRequest.mInstance &&
                            IsStateEvent(aLine.mEvent);
  if (IsAround(aLine) || isAfterwards) {
    mEvents.push_back(aLine);
    return;
  }
  if (aLine.mTimeMs < mRequest.mTimeMs && IsLasting(aLine.mEvent)) {
    const auto key = aLine.mInstance + ' ' + std::string(aLine.Field("target"));
    auto& before = mBefore[key];
    if (before.mTimeMs <= aLine.mTimeMs) {
      before = aLine;
    }
  }
}

std::string
request_story::Headline() const
{
  const auto at = "request " + mId + " at " + mRequest.mInstance;
  if (!mIsEnded) {
    return at + ": sent, and no end";
  }
  return at + ": status " + std::string(mRequest.Field("status")) + ", cause " +
         std::string(mRequest.Field("cause")) + ", after " +
         std::string(mRequest.Field("took_ms")) + " ms";
}

std::vector<std::string>
request_story::Findings() const
{
  std::vector<std::string> findings;
  if (!mIsEnded) {
    findings.emplace_back("It was on its way to its target when the logs of "
                          "the instance end: look for a later line started.");
    return findings;
  }
  const auto cause = mRequest.Field("cause");
  const auto text = DescribeCause(cause);
  findings.emplace_back(text.mMeaning.empty() ? "The cause is unknown."
                                              : text.mMeaning);
  const auto span = "within " + std::to_string(mWindowMs) + " ms";
  for (const auto& [target, sends] : mSendsOfTarget) {
    std::string finding = "Sends to ";
    finding.append(target).append(" ").append(span).append(": ");
    finding.append(sends.Text()).append(".");
    findings.push_back(std::move(finding));
  }
  if (cause == "over_quota") {
    findings.push_back("Requests of " +
                       std::string(mRequest.Field("organisation")) + ' ' +
                       span + " before it: " + mOrganisation.Text() +
                       "; decided by " + mDeciders.Text() + '.');
  }
  if (cause == "retry_budget_spent" || cause == "attempts_used") {
    findings.push_back("Service " + std::string(mRequest.Field("service")) +
                       ' ' + span + " before it: " + mService.Text() + '.');
  }
  if (cause == "configuration_stale") {
    findings.push_back("Its last proof was " +
                       std::string(mRequest.Field("configuration_age_ms")) +
                       " ms old.");
  }
  if (!text.mAction.empty()) {
    findings.emplace_back(text.mAction);
  }
  return findings;
}

story
request_story::Tell() const
{
  story told;
  told.mHeadline = Headline();
  told.mFindings = Findings();
  for (const auto& [key, line] : mBefore) {
    told.mEvents.push_back(line);
  }
  told.mEvents.insert(told.mEvents.end(), mEvents.begin(), mEvents.end());
  told.mEvents.push_back(mRequest);
  return told;
}

} // namespace cowslipline
