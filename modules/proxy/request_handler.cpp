#include "modules/proxy/request_handler.h"

#include "core/hash.h"
#include "core/log.h"
#include "modules/proxy/end_to_end_headers.h"
#include "modules/proxy/target_selection.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A caller without a deadline of its own.
constexpr duration kDefaultDeadline = 30s;

// A request with less time left cannot be answered in time any more.
constexpr duration kLeastTime = 5ms;

// Shortest return time of callers whose request was not placed at a target.
constexpr duration kShortestReturn = 250ms;

// Return time of callers refused for another cause that passes by itself.
constexpr duration kUsualReturn = 500ms;

// A repeatable request is sent to a second target when this part of its
// latency objective has passed without an answer.
constexpr double kHedgePart = 0.75;

// Requests that no target accepted are tried at this many targets at most.
constexpr std::size_t kMostTried = 4;

// A target that fails at once looks idle, and the least loaded target gets the
// next request. Its slot stays lent for about the time of a request.
constexpr duration kFailedSlotHold = 300ms;

// The stack of a task that carries one exchange.
constexpr std::size_t kExchangeStackBytes = 64UL * 1024;

std::string
Milliseconds(duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

/// The target has said in an answer that it drains.
void
OnTargetDraining(proxy_services& aServices, const target_entry& aTarget)
{
  const auto now = aServices.mScheduler.Now();
  if (!aServices.mView.mTargets.MarkDraining(aTarget, now)) {
    return;
  }
  aServices.mMetrics.Counter("cowslipline_targets_draining_total").Add();
  Log(log_level::Info,
      "target_draining",
      { { "target", aTarget.mId }, { "service", aTarget.mService } });
}

} // namespace

request_handler::request_handler(proxy_services& aServices,
                                 http_request aRequest,
                                 steady_time aReceivedAt)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mReceivedAt(aReceivedAt)
{
  const auto& headers = mRequest.mHead.mHeaders;
  mRequestId =
    std::string(headers.Find(mServices.mNames.mRequestId).value_or(""));
  std::int64_t deadlineMs = 0;
  const auto text =
    headers.Find(mServices.mNames.mDeadlineMs).value_or(std::string_view());
  std::from_chars(text.data(), text.data() + text.size(), deadlineMs);
  mDeadline = mReceivedAt + (deadlineMs > 0
                               ? duration(std::chrono::milliseconds(deadlineMs))
                               : kDefaultDeadline);
  ++mServices.mRequestsInFlight;
}

request_handler::~request_handler()
{
  --mServices.mRequestsInFlight;
}

std::optional<proxy_answer>
request_handler::Handle(yield_context aYield)
{
  auto answer = Authorise(aYield);
  if (!answer) {
    answer = Exchange(aYield);
  }
  LogRequest(answer);
  return answer;
}

void
request_handler::OnCallerGone()
{
  mIsCallerGone = true;
  // One that must not be repeated finishes: breaking it off would leave the
  // caller with a side effect of which nobody knows the outcome.
  if (mRoute != nullptr && mRoute->mRepeat == repeat_rule::Idempotent) {
    for (const auto& open : mProgress->mAttempts) {
      if (!open->mResult) {
        open->mExchange->Cancel();
      }
    }
  }
  mProgress->mChanged.Set();
}

void
request_handler::OnInstanceEnding()
{
  mProgress->mChanged.Set();
}

proxy_answer
request_handler::Refuse(int aStatus,
                        refusal_cause aCause,
                        duration aRetryAfter) const
{
  proxy_answer answer;
  answer.mStatus = aStatus;
  answer.mCause = aCause;
  if (!mRequestId.empty()) {
    answer.mHeaders.Add(mServices.mNames.mRequestId, mRequestId);
  }
  answer.mHeaders.Add("Content-Type", "text/plain");
  if (aRetryAfter > duration(0)) {
    char text[32];
    std::snprintf(text,
                  sizeof(text),
                  "%.3f",
                  std::chrono::duration<double>(aRetryAfter).count());
    answer.mHeaders.Add("Retry-After", text);
  }
  answer.mBody = std::string(CauseName(aCause)) + '\n';
  return answer;
}

