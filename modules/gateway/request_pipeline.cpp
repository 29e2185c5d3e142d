#include "modules/gateway/request_pipeline.h"

#include "core/log.h"
#include "modules/gateway/answer_checks.h"
#include "modules/gateway/header_hygiene.h"
#include "modules/gateway/request_id.h"

#include <algorithm>
#include <array>
#include <exception>

namespace cowslipline {

namespace {

/// Longest wait for a token of the organisation's rate.
constexpr duration kRateWait = std::chrono::milliseconds(50);
/// An attempt that has less time left is not started.
constexpr duration kShortestAttempt = std::chrono::milliseconds(2);
constexpr std::uint32_t kMostAttempts = 3;
/// Bounds the check of the quarantine, which fails open.
constexpr duration kQuarantineWait = std::chrono::milliseconds(20);
/// Slow answers within this multiple of the median are waited for even when
/// half of the deadline has passed.
constexpr int kPatienceFactor = 10;
/// The connection limit of a target is divided by the size of the fleet.
constexpr std::uint32_t kFleetSize = 40;
/// Largest body that is kept with an outcome.
constexpr std::size_t kKeptBodyBytes = 2048;
constexpr std::size_t kLongestIdempotencyKey = 128;

constexpr std::string_view kFingerprintSecret = "cowslipline request";

bool
IsIdempotencyKeyWellFormed(std::string_view aKey)
{
  return !aKey.empty() && aKey.size() <= kLongestIdempotencyKey &&
         std::all_of(aKey.begin(), aKey.end(), [](char aCharacter) {
           return aCharacter > 0x20 && aCharacter < 0x7f;
         });
}

std::optional<refusal>
RefusalOf(read_error aError)
{
  switch (aError) {
    case read_error::BodyTooLarge:
      return refusal(refusal_reason::RequestTooLarge);
    case read_error::OverBudget:
      return refusal(refusal_reason::Overloaded);
    default:
      return refusal(refusal_reason::RequestMalformed);
  }
}

struct key_visitor
{
  request_context& mContext;

  std::optional<refusal> operator()(const key_accepted& aKey) const
  {
    mContext.mOrganisation =
      mContext.mSnapshot->mOrganisations.at(aKey.mOrganisation).mName;
    mContext.mKeyId = aKey.mKeyId;
    return std::nullopt;
  }
  std::optional<refusal> operator()(const key_absent&) const
  {
    return refusal(refusal_reason::KeyMissing);
  }
  std::optional<refusal> operator()(const key_unreadable&) const
  {
    return refusal(refusal_reason::KeyMalformed);
  }
  std::optional<refusal> operator()(const key_not_known&) const
  {
    return refusal(refusal_reason::KeyUnknown);
  }
  std::optional<refusal> operator()(const key_revoked&) const
  {
    return refusal(refusal_reason::KeyWithdrawn);
  }
};

struct claim_visitor
{
  request_context& mContext;

  std::optional<refusal> operator()(claim_granted& aClaim) const
  {
    mContext.mTicket = std::move(aClaim.mTicket);
    return std::nullopt;
  }
  std::optional<refusal> operator()(claim_finished& aClaim) const
  {
    if (!aClaim.mAnswer.mBody) {
      return refusal(refusal_reason::AlreadyRun);
    }
    mContext.mReplay = std::move(aClaim.mAnswer);
    return std::nullopt;
  }
  std::optional<refusal> operator()(const claim_in_progress&) const
  {
    return refusal(refusal_reason::InProgress);
  }
  std::optional<refusal> operator()(const claim_unknown&) const
  {
    return refusal(refusal_reason::OutcomeUnknown);
  }
  std::optional<refusal> operator()(const claim_reused&) const
  {
    return refusal(refusal_reason::IdempotencyKeyReused);
  }
};

struct readiness_visitor
{
  bool mIsOpenRoute;

