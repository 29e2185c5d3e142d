#include "modules/proxy/caller_session.h"

#include "core/log.h"
#include "modules/proxy/read_ahead.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A caller that does not take its answer holds memory.
constexpr duration kWriteTimeout = 10s;

// The body of a request from a caller that names no deadline.
constexpr duration kBodyTimeout = 30s;

// The stack of a connection's task; requests are decided on it.
constexpr std::size_t kSessionStackBytes = 96UL * 1024;

// Read of further requests while an answer is awaited.
constexpr std::size_t kReadAheadBytes = 16UL * 1024;

// A caller reads the last answer of a connection and closes within this time.
constexpr duration kLingerTimeout = 2s;

// Finished exchanges are signalled; this only bounds the wait.
constexpr duration kFinishedPoll = 1s;

// A caller that has just opened a connection sends its request at once.
constexpr duration kFirstRequestTimeout = 10s;

std::optional<proxy_answer>
OwnAnswer(int aStatus, refusal_cause aCause)
{
  proxy_answer answer;
  answer.mStatus = aStatus;
  answer.mCause = aCause;
  answer.mHeaders.Add("Content-Type", "text/plain");
  answer.mBody = std::string(CauseName(aCause)) + '\n';
  return answer;
}

} // namespace

caller_exchange::caller_exchange(proxy_services& aServices,
                                 http_request aRequest,
                                 body_lease aLease,
                                 steady_time aReceivedAt)
  : mLease(std::move(aLease))
  , mIsHeadRequest(aRequest.mHead.mMethod == "HEAD")
  , mWantsClose(aRequest.mHead.WantsClose())
  , mHandler(aServices, std::move(aRequest), aReceivedAt)
{
}

caller_limits
caller_session::Limits() const
{
  return mServices.mView.mRoutes
           ? mServices.mView.mRoutes->Configuration().mLimits
           : caller_limits();
}

void
caller_session::Run(yield_context aYield)
{
  while (!mExchanges.empty() || WaitForRequest(aYield)) {
    mIsIdle = false;
    if (!ServeOne(aYield)) {
      break;
    }
    mIsIdle = mExchanges.empty();
    mIsFirst = false;
  }
  AbandonAll();
  if (mIsCloseAnnounced) {
    CloseAfterAnswer(aYield);
  }
  mStream.EndSending();
  mStream.Close();
}

void
caller_session::CloseIfIdle()
{
  if (mIsIdle && mStream.Buffered().empty() && mStream.IsQuiet()) {
    mStream.Close();
  }
}

void
caller_session::EndRequests()
{
  for (const auto& open : mExchanges) {
    open->mHandler.OnInstanceEnding();
  }
}

bool
caller_session::WaitForRequest(yield_context aYield)
{
  const auto idleSince = mServices.mScheduler.Now();
  const auto before = Limits().mIdleTimeout;
  while (mStream.Buffered().empty()) {
    // A caller that knows the longer of two limits keeps to that one.
    const auto limit =
      std::max({ before,
                 Limits().mIdleTimeout,
                 mIsFirst ? duration(kFirstRequestTimeout) : duration(0) });
    const auto deadline = idleSince + limit;
    if (mServices.mScheduler.Now() >= deadline) {
      return false;
    }
    const auto filled = mStream.Fill(deadline, aYield);
    if (!filled && filled.error() != errc::Timeout) {
      return false;
    }
  }
  return true;
}

std::optional<proxy_answer>
caller_session::ReadRequest(http_request& aRequest,
                            body_lease& aLease,
                            yield_context aYield)
{
  const auto startedAt = mServices.mScheduler.Now();
  const auto limits = Limits();
  head_limits headLimits;
  headLimits.mBytes = limits.mHeadBytes;
  const auto bytes = ReadHeadBytes(
    mStream, limits.mHeadBytes, startedAt + limits.mHeadTimeout, aYield);
  if (!bytes) {
    if (bytes.error() == errc::TooLarge) {
      return OwnAnswer(431, refusal_cause::TooLarge);
    }
    if (bytes.error() == errc::Timeout) {
      return OwnAnswer(408, refusal_cause::CallerSlow);
    }
    mStream.Close();
    return OwnAnswer(400, refusal_cause::Malformed);
  }
  auto head = ParseRequestHead(*bytes, headLimits);
  if (!head) {
    const bool isTooLarge = head.error() == head_error::TooLarge;
    return OwnAnswer(isTooLarge ? 431 : 400,
                     isTooLarge ? refusal_cause::TooLarge
                                : refusal_cause::Malformed);
  }
  aRequest.mHead = std::move(*head);
  const auto length = aRequest.mHead.mFraming.mLength.value_or(0);
  if (length > limits.mBodyBytes) {
    return OwnAnswer(413, refusal_cause::TooLarge);
  }
  if (length > mServices.mBuffers.Free()) {
    return OwnAnswer(503, refusal_cause::OverMemory);
  }
  aLease = body_lease(limits.mBodyBytes, mServices.mBuffers);
  return ReadRequestBody(aRequest, aLease, startedAt + kBodyTimeout, aYield);
}