std::optional<proxy_answer>
request_handler::Authorise(yield_context aYield)
{
  const auto now = mServices.mScheduler.Now();
  if (mServices.mPhase == lifecycle_phase::Refusing ||
      mServices.mPhase == lifecycle_phase::Ending) {
    return Refuse(503, refusal_cause::Leaving, kShortestReturn);
  }
  mRoutes = mServices.mView.mRoutes;
  if (!mRoutes || !mServices.mView.mIsComplete) {
    return Refuse(503, refusal_cause::NoConfiguration, kUsualReturn);
  }
  const bool isFresh = mServices.mView.mFreshness.IsFresh(now);
  const auto& headers = mRequest.mHead.mHeaders;
  mRoute = mRoutes->FindRoute(headers.Find("Host").value_or(""),
                              mRequest.mHead.Path());
  if (mRoute == nullptr) {
    // A newer configuration that this instance cannot read may have it.
    return isFresh
             ? Refuse(404, refusal_cause::NoRoute)
             : Refuse(503, refusal_cause::ConfigurationStale, kUsualReturn);
  }
  if (mRoute->mTimeout > duration(0)) {
    mDeadline = std::min(mDeadline, mReceivedAt + mRoute->mTimeout);
  }
  if (mRequestId.empty()) {
    return Refuse(400, refusal_cause::Malformed);
  }
  const auto keys = headers.Count(mServices.mNames.mKey);
  const auto* organisation =
    keys == 1 ? mRoutes->FindOrganisation(*headers.Find(mServices.mNames.mKey))
              : nullptr;
  switch (DecideAccess({ mRoute->mIsPublic,
                         mRoutes->Configuration().mNeedsKeys,
                         isFresh,
                         keys,
                         organisation != nullptr })) {
    case route_access::Anonymous:
      return std::nullopt;
    case route_access::Identified:
      mOrganisation = organisation;
      return std::nullopt;
    case route_access::Limited:
      mOrganisation = organisation;
      return CheckQuota(aYield);
    case route_access::KeyMissing:
      return Refuse(401, refusal_cause::KeyMissing);
    case route_access::KeyUnknown:
      return Refuse(401, refusal_cause::KeyUnknown);
    case route_access::ConfigurationStale:
      break;
  }
  return Refuse(503, refusal_cause::ConfigurationStale, kUsualReturn);
}

std::optional<proxy_answer>
request_handler::CheckQuota(yield_context aYield)
{
  const auto admission =
    mServices.mOwners.Admit(mOrganisation->mName,
                            { mRoutes->Configuration().mVersion,
                              { mOrganisation->mRate, mOrganisation->mBurst } },
                            aYield);
  mQuotaSource = QuotaSourceName(admission.mSource);
  mQuotaDecidedBy = admission.mDecidedBy;
  mQuotaVersion = admission.mVersion;
  if (!admission.mDecision.mIsAdmitted) {
    return Refuse(
      429,
      refusal_cause::OverQuota,
      std::max<duration>(admission.mDecision.mRetryAfter, kShortestReturn));
  }
  return std::nullopt;
}

