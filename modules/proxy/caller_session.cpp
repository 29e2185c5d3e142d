#include "modules/proxy/caller_session.h"

#include "core/log.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A caller that does not take its answer holds memory.
constexpr duration kWriteTimeout = 10s;

// The body of a request from a caller that names no deadline.
constexpr duration kBodyTimeout = 30s;

// The stack of a connection's task; requests are decided on it.
constexpr std::size_t kSessionStackBytes = 96UL * 1024;

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
  while (WaitForRequest(aYield)) {
    mIsIdle = false;
    const bool isKept = ServeOne(aYield);
    mIsIdle = true;
    mIsFirst = false;
    if (!isKept) {
      break;
    }
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
                            steady_time aReceivedAt,
                            yield_context aYield)
{
  const auto limits = Limits();
  head_limits headLimits;
  headLimits.mBytes = limits.mHeadBytes;
  const auto bytes = ReadHeadBytes(
    mStream, limits.mHeadBytes, aReceivedAt + limits.mHeadTimeout, aYield);
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
  const auto& framing = aRequest.mHead.mFraming;
  if (framing.mLength.value_or(0) > limits.mBodyBytes) {
    return OwnAnswer(413, refusal_cause::TooLarge);
  }
  if (mServices.mBufferedBytes + framing.mLength.value_or(0) >
      mServices.mSettings.mBufferedBytes) {
    return OwnAnswer(503, refusal_cause::OverMemory);
  }
  const auto deadline = aReceivedAt + kBodyTimeout;
  if (aRequest.mHead.mHeaders.HasToken("Expect", "100-continue")) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    if (!mStream.Write({ asio::buffer(kContinue.data(), kContinue.size()) },
                       deadline,
                       aYield)) {
      mStream.Close();
      return OwnAnswer(400, refusal_cause::Malformed);
    }
  }
  auto body = ReadBody(mStream, framing, limits.mBodyBytes, deadline, aYield);
  if (body) {
    aRequest.mBody = std::move(*body);
    return std::nullopt;
  }
  if (body.error() == errc::TooLarge) {
    return OwnAnswer(413, refusal_cause::TooLarge);
  }
  if (body.error() == errc::Timeout) {
    return OwnAnswer(408, refusal_cause::CallerSlow);
  }
  if (body.error() != errc::MessageMalformed) {
    mStream.Close();
  }
  return OwnAnswer(400, refusal_cause::Malformed);
}

bool
caller_session::ServeOne(yield_context aYield)
{
  const auto receivedAt = mServices.mScheduler.Now();
  http_request request;
  auto answer = ReadRequest(request, receivedAt, aYield);
  if (answer) {
    if (mStream.IsOpen()) {
      Log(log_level::Warn,
          "request_unreadable",
          { { "status", std::to_string(answer->mStatus) },
            { "cause", CauseName(answer->mCause) } });
      Respond(*answer, false, true, aYield);
    }
    return false;
  }
  const bool isHeadRequest = request.mHead.mMethod == "HEAD";
  const bool wantsClose = request.mHead.WantsClose();
  const auto bytes = request.mBody.size();
  mServices.mBufferedBytes += bytes;
  request_handler handler(mServices, std::move(request), receivedAt);
  WatchForEnd(handler);
  answer = handler.Handle(aYield);
  mServices.mBufferedBytes -= bytes;
  asio::error_code ignored;
  mStream.Socket().cancel(ignored);
  if (!answer) {
    return false;
  }
  const bool close = wantsClose ||
                     mServices.mPhase != lifecycle_phase::Serving ||
                     !mServices.IsReady();
  return Respond(*answer, isHeadRequest, close, aYield) && !close;
}

void
caller_session::WatchForEnd(request_handler& aHandler)
{
  mStream.Socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this(), &aHandler](const asio::error_code& aError) {
      // Cancelled before the handler is gone. Bytes that wait are the next
      // request; it is read after this one.
      if (!aError && self->mStream.HasEnded()) {
        aHandler.OnCallerGone();
      }
    });
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

} // namespace cowslipline