  std::optional<refusal> operator()(const instance_ready&) const
  {
    return std::nullopt;
  }
  std::optional<refusal> operator()(const instance_not_ready&) const
  {
    return refusal(refusal_reason::NotReady);
  }
  std::optional<refusal> operator()(const instance_isolated&) const
  {
    return mIsOpenRoute ? std::nullopt
                        : std::optional(refusal(refusal_reason::Isolated));
  }
  std::optional<refusal> operator()(const instance_draining& aState) const
  {
    return aState.mIsRefusing ? std::optional(refusal(refusal_reason::Draining))
                              : std::nullopt;
  }
};

std::string_view
NameOf(attempt_class aClass)
{
  switch (aClass) {
    case attempt_class::Success:
      return "success";
    case attempt_class::ErrorStatus:
      return "error_status";
    case attempt_class::Timeout:
      return "timeout";
    case attempt_class::ConnectFailure:
      return "connect_failure";
    case attempt_class::Incomplete:
      return "incomplete";
    case attempt_class::WrongAnswer:
      return "wrong_answer";
    case attempt_class::Shed:
      return "shed";
    case attempt_class::Canceled:
      return "canceled";
  }
  return "unknown";
}

std::string
CounterName(std::string_view aName,
            std::string_view aLabel,
            std::string_view aValue)
{
  std::string name(aName);
  name.append("{").append(aLabel).append("=\"").append(aValue).append("\"}");
  return name;
}

/// Gives the slot of a chosen target back unless the attempt is reported.
class slot_guard
{
public:
  slot_guard(target_decision& aTargets,
             const target_request& aRequest,
             const chosen_target& aTarget)
    : mTargets(aTargets)
    , mRequest(aRequest)
    , mTarget(aTarget)
  {
  }
  slot_guard(const slot_guard&) = delete;
  slot_guard& operator=(const slot_guard&) = delete;
  ~slot_guard()
  {
    if (!mIsKept) {
      mTargets.Abandon(mRequest, mTarget);
    }
  }
  void Keep() { mIsKept = true; }

private:
  target_decision& mTargets;
  const target_request& mRequest;
  const chosen_target& mTarget;
  bool mIsKept = false;
};

upstream_endpoint
EndpointOf(const service& aService, const chosen_target& aTarget)
{
  const auto& target = aService.mTargets[aTarget.mTarget];
  return { target.mHost,
           target.mPort,
           std::max<std::size_t>(1,
                                 aService.mConnectionsPerTarget / kFleetSize) };
}

digest16
FingerprintOf(const request_context& aContext)
{
  const auto body = KeyedDigest32(kFingerprintSecret, aContext.mBody.Text());
  std::string text;
  for (const std::string_view part :
       { std::string_view(aContext.Route().mId),
         std::string_view(aContext.mOrganisation),
         std::string_view(aContext.Head().mMethod),
         std::string_view(aContext.mTarget),
         AsView(body) }) {
    text.append(part).push_back('\0');
  }
  return KeyedDigest16(kFingerprintSecret, text);
}

} // namespace

request_pipeline::request_pipeline(gateway_decisions aDecisions,
                                   snapshot_source& aSnapshots,
                                   metrics& aMetrics,
                                   upstream_client& aUpstreams,
                                   body_budget& aBudget)
  : mDecisions(aDecisions)
  , mSnapshots(aSnapshots)
  , mMetrics(aMetrics)
  , mUpstreams(aUpstreams)
  , mBudget(aBudget)
{
}

caller_answer
request_pipeline::Serve(caller_exchange& aExchange)
{
  request_context context(aExchange);
  context.mStart = ReadBootClock();
  context.mSnapshot = mSnapshots.Current();
  const auto given = aExchange.Head().mHeaders.Find("X-Request-Id");
  context.mRequestId = given && IsRequestIdWellFormed(*given)
                         ? std::string(*given)
                         : MakeRequestId();
  std::optional<refusal> refused;
  caller_answer answer;
  try {
    auto served = Run(context);
    if (served) {
      answer = std::move(*served);
    } else {
      refused = served.error();
    }
  } catch (const std::exception& failure) {
    // Memory may be short. A claim stays recorded, so its outcome is unknown.
    Log(log_level::Error, "request_failed", { { "message", failure.what() } });
    refused = refusal(refusal_reason::Overloaded, context.Ran());
  }
  if (refused) {
    refused->mIsEarlierAttemptUnknown =
      refused->mRan == ran_state::NotRun && !context.mTicket &&
      context.Head().mHeaders.Find("Idempotency-Key").has_value();
    answer = MakeRefusalAnswer(*refused, context.mRequestId);
  }
  answer.mCloses = context.mIsDraining;
  Record(context, answer, refused);
  return answer;
}

request_pipeline::answer_result
request_pipeline::Run(request_context& aContext)
{
  using step = step_result (request_pipeline::*)(request_context&);
  constexpr std::array<step, 9> kSteps{
    &request_pipeline::FindRoute,      &request_pipeline::IdentifyCaller,
    &request_pipeline::CheckRight,     &request_pipeline::CheckForm,
    &request_pipeline::ReadBody,       &request_pipeline::CheckKeyAgain,
    &request_pipeline::CheckReadiness, &request_pipeline::AdmitRate,
    &request_pipeline::Claim,
  };
  for (const auto step : kSteps) {
    if (const auto refused = (this->*step)(aContext)) {
      return tl::unexpected(*refused);
    }
  }
  if (aContext.mReplay) {
    return MakeReplay(aContext);
  }
  return EndAttempts(aContext, RunAttempts(aContext));
}

request_pipeline::step_result
request_pipeline::FindRoute(request_context& aContext)
{
  const auto& head = aContext.Head();
  const auto path = DecodePath(head.Path());
  if (!path) {
    return refusal(refusal_reason::RequestMalformed);
  }
  const auto found = mRoutes.For(aContext.mSnapshot)->Find(head.mMethod, *path);
  if (!found) {
    // Without any configuration nothing is known about the address.
    return refusal(aContext.mSnapshot->mVersion == 0 ? refusal_reason::NotReady
                                                     : found.error());
  }
  aContext.mRouteIndex = *found;
  aContext.mHasRoute = true;
  return std::nullopt;
}

request_pipeline::step_result
request_pipeline::IdentifyCaller(request_context& aContext)
{
  const auto& headers = aContext.Head().mHeaders;
  aContext.mTarget = UpstreamTarget(aContext.Head().mTarget);
  const auto key = PresentedKey(headers);
  if (key.size() >= 8 && aContext.mTarget.find(key) != std::string::npos) {
    // Sending the path upstream would show the key to it.
    return refusal(refusal_reason::RequestMalformed);
  }
  if (aContext.Route().mIsOpen) {
    return std::nullopt;
  }
  if (headers.Count("Authorization") > 1) {
    return refusal(refusal_reason::KeyMalformed);
  }
  auto verdict = mDecisions.mKeys.Verify(
    *aContext.mSnapshot, headers.Find("Authorization").value_or(""));
  return std::visit(key_visitor{ aContext }, verdict);
}

request_pipeline::step_result
request_pipeline::CheckRight(request_context& aContext)
{
  const auto& allowed = aContext.Route().mOrganisations;
  if (aContext.Route().mIsOpen || allowed.empty()) {
    return std::nullopt;
  }
  const auto& names = aContext.mSnapshot->mOrganisations;
  const bool isAllowed =
    std::any_of(allowed.begin(), allowed.end(), [&](organisation_index aIndex) {
      return names.at(aIndex).mName == aContext.mOrganisation;
    });
  if (!isAllowed) {
    return refusal(refusal_reason::OrganisationNotAllowed);
  }
  return std::nullopt;
}

request_pipeline::step_result
request_pipeline::CheckForm(request_context& aContext)
{
  const auto& head = aContext.Head();
  const auto& route = aContext.Route();
  if (head.mFraming.mLength.value_or(0) > route.mRequestBytesLimit) {
    return refusal(refusal_reason::RequestTooLarge);
  }
  if (route.mIsIdempotent) {
    return std::nullopt;
  }
  const auto key = head.mHeaders.Find("Idempotency-Key");
  if (!key) {
    return refusal(refusal_reason::IdempotencyKeyMissing);
  }
  if (!IsIdempotencyKeyWellFormed(*key) ||
      head.mHeaders.Count("Idempotency-Key") > 1) {
    return refusal(refusal_reason::IdempotencyKeyMalformed);
  }
  return std::nullopt;
}

request_pipeline::step_result
request_pipeline::ReadBody(request_context& aContext)
{
  const auto& route = aContext.Route();
  aContext.mBody = body_buffer(mBudget, route.mRequestBytesLimit);
  if (const auto error = aContext.mExchange.ReadBody(aContext.mBody)) {
    return cowslipline::RefusalOf(*error);
  }
  // The time a caller takes to send is not part of the deadline.
  aContext.mDeadline = ReadBootClock() + route.mDeadline;
  auto& request = aContext.mTargetRequest;
  request.mSnapshot = aContext.mSnapshot;
  request.mService = route.mService;
  request.mOrganisation = aContext.mOrganisation;
  request.mFingerprint = FingerprintOf(aContext);
  return std::nullopt;
}

request_pipeline::step_result
request_pipeline::CheckKeyAgain(request_context& aContext)
{
  // A body may take a minute to arrive; a key that was withdrawn meanwhile
  // must not be accepted.
  const auto newest = mSnapshots.Current();
  if (aContext.Route().mIsOpen || newest == aContext.mSnapshot) {
    return std::nullopt;
  }
  auto verdict = mDecisions.mKeys.Verify(
    *newest, aContext.Head().mHeaders.Find("Authorization").value_or(""));
  if (const auto* accepted = std::get_if<key_accepted>(&verdict)) {
    const auto& name = newest->mOrganisations.at(accepted->mOrganisation).mName;
    return name == aContext.mOrganisation
             ? std::nullopt
             : std::optional(refusal(refusal_reason::KeyUnknown));
  }
  return std::visit(key_visitor{ aContext }, verdict);
}

request_pipeline::step_result
request_pipeline::CheckReadiness(request_context& aContext)
{
  const auto state = mDecisions.mReadiness.Current();
  aContext.mIsDraining = std::holds_alternative<instance_draining>(state);
  return std::visit(readiness_visitor{ aContext.Route().mIsOpen }, state);
}

request_pipeline::step_result
request_pipeline::AdmitRate(request_context& aContext)
{
  if (aContext.Route().mIsOpen) {
    return std::nullopt;
  }
  const auto admitted = mDecisions.mRates.Admit(
    aContext.mOrganisation, std::min(kRateWait, aContext.TimeLeft()));
  if (!admitted) {
    return refusal(refusal_reason::RateLimited);
  }
  return std::nullopt;
}

request_pipeline::step_result
request_pipeline::Claim(request_context& aContext)
{
  const auto& route = aContext.Route();
  if (route.mIsIdempotent) {
    return std::nullopt;
  }
  claim_request request;
  request.mOrganisation = aContext.mOrganisation;
  request.mRouteId = route.mId;
  request.mIdempotencyKey = *aContext.Head().mHeaders.Find("Idempotency-Key");
  request.mFingerprint = aContext.mTargetRequest.mFingerprint;
  request.mRouteDeadline = route.mDeadline;
  auto verdict = mDecisions.mClaims.Claim(request, aContext.TimeLeft());
  if (!verdict) {
    return refusal(verdict.error() == errc::RecordsFull
                     ? refusal_reason::RecordsFull
                     : refusal_reason::StoreUnavailable);
  }
  return std::visit(claim_visitor{ aContext }, *verdict);
}

request_pipeline::answer_result
request_pipeline::RunAttempts(request_context& aContext)
{
  mDecisions.mTargets.CountFirstAttempt(aContext.mTargetRequest);
  std::optional<refusal> failure;
  while (true) {
    if (const auto refused = CheckStart(aContext)) {
      return tl::unexpected(failure.value_or(*refused));
    }
    const auto target = ChooseTarget(aContext);
    if (!target) {
      return tl::unexpected(failure.value_or(target.error()));
    }
    auto attempted = Attempt(aContext, *target);
    if (!attempted) {
      return tl::unexpected(attempted.error());
    }
    if (attempted->mClass == attempt_class::Success) {
      return MakeAnswer(aContext, std::move(*attempted));
    }
    failure = RefusalOf(aContext, *attempted);
    if (!MayRetry(aContext, *attempted)) {
      return tl::unexpected(*failure);
    }
    aContext.mTargetRequest.mExcluded.push_back(target->mTarget);
  }
}

request_pipeline::answer_result
request_pipeline::EndAttempts(request_context& aContext, answer_result aAnswer)
{
  if (!aContext.mTicket) {
    return aAnswer;
  }
  if (aAnswer) {
    finished_answer finished;
    finished.mStatus = aAnswer->mStatus;
    finished.mContentType = aAnswer->mHeaders.Find("Content-Type").value_or("");
    if (aAnswer->mBody.Text().size() <= kKeptBodyBytes) {
      finished.mBody = aAnswer->mBody.Text();
    }
    mDecisions.mClaims.Finish(*aContext.mTicket, finished);
  } else if (!aContext.mMayHaveRun) {
    mDecisions.mClaims.Release(*aContext.mTicket);
  }
  return aAnswer;
}

request_pipeline::step_result
request_pipeline::CheckStart(request_context& aContext) const
{
  if (aContext.TimeLeft() < kShortestAttempt) {
    return refusal(refusal_reason::DeadlineTooShort, aContext.Ran());
  }
  const auto verdict = mDecisions.mTargets.CheckQuarantine(
    aContext.mTargetRequest, std::min(kQuarantineWait, aContext.TimeLeft()));
  if (verdict == quarantine_verdict::Clear) {
    return std::nullopt;
  }
  const bool hasRun =
    aContext.mMayHaveRun || verdict == quarantine_verdict::QuarantinedAfterRun;
  return refusal(refusal_reason::Quarantined,
                 hasRun ? ran_state::Unknown : ran_state::NotRun);
}

tl::expected<chosen_target, refusal>
request_pipeline::ChooseTarget(request_context& aContext)
{
  auto chosen = mDecisions.mTargets.Choose(
    aContext.mTargetRequest, aContext.TimeLeft() - kShortestAttempt);
  if (!chosen) {
    const bool isNone = chosen.error() == errc::NoTarget;
    return tl::unexpected(
      refusal(isNone ? refusal_reason::NoTarget : refusal_reason::Overloaded,
              aContext.Ran()));
  }
  if (chosen->mTarget >= aContext.Service().mTargets.size()) {
    mDecisions.mTargets.Abandon(aContext.mTargetRequest, *chosen);
    return tl::unexpected(refusal(refusal_reason::NoTarget, aContext.Ran()));
  }
  return *chosen;
}

tl::expected<upstream_result, refusal>
request_pipeline::Attempt(request_context& aContext,
                          const chosen_target& aTarget)
{
  slot_guard slot(mDecisions.mTargets, aContext.mTargetRequest, aTarget);
  const auto request = MakeUpstreamRequest(aContext);
  if (aContext.Route().mCancelOnDisconnect &&
      HasPeerLeft(aContext.mExchange.Descriptor())) {
    aContext.mHasCallerLeft = true;
    return tl::unexpected(
      refusal(refusal_reason::UpstreamUnreachable, aContext.Ran()));
  }
  ++aContext.mAttempts;
  const bool hadRun = aContext.mMayHaveRun;
  // Stays so when the exchange ends with an exception.
  aContext.mMayHaveRun = true;
  auto attempted =
    mUpstreams.Exchange(EndpointOf(aContext.Service(), aTarget), request);
  aContext.mMayHaveRun = hadRun || (attempted && attempted->MayHaveRun());
  if (!attempted) {
    return tl::unexpected(refusal(refusal_reason::Overloaded, aContext.Ran()));
  }
  if (attempted->mClass == attempt_class::Success &&
      !IsAnswerRight(aContext.Route().mAnswerChecks,
                     attempted->mAnswer,
                     aContext.Head().mMethod == "HEAD")) {
    attempted->mClass = attempt_class::WrongAnswer;
  }
  aContext.mHasCallerLeft =
    attempted->mClass == attempt_class::Canceled && !attempted->mIsOverBudget;
  slot.Keep();
  Report(aContext, aTarget, *attempted);
  return std::move(*attempted);
}

upstream_request
request_pipeline::MakeUpstreamRequest(const request_context& aContext) const
{
  const auto& route = aContext.Route();
  const auto& head = aContext.Head();
  const auto time = AttemptTime(aContext);
  upstream_request request;
  request.mMethod = head.mMethod;
  request.mTarget = aContext.mTarget;
  request.mHeaders =
    UpstreamHeaders(head.mHeaders, PresentedKey(head.mHeaders));
  request.mHeaders.Add("X-Request-Id", aContext.mRequestId);
  if (!aContext.mOrganisation.empty()) {
    request.mHeaders.Add("X-Organisation", aContext.mOrganisation);
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time);
  request.mHeaders.Add("X-Deadline-Ms",
                       std::to_string(std::max<std::int64_t>(1, left.count())));
  request.mBody = aContext.mBody.Text();
  request.mRequestId = aContext.mRequestId;
  request.mIsIdempotent = route.mIsIdempotent;
  request.mDeadline = ReadBootClock() + time;
  request.mCallerDescriptor =
    route.mCancelOnDisconnect ? aContext.mExchange.Descriptor() : -1;
  request.mAnswerLimit = route.mAnswerBytesLimit;
  return request;
}

duration
request_pipeline::AttemptTime(const request_context& aContext) const
{
  const auto left = aContext.TimeLeft();
  const auto& route = aContext.Route();
  if (!route.mIsIdempotent || aContext.mAttempts + 1 >= kMostAttempts ||
      !aContext.HasOtherTarget()) {
    return left;
  }
  // A target that hangs must leave time for another one.
  const auto patience = mLatencies.Median(route.mId) * kPatienceFactor;
  return std::min(left, std::max(left / 2, patience));
}

void
request_pipeline::Report(request_context& aContext,
                         const chosen_target& aTarget,
                         const upstream_result& aResult)
{
  attempt_result report;
  report.mClass = aResult.mClass;
  report.mLatency = aResult.mLatency;
  report.mIsReset = aResult.mIsReset;
  report.mIsDraining =
    aResult.mAnswer.mHead.mHeaders.Find("Cowslipline-Draining") == "true";
  mDecisions.mTargets.Report(aContext.mTargetRequest, aTarget, report);
  mMetrics
    .Counter(CounterName(
      "cowslipline_attempts_total", "class", NameOf(aResult.mClass)))
    .Add();
  if (aResult.mClass == attempt_class::Success) {
    mLatencies.Add(aContext.Route().mId, aResult.mLatency);
  }
}

bool
request_pipeline::MayRetry(request_context& aContext,
                           const upstream_result& aResult)
{
  const auto& route = aContext.Route();
  const bool isSafe = route.mIsIdempotent || !aContext.mMayHaveRun;
  const auto needed =
    std::max(kShortestAttempt, 2 * mLatencies.Median(route.mId));
  if (aResult.mClass == attempt_class::Canceled || !isSafe ||
      aContext.mAttempts >= kMostAttempts || !aContext.HasOtherTarget() ||
      aContext.TimeLeft() < needed ||
      !mDecisions.mTargets.TakeRetry(aContext.mTargetRequest)) {
    return false;
  }
  mMetrics
    .Counter(CounterName(
      "cowslipline_retries_total", "reason", NameOf(aResult.mClass)))
    .Add();
  return true;
}

refusal
request_pipeline::RefusalOf(const request_context& aContext,
                            const upstream_result& aResult) const
{
  const auto ran = aContext.Ran();
  if (aResult.mIsOverBudget || aResult.mClass == attempt_class::Shed) {
    return { refusal_reason::Overloaded, ran };
  }
  if (!aResult.mHasSent) {
    return { refusal_reason::UpstreamUnreachable, ran };
  }
  switch (aResult.mClass) {
    case attempt_class::Timeout:
      return { refusal_reason::UpstreamTimeout, ran };
    case attempt_class::ErrorStatus:
      return { refusal_reason::UpstreamFailed, ran };
    case attempt_class::WrongAnswer:
      return { refusal_reason::UpstreamWrongAnswer, ran };
    default:
      return { refusal_reason::UpstreamIncomplete, ran };
  }
}

caller_answer
request_pipeline::MakeAnswer(const request_context& aContext,
                             upstream_result aResult) const
{
  auto& head = aResult.mAnswer.mHead;
  caller_answer answer;
  answer.mStatus = head.mStatus;
  answer.mHeaders = CallerHeaders(head.mHeaders);
  answer.mHeaders.Add("X-Request-Id", aContext.mRequestId);
  answer.mBody = std::move(aResult.mAnswer.mBody);
  answer.mHeadLength = head.mFraming.mLength;
  return answer;
}

caller_answer
request_pipeline::MakeReplay(const request_context& aContext) const
{
  const auto& replay = *aContext.mReplay;
  caller_answer answer;
  answer.mStatus = replay.mStatus;
  if (!replay.mContentType.empty()) {
    answer.mHeaders.Add("Content-Type", replay.mContentType);
  }
  answer.mHeaders.Add("Cowslipline-Replayed", "true");
  answer.mHeaders.Add("X-Request-Id", aContext.mRequestId);
  answer.mText = *replay.mBody;
  return answer;
}

void
request_pipeline::Record(const request_context& aContext,
                         const caller_answer& aAnswer,
                         const std::optional<refusal>& aRefusal)
{
  const auto took = ReadBootClock() - aContext.mStart;
  mMetrics.ObserveSeconds("cowslipline_request_seconds",
                          std::chrono::duration<double>(took).count());
  mMetrics.Counter("cowslipline_requests_total").Add();
  if (aContext.mHasCallerLeft) {
    // Nobody was refused.
    mMetrics.Counter("cowslipline_callers_left_total").Add();
  } else if (aRefusal) {
    mMetrics.Counter(RefusalCounterName(aRefusal->mReason)).Add();
  }
  Log(log_level::Info,
      "request",
      { { "request_id", aContext.mRequestId },
        { "route", aContext.mHasRoute ? aContext.Route().mId : "" },
        { "organisation", aContext.mOrganisation },
        { "key_id", aContext.mKeyId },
        { "status", std::to_string(aAnswer.mStatus) },
        { "reason",
          aRefusal ? std::string(Describe(aRefusal->mReason).mName) : "" },
        { "ran",
          aRefusal ? std::string(cowslipline::NameOf(aRefusal->mRan)) : "" },
        { "attempts", std::to_string(aContext.mAttempts) },
        { "us", std::to_string(took.count()) } });
}

} // namespace cowslipline