std::optional<proxy_answer>
request_handler::Exchange(yield_context aYield)
{
  if (mRoute->mShares.size() == 1) {
    mService = mRoute->mShares.front().mService;
  } else {
    const auto placed =
      mServices.mShares.try_emplace(mRoute->mName, mServices.mRandom.Unit());
    mService = placed.first->second.Pick(mRoute->mShares);
  }
  const std::string organisation =
    mOrganisation == nullptr ? std::string() : mOrganisation->mName;
  mFingerprint = FingerprintOf(organisation);
  if (mServices.mCrashes.IsBlocked(mFingerprint, mServices.mScheduler.Now())) {
    return Refuse(502, refusal_cause::CrashesTargets);
  }
  const auto& head = mRequest.mHead;
  mTargetRequest = std::make_shared<outgoing_request>();
  mTargetRequest->mMethod = head.mMethod;
  mTargetRequest->mTarget = head.mTarget;
  mTargetRequest->mHeaders = HeadersForTarget(head.mHeaders, mServices.mNames);
  if (!organisation.empty()) {
    mTargetRequest->mHeaders.Add(mServices.mNames.mOrganisation, organisation);
  }
  mTargetRequest->mHasLength =
    head.mFraming.mIsChunked || head.mFraming.mLength.has_value();
  mTargetRequest->mBody = std::move(mRequest.mBody);
  mTargetRequest->mRequestId = mRequestId;
  mServices.mOwners.OnRequest(mService);

  auto cause = StartAttempt(aYield, retry_use::Repeat);
  if (cause != refusal_cause::None) {
    return GiveUp(cause);
  }
  auto secondSend = mRoute->mLatencyObjective > duration(0)
                      ? std::optional<retry_use>(retry_use::Hedge)
                      : std::nullopt;
  while (true) {
    const auto due = MayRepeat() ? secondSend : std::nullopt;
    const auto wake = NextWake(due);
    const auto wait = wake - mServices.mScheduler.Now();
    if (wait > duration(0)) {
      mProgress->mChanged.Wait(mServices.mScheduler, wait, aYield);
    }
    if (mIsCallerGone) {
      return std::nullopt;
    }
    for (std::size_t i = 0; i < mProgress->mAttempts.size(); ++i) {
      const auto finished = mProgress->mAttempts[i];
      if (finished->mResult && !finished->mIsJudged) {
        finished->mIsJudged = true;
        if (auto answer = Judge(*finished)) {
          return answer;
        }
      }
    }
    const auto now = mServices.mScheduler.Now();
    if (now + kLeastTime >= mDeadline) {
      return GiveUp(refusal_cause::DeadlinePassed);
    }
    if (mServices.mPhase == lifecycle_phase::Ending) {
      return GiveUp(refusal_cause::Leaving);
    }
    MarkOverdue();
    if (!HasOpenAttempt()) {
      if (mMayHaveRun && mRoute->mRepeat != repeat_rule::Idempotent) {
        return GiveUp(refusal_cause::OutcomeUnknown);
      }
      cause = StartAttempt(aYield, retry_use::Repeat);
      if (cause != refusal_cause::None) {
        return GiveUp(cause);
      }
      continue;
    }
    if (due && now >= SecondSendAt(*due)) {
      secondSend.reset();
      // Without a second target the first one is waited for.
      cause = StartAttempt(aYield, *due);
      if (cause == refusal_cause::RetryBudgetSpent &&
          *due == retry_use::Hedge) {
        secondSend = retry_use::Rescue;
      }
    }
  }
}

request_fingerprint
request_handler::FingerprintOf(const std::string& aOrganisation) const
{
  // Without the service: one that crashes the targets of a part of the route's
  // split crashes those of the others.
  const auto& head = mRequest.mHead;
  return Hash64(mRequest.mBody,
                Hash64(mRoute->mHost + '\n' + aOrganisation + '\n' +
                       head.mMethod + '\n' + head.mTarget));
}

int
request_handler::Priority() const
{
  return mOrganisation != nullptr && mOrganisation->mPriority
           ? *mOrganisation->mPriority
           : mRoute->mPriority;
}

bool
request_handler::MayRepeat() const
{
  return mRoute->mRepeat == repeat_rule::Idempotent &&
         mArrivals < mRoute->mAttempts;
}

bool
request_handler::IsTooLateToSend() const
{
  const auto left = mServices.mGivesUpAt - mServices.mScheduler.Now();
  return mServices.mPhase == lifecycle_phase::Ending ||
         (mServices.mPhase == lifecycle_phase::Refusing &&
          mRoute->mRepeat == repeat_rule::AtMostOnce &&
          left < mRoute->mLatencyObjective);
}