std::optional<proxy_answer>
caller_session::ReadRequestBody(http_request& aRequest,
                                body_lease& aLease,
                                steady_time aDeadline,
                                yield_context aYield)
{
  if (aRequest.mHead.mHeaders.HasToken("Expect", "100-continue")) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    if (!mStream.Write({ asio::buffer(kContinue.data(), kContinue.size()) },
                       aDeadline,
                       aYield)) {
      mStream.Close();
      return OwnAnswer(400, refusal_cause::Malformed);
    }
  }
  auto body =
    ReadBody(mStream, aRequest.mHead.mFraming, aLease, aDeadline, aYield);
  if (body) {
    aRequest.mBody = std::move(*body);
    return std::nullopt;
  }
  if (body.error() == errc::TooLarge) {
    return aLease.IsOverBudget() ? OwnAnswer(503, refusal_cause::OverMemory)
                                 : OwnAnswer(413, refusal_cause::TooLarge);
  }
  if (body.error() == errc::Timeout) {
    return OwnAnswer(408, refusal_cause::CallerSlow);
  }
  if (body.error() != errc::MessageMalformed) {
    mStream.Close();
  }
  return OwnAnswer(400, refusal_cause::Malformed);
}

std::shared_ptr<caller_exchange>
caller_session::ReadExchange(yield_context aYield)
{
  const auto receivedAt = mBufferedSince.value_or(mServices.mScheduler.Now());
  mBufferedSince.reset();
  http_request request;
  body_lease lease(0);
  auto refusal = ReadRequest(request, lease, aYield);
  if (!mStream.Buffered().empty()) {
    mBufferedSince = mServices.mScheduler.Now();
  }
  if (!refusal) {
    return std::make_shared<caller_exchange>(
      mServices, std::move(request), std::move(lease), receivedAt);
  }
  if (mStream.IsOpen()) {
    Log(log_level::Warn,
        "request_unreadable",
        { { "status", std::to_string(refusal->mStatus) },
          { "cause", CauseName(refusal->mCause) } });
    Respond(*refusal, false, true, aYield);
  }
  return nullptr;
}

bool
caller_session::ServeOne(yield_context aYield)
{
  const bool isStarted = !mExchanges.empty();
  if (!isStarted) {
    auto read = ReadExchange(aYield);
    if (!read) {
      return false;
    }
    mExchanges.push_back(std::move(read));
  }
  const auto exchange = mExchanges.front();
  WatchCaller();
  StartEarly();
  if (isStarted) {
    while (!exchange->mIsFinished) {
      exchange->mFinished.Wait(mServices.mScheduler, kFinishedPoll, aYield);
    }
  } else {
    exchange->mAnswer = exchange->mHandler.Handle(aYield);
  }
  StopWatching();
  if (!exchange->mAnswer) {
    return false;
  }
  mExchanges.pop_front();
  // Requests that have started are answered before the connection ends.
  const bool isLeaving =
    mServices.mPhase != lifecycle_phase::Serving || !mServices.IsReady();
  const bool close = exchange->mWantsClose || (isLeaving && mExchanges.empty());
  return Respond(*exchange->mAnswer, exchange->mIsHeadRequest, close, aYield) &&
         !close;
}

void
caller_session::WatchCaller()
{
  const auto round = ++mWatchRound;
  mStream.Socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this(), round](const asio::error_code& aError) {
      if (!aError && round == self->mWatchRound) {
        self->OnReadable();
      }
    });
}

void
caller_session::StopWatching()
{
  ++mWatchRound;
  asio::error_code ignored;
  mStream.Socket().cancel(ignored);
}

void
caller_session::OnReadable()
{
  const bool wasEmpty = mStream.Buffered().empty();
  if (!mStream.FillWithoutWaiting()) {
    // What it has sent last is served when it comes again.
    for (const auto& open : mExchanges) {
      open->mHandler.OnCallerGone();
    }
    return;
  }
  if (wasEmpty && !mStream.Buffered().empty()) {
    mBufferedSince = mServices.mScheduler.Now();
  }
  StartEarly();
  // The rest stays with the system, whose window holds the caller back.
  if (mStream.Buffered().size() < kReadAheadBytes) {
    WatchCaller();
  }
}

