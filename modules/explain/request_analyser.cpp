#include "modules/explain/request_analyser.h"

#include "modules/explain/cause_description.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// Events that change an instance's own state or its view of its dependencies.
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

/// Events that set a state which lasts until a later event changes it, so that
/// they matter also when they precede the window.
bool
IsLongLivedState(std::string_view aEvent)
{
  static const std::set<std::string_view> events = {
    "started",        "leaving",         "store_lost",
    "store_regained", "target_avoided",  "target_in_use",
    "target_removed", "target_draining", "configuration_in_force",
  };
  return events.count(aEvent) != 0;
}

} // namespace

request_analyser::request_analyser(std::string aId,
                                   std::chrono::milliseconds aWindow)
  : mId(std::move(aId))
  , mWindowMs(aWindow.count())
{
}

void
request_analyser::CollectRequestLine(std::string_view aText)
{
  if (mHasFinalLine || aText.find(mId) == std::string_view::npos) {
    return;
  }
  auto line = ParseLogLine(aText);
  if (!line || line->Field("request") != mId) {
    return;
  }
  if (line->mEvent == "request") {
    mHasFinalLine = true;
    mSends = ParseSends(line->Field("attempts"));
    mRequest = std::move(*line);
  } else if (line->mEvent == "sent") {
    mSends.push_back({ std::string(line->Field("target")), "open", "" });
    mRequest = std::move(*line);
  }
}

bool
request_analyser::IsInWindow(const log_line& aLine) const
{
  const auto begin = mRequest.mTimeMs - mRequest.Number("took_ms") - mWindowMs;
  return aLine.mTimeMs >= begin &&
         aLine.mTimeMs <= mRequest.mTimeMs + mWindowMs;
}

bool
request_analyser::IsAboutTarget(const log_line& aLine) const
{
  const auto target = aLine.Field("target");
  return std::any_of(mSends.begin(), mSends.end(), [&](const auto& aSend) {
    return aSend.mTarget == target;
  });
}

bool
request_analyser::IsAboutQuotaOwner(const log_line& aLine) const
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
request_analyser::IsRelated(const log_line& aLine) const
{
  return (aLine.mInstance == mRequest.mInstance &&
          IsStateEvent(aLine.mEvent)) ||
         IsAboutTarget(aLine) || IsAboutQuotaOwner(aLine);
}

void
request_analyser::CountRequest(const log_line& aLine)
{
  const auto sends = ParseSends(aLine.Field("attempts"));
  for (const auto& send : sends) {
    const bool isToOwnTarget =
      std::any_of(mSends.begin(), mSends.end(), [&](const auto& aOwnSend) {
        return aOwnSend.mTarget == send.mTarget;
      });
    if (isToOwnTarget) {
      mSendsOfTarget[send.mTarget].Add(send.mOutcome);
    }
  }
  if (aLine.mTimeMs > mRequest.mTimeMs) {
    return;
  }
  const auto organisation = mRequest.Field("organisation");
  if (!organisation.empty() && aLine.Field("organisation") == organisation) {
    mOrganisationRequests.Add(
      aLine.Field("cause") == "over_quota" ? "refused" : "admitted");
    const auto decider = aLine.Field("quota_by");
    mQuotaDeciders.Add(decider.empty() ? "nobody" : decider);
  }
  const auto service = mRequest.Field("service");
  if (!service.empty() && aLine.Field("service") == service) {
    mServiceRequests.Add("requests");
    mServiceRequests.Add("repeats", sends.empty() ? 0 : sends.size() - 1);
  }
}

void
request_analyser::AddRelatedLine(const log_line& aLine)
{
  if (aLine.mEvent == "request") {
    if (IsInWindow(aLine)) {
      CountRequest(aLine);
    }
    return;
  }
  if (aLine.mEvent == "sent") {
    return;
  }
  if (!IsRelated(aLine)) {
    return;
  }
  // Without a final line the instance may have stopped: its later state events,
  // such as `started`, show that and when it restarted.
  const bool isAfterLostRequest =
    !mHasFinalLine && aLine.mTimeMs >= mRequest.mTimeMs &&
    aLine.mInstance == mRequest.mInstance && IsStateEvent(aLine.mEvent);
  if (IsInWindow(aLine) || isAfterLostRequest) {
    mEvents.push_back(aLine);
    return;
  }
  if (aLine.mTimeMs < mRequest.mTimeMs && IsLongLivedState(aLine.mEvent)) {
    const auto key = aLine.mInstance + ' ' + std::string(aLine.Field("target"));
    auto& before = mStateBeforeWindow[key];
    if (before.mTimeMs <= aLine.mTimeMs) {
      before = aLine;
    }
  }
}

std::string
request_analyser::Headline() const
{
  const auto at = "request " + mId + " at " + mRequest.mInstance;
  if (!mHasFinalLine) {
    return at + ": sent, but no final log line";
  }
  return at + ": status " + std::string(mRequest.Field("status")) + ", cause " +
         std::string(mRequest.Field("cause")) + ", after " +
         std::string(mRequest.Field("took_ms")) + " ms";
}

std::vector<std::string>
request_analyser::Findings() const
{
  std::vector<std::string> findings;
  if (!mHasFinalLine) {
    findings.emplace_back("The logs of the instance end while the request was "
                          "at its target: look for a later started event.");
    return findings;
  }
  const auto cause = mRequest.Field("cause");
  const auto description = DescribeCause(cause);
  findings.emplace_back(description.mMeaning.empty()
                          ? "The cause has no description."
                          : description.mMeaning);
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
                       span + " before it: " + mOrganisationRequests.Text() +
                       "; decided by " + mQuotaDeciders.Text() + '.');
  }
  if (cause == "retry_budget_spent" || cause == "attempts_used") {
    findings.push_back("Service " + std::string(mRequest.Field("service")) +
                       ' ' + span + " before it: " + mServiceRequests.Text() +
                       '.');
  }
  if (cause == "configuration_stale") {
    findings.push_back(
      "The last proof that the configuration was current was " +
      std::string(mRequest.Field("configuration_age_ms")) + " ms old.");
  }
  if (!description.mAction.empty()) {
    findings.emplace_back(description.mAction);
  }
  return findings;
}

diagnosis
request_analyser::Diagnose() const
{
  diagnosis diagnosed;
  diagnosed.mHeadline = Headline();
  diagnosed.mFindings = Findings();
  for (const auto& [key, line] : mStateBeforeWindow) {
    diagnosed.mEvents.push_back(line);
  }
  diagnosed.mEvents.insert(
    diagnosed.mEvents.end(), mEvents.begin(), mEvents.end());
  diagnosed.mEvents.push_back(mRequest);
  return diagnosed;
}

} // namespace cowslipline