bool
request_handler::HasOpenAttempt() const
{
  return std::any_of(mProgress->mAttempts.begin(),
                     mProgress->mAttempts.end(),
                     [](const auto& aAttempt) { return !aAttempt->mResult; });
}

steady_time
request_handler::SecondSendAt(retry_use aUse) const
{
  const auto hedge = mReceivedAt + std::chrono::duration_cast<duration>(
                                     mRoute->mLatencyObjective * kHedgePart);
  if (aUse == retry_use::Hedge) {
    return hedge;
  }
  // The second target needs part of what is left up to the deadline.
  return std::min(mReceivedAt + mRoute->mLatencyObjective,
                  hedge + (mDeadline - hedge) / 2);
}

steady_time
request_handler::NextWake(std::optional<retry_use> aSecondSend) const
{
  auto wake = mDeadline - kLeastTime;
  if (mRoute->mLatencyObjective <= duration(0)) {
    return wake;
  }
  if (aSecondSend) {
    wake = std::min(wake, SecondSendAt(*aSecondSend));
  }
  for (const auto& open : mProgress->mAttempts) {
    if (!open->mResult && !open->mIsOverdue) {
      wake = std::min(wake, open->mStartedAt + mRoute->mLatencyObjective);
    }
  }
  return wake;
}

void
request_handler::MarkOverdue()
{
  if (mRoute->mLatencyObjective <= duration(0)) {
    return;
  }
  for (const auto& open : mProgress->mAttempts) {
    const bool isOverdue = !open->mResult && !open->mIsOverdue &&
                           mServices.mScheduler.Now() - open->mStartedAt >=
                             mRoute->mLatencyObjective;
    if (isOverdue) {
      // Told before the deadline: other requests would wait at the same
      // silent target meanwhile.
      open->mIsOverdue = true;
      mServices.mReports.OnOutcome(
        open->mTarget, exchange_outcome::TimedOut, open->mStartedAt);
    }
  }
}