void
caller_session::StartEarly()
{
  while (!mStream.Buffered().empty() && StartNextEarly()) {
  }
  if (mStream.Buffered().empty()) {
    mBufferedSince.reset();
  }
}

bool
caller_session::StartNextEarly()
{
  const auto& routes = mServices.mView.mRoutes;
  const auto buffered = mStream.Buffered();
  const auto end = FindHeadEnd(buffered);
  if (!end || !routes) {
    return false;
  }
  head_limits limits;
  limits.mBytes = Limits().mHeadBytes;
  auto head = ParseRequestHead(buffered.substr(0, *end), limits);
  if (!head) {
    return false;
  }
  const auto* route =
    routes->FindRoute(head->mHeaders.Find("Host").value_or(""), head->Path());
  read_ahead_state state;
  state.mUnanswered = mExchanges.size();
  state.mIsClosing = mExchanges.back()->mWantsClose;
  state.mIsServing = mServices.IsReady();
  const auto length = head->mFraming.mLength.value_or(0);
  if (!MayStartEarly(*head, route, state) || length > buffered.size() - *end ||
      length > Limits().mBodyBytes) {
    return false;
  }
  body_lease lease(Limits().mBodyBytes, mServices.mBuffers);
  if (!lease.Grow(length)) {
    return false;
  }
  http_request request;
  request.mHead = std::move(*head);
  request.mBody = std::string(buffered.substr(*end, length));
  mStream.Consume(*end + length);
  const auto now = mServices.mScheduler.Now();
  const auto exchange =
    std::make_shared<caller_exchange>(mServices,
                                      std::move(request),
                                      std::move(lease),
                                      mBufferedSince.value_or(now));
  mBufferedSince = now;
  mExchanges.push_back(exchange);
  asio::spawn(
    mServices.mContext,
    [exchange](yield_context aYield) {
      exchange->mAnswer = exchange->mHandler.Handle(aYield);
      exchange->mIsFinished = true;
      exchange->mFinished.Set();
    },
    boost::coroutines::attributes(kSessionStackBytes));
  return true;
}

void
caller_session::AbandonAll()
{
  for (const auto& open : mExchanges) {
    open->mHandler.OnCallerGone();
  }
  mExchanges.clear();
}

void
caller_session::CloseAfterAnswer(yield_context aYield)
{
  // Closing with unread bytes would reset the connection, and the answer could
  // be lost on its way. What the caller sent behind it is not served.
  mStream.EndSending();
  const auto deadline = mServices.mScheduler.Now() + kLingerTimeout;
  while (mStream.Fill(deadline, aYield)) {
    mStream.Consume(mStream.Buffered().size());
  }
}

bool
caller_session::Respond(proxy_answer& aAnswer,
                        bool aIsHeadRequest,
                        bool aClose,
                        yield_context aYield)
{
  auto headers = std::move(aAnswer.mHeaders);
  if (aAnswer.mStatus != 204 && aAnswer.mStatus != 304) {
    headers.Add("Content-Length", std::to_string(aAnswer.mBody.size()));
  }
  if (aClose) {
    headers.Add("Connection", "close");
    mIsCloseAnnounced = true;
  }
  const auto head = RenderResponseHead(aAnswer.mStatus, headers);
  std::vector<asio::const_buffer> buffers = { asio::buffer(head) };
  if (!aIsHeadRequest) {
    buffers.push_back(asio::buffer(aAnswer.mBody));
  }
  return mStream
    .Write(buffers, mServices.mScheduler.Now() + kWriteTimeout, aYield)
    .has_value();
}

caller_listener::caller_listener(proxy_services& aServices)
  : mServices(aServices)
  , mListener(aServices.mContext, [this](asio::ip::tcp::socket aSocket) {
    Serve(std::move(aSocket));
  })
{
}

void
caller_listener::Serve(asio::ip::tcp::socket aSocket)
{
  const auto session =
    std::make_shared<caller_session>(mServices, std::move(aSocket));
  const auto place = mSessions.insert(mSessions.end(), session);
  asio::spawn(
    mServices.mContext,
    [this, session, place](yield_context aYield) {
      session->Run(aYield);
      mSessions.erase(place);
    },
    boost::coroutines::attributes(kSessionStackBytes));
}

void
caller_listener::CloseIdle()
{
  for (const auto& weak : mSessions) {
    if (const auto session = weak.lock()) {
      session->CloseIfIdle();
    }
  }
}

void
caller_listener::EndRequests()
{
  for (const auto& weak : mSessions) {
    if (const auto session = weak.lock()) {
      session->EndRequests();
    }
  }
}

} // namespace cowslipline