refusal_cause
request_handler::StartAttempt(yield_context aYield, retry_use aUse)
{
  if (mArrivals >= mRoute->mAttempts || mTried.size() >= kMostTried) {
    return refusal_cause::AttemptsUsed;
  }
  // The first arrival of a request is free; every further one counts. What
  // waits for a reply comes first: the rest is decided when the request is
  // sent.
  if (mArrivals > 0 && !mServices.mOwners.TakeRetry(mService, aUse, aYield)) {
    return refusal_cause::RetryBudgetSpent;
  }
  send_request send;
  send.mService = mService;
  send.mPlacement = { mRoute->mRepeat == repeat_rule::Idempotent, mTried };
  send.mPriority = Priority();
  send.mIsHedge = aUse != retry_use::Repeat;
  send.mTimeLeft = mDeadline - mServices.mScheduler.Now();
  auto selection = SelectTarget(mServices, send, aYield);
  if (mIsCallerGone) {
    return refusal_cause::CallerGone;
  }
  if (IsTooLateToSend()) {
    return refusal_cause::Leaving;
  }
  const auto now = mServices.mScheduler.Now();
  if (mOrganisation != nullptr && !mServices.mView.mFreshness.IsFresh(now)) {
    return refusal_cause::ConfigurationStale;
  }
  if (mServices.mCrashes.IsBlocked(mFingerprint, now)) {
    return refusal_cause::CrashesTargets;
  }
  if (!selection.mTarget) {
    mTimeToPermit = selection.mTimeToPermit;
    return selection.mCause;
  }
  const auto& target = *selection.mTarget;
  const auto started = std::make_shared<attempt>();
  started->mTarget = target.mId;
  started->mStartedAt = now;
  started->mSlot = std::move(selection.mSlot);
  started->mExchange = std::make_shared<target_exchange>(mServices.mContext,
                                                         mServices.mPool,
                                                         mServices.mBuffers,
                                                         mServices.mNames,
                                                         mTargetRequest,
                                                         target);
  mTried.push_back(target.mId);
  ++mArrivals;
  mProgress->mAttempts.push_back(started);
  const bool isLent = started->mSlot.IsLent();
  mServices.mChooser.BeginRequest(target.mId, isLent);
  mServices.mView.mEvacuations.OnSent(target.mAvailabilityZone);
  ++mServices.mRequestsInFlight;
  // The end of a request is not logged when the instance dies before it.
  Log(log_level::Info,
      "sent",
      { { "request", mRequestId },
        { "target", target.mId },
        { "service", mService },
        { "slot", isLent ? "lent" : "" },
        { "sends", std::to_string(mTried.size()) },
        { "left_ms", Milliseconds(mDeadline - now) } });
  asio::spawn(
    mServices.mContext,
    [&services = mServices,
     started,
     isLent,
     progress = mProgress,
     target,
     fingerprint = mFingerprint,
     deadline = mDeadline](yield_context aYield) {
      auto finished = started->mExchange->Run(deadline, aYield);
      services.mChooser.EndRequest(started->mTarget, isLent);
      if (services.mView.mEvacuations.OnFinished(target.mAvailabilityZone)) {
        Log(log_level::Info,
            "evacuated_zone_empty",
            { { "zone", target.mAvailabilityZone } });
      }
      --services.mRequestsInFlight;
      if (finished.mIsNewConnection) {
        services.mMetrics.Counter("cowslipline_upstream_connections_total")
          .Add();
      }
      const bool isKnownOverdue =
        started->mIsOverdue && finished.mOutcome == exchange_outcome::TimedOut;
      if (!isKnownOverdue) {
        services.mReports.OnOutcome(started->mTarget,
                                    finished.mIsTargetDown
                                      ? exchange_outcome::Unreachable
                                      : finished.mOutcome,
                                    started->mStartedAt);
      }
      if (finished.mIsTargetDown) {
        services.mReports.OnCrash(
          fingerprint, started->mTarget, started->mStartedAt);
      } else if (finished.mOutcome == exchange_outcome::Served) {
        services.mReports.OnServed(fingerprint);
      }
      services.mReports.OnLimitSignal({ target.mId, target.mStartedAtMs },
                                      finished.mLimit,
                                      started->mStartedAt);
      // Before the answer is passed on: the caller's next request comes after.
      if (finished.mIsTargetDraining) {
        OnTargetDraining(services, target);
      }
      const auto outcome = finished.mOutcome;
      started->mResult = std::move(finished);
      progress->mChanged.Set();
      const bool hasFailed = outcome == exchange_outcome::Failed ||
                             outcome == exchange_outcome::Broken ||
                             outcome == exchange_outcome::Unreachable;
      if (hasFailed && isLent) {
        services.mScheduler.SleepFor(kFailedSlotHold, aYield);
      }
      started->mSlot.Return();
    },
    boost::coroutines::attributes(kExchangeStackBytes));
  return refusal_cause::None;
}

std::optional<proxy_answer>
request_handler::Judge(attempt& aAttempt)
{
  auto& finished = *aAttempt.mResult;
  mMayHaveRun = mMayHaveRun || finished.mMayHaveRun;
  switch (finished.mOutcome) {
    case exchange_outcome::Served:
      return FromTarget(std::move(*finished.mResponse));
    case exchange_outcome::Failed:
      if (!MayRepeat()) {
        return FromTarget(std::move(*finished.mResponse));
      }
      mTargetFailure = std::move(finished.mResponse);
      return std::nullopt;
    case exchange_outcome::Unreachable:
      // It has not arrived anywhere.
      --mArrivals;
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

proxy_answer
request_handler::GiveUp(refusal_cause aCause)
{
  if (mTargetFailure) {
    return FromTarget(std::move(*mTargetFailure));
  }
  // An attempt that is still open may run.
  const bool mayRun =
    mMayHaveRun ||
    std::any_of(mProgress->mAttempts.begin(),
                mProgress->mAttempts.end(),
                [](const auto& aAttempt) {
                  return !aAttempt->mResult && aAttempt->mExchange->IsSent();
                });
  for (const auto& open : mProgress->mAttempts) {
    if (!open->mResult && !open->mExchange->IsSent()) {
      open->mExchange->Cancel();
    }
  }
  if (mayRun) {
    return aCause == refusal_cause::DeadlinePassed
             ? Refuse(504, aCause)
             : Refuse(502,
                      aCause == refusal_cause::None
                        ? refusal_cause::OutcomeUnknown
                        : aCause);
  }
  if (aCause == refusal_cause::CrashesTargets) {
    return Refuse(502, aCause);
  }
  const auto spread =
    ReturnTime(mRoute->mLatencyObjective, mServices.mRandom.Unit());
  // The owner has spread the callers that it refused; those that this instance
  // refused without asking come in between.
  return Refuse(503,
                aCause,
                aCause == refusal_cause::TargetsLimited
                  ? std::max(spread, mTimeToPermit)
                  : spread);
}

proxy_answer
request_handler::FromTarget(http_response aResponse) const
{
  proxy_answer answer;
  answer.mStatus = aResponse.mHead.mStatus;
  answer.mHeaders = EndToEndHeaders(aResponse.mHead.mHeaders);
  answer.mBody = std::move(aResponse.mBody);
  answer.mLease = std::move(aResponse.mLease);
  return answer;
}

void
request_handler::LogRequest(const std::optional<proxy_answer>& aAnswer) const
{
  const auto now = mServices.mScheduler.Now();
  const auto cause = aAnswer ? aAnswer->mCause : refusal_cause::CallerGone;
  // A caller that leaves is no fault of the fleet.
  const bool isRefusal =
    cause != refusal_cause::None && cause != refusal_cause::CallerGone;
  std::string attempts;
  for (const auto& sent : mProgress->mAttempts) {
    attempts += attempts.empty() ? "" : " ";
    attempts += sent->mTarget + '=';
    attempts += sent->mResult ? OutcomeName(sent->mResult->mOutcome) : "open";
    if (sent->mResult && !sent->mResult->mReason.empty()) {
      attempts += '(' + sent->mResult->mReason + ')';
    }
  }
  const auto status =
    aAnswer ? std::to_string(aAnswer->mStatus) : "caller_left";
  mServices.mMetrics
    .Counter("cowslipline_requests_total{status=\"" + status + "\",cause=\"" +
             CauseName(cause) + "\"}")
    .Add();
  mServices.mMetrics.ObserveSeconds(
    "cowslipline_request_seconds",
    std::chrono::duration<double>(now - mReceivedAt).count());
  Log(
    isRefusal ? log_level::Warn : log_level::Info,
    "request",
    { { "request", mRequestId },
      { "status", status },
      { "cause", CauseName(cause) },
      { "route", mRoute == nullptr ? "" : mRoute->mName },
      { "organisation", mOrganisation == nullptr ? "" : mOrganisation->mName },
      { "service", mService },
      { "attempts", attempts },
      { "quota", mQuotaSource },
      { "quota_by", mQuotaDecidedBy },
      { "quota_version", std::to_string(mQuotaVersion) },
      { "took_ms", Milliseconds(now - mReceivedAt) },
      { "left_ms", Milliseconds(mDeadline - now) },
      { "version",
        mRoutes ? std::to_string(mRoutes->Configuration().mVersion) : "0" },
      { "configuration_age_ms",
        Milliseconds(std::min<duration>(mServices.mView.mFreshness.Age(now),
                                        std::chrono::hours(24))) } });
}

} // namespace cowslipline
