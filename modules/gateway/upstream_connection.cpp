#include "modules/gateway/upstream_connection.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr std::string_view kShedHeader = "Cowslipline-Shed";
constexpr std::string_view kShedValue = "not-run";

httplib::Request
MakeRequest(const upstream_request& aRequest)
{
  httplib::Request request;
  request.method = aRequest.mMethod;
  request.path = aRequest.mTarget;
  for (const auto& line : aRequest.mHeaders.Lines()) {
    request.headers.emplace(line.mName, line.mValue);
  }
  if (!aRequest.mBody.empty()) {
    request.content_length_ = aRequest.mBody.size();
    request.content_provider_ =
      [body = aRequest.mBody](
        std::size_t aOffset, std::size_t aLength, httplib::DataSink& aSink) {
        return aSink.write(body.data() + aOffset, aLength);
      };
  }
  return request;
}

attempt_class
ClassOf(read_error aError)
{
  switch (aError) {
    case read_error::TimedOut:
      return attempt_class::Timeout;
    case read_error::Canceled:
    case read_error::OverBudget:
      return attempt_class::Canceled;
    case read_error::Closed:
      return attempt_class::Incomplete;
    default:
      return attempt_class::WrongAnswer;
  }
}

/// Class of a whole answer.
attempt_class
ClassOf(const response_head& aHead, std::string_view aRequestId)
{
  for (const auto& line : aHead.mHeaders.Lines()) {
    if (IsSameName(line.mName, "X-Request-Id") && line.mValue != aRequestId) {
      return attempt_class::WrongAnswer;
    }
  }
  if (aHead.mStatus == 503 && aHead.mHeaders.Find(kShedHeader) == kShedValue) {
    return attempt_class::Shed;
  }
  return aHead.mStatus >= 500 ? attempt_class::ErrorStatus
                              : attempt_class::Success;
}

} // namespace

bool
upstream_result::MayHaveRun() const
{
  return mHasSent && mClass != attempt_class::Shed;
}

upstream_connection::upstream_connection(const std::string& aHost,
                                         std::uint16_t aPort)
  : httplib::ClientImpl(aHost, aPort)
{
  set_keep_alive(true);
  set_tcp_nodelay(true);
  set_url_encode(false);
  set_follow_location(false);
  set_compress(false);
  set_decompress(false);
}

upstream_result
upstream_connection::Exchange(const upstream_request& aRequest,
                              body_budget& aBudget,
                              duration aConnectTimeout)
{
  const auto start = ReadBootClock();
  upstream_result result;
  result.mAnswer.mBody = body_buffer(aBudget, aRequest.mAnswerLimit);
  mIsReusable = false;
  mIsStale = false;
  mReadError.reset();
  const auto left = std::max(aRequest.mDeadline - start, duration(1000));
  set_connection_timeout(std::min(aConnectTimeout, left));
  mRequest = &aRequest;
  mResult = &result;
  Run(aRequest, result);
  mRequest = nullptr;
  mResult = nullptr;
  result.mLatency = ReadBootClock() - start;
  return result;
}

void
upstream_connection::Run(const upstream_request& aRequest,
                         upstream_result& aResult)
{
  auto request = MakeRequest(aRequest);
  httplib::Response ignored;
  auto error = httplib::Error::Success;
  send(request, ignored, error);
  if (!mIsOpen) {
    aResult.mClass = attempt_class::ConnectFailure;
    return;
  }
  if (mReadError) {
    aResult.mClass = ClassOf(*mReadError);
    aResult.mIsOverBudget = *mReadError == read_error::OverBudget;
    return;
  }
  if (!mIsReusable && aResult.mAnswer.mHead.mStatus == 0) {
    aResult.mClass = attempt_class::Incomplete;
    return;
  }
  aResult.mClass = ClassOf(aResult.mAnswer.mHead, aRequest.mRequestId);
  // An answer to another request may be followed by further ones.
  mIsReusable = mIsReusable && aResult.mClass != attempt_class::WrongAnswer;
}

bool
upstream_connection::create_and_connect_socket(Socket& aSocket,
                                               httplib::Error& aError)
{
  mIsOpen = false;
  if (!httplib::ClientImpl::create_and_connect_socket(aSocket, aError)) {
    return false;
  }
  mIsOpen = true;
  mOpenedAt = ReadBootClock();
  return true;
}

bool
upstream_connection::process_socket(
  const Socket& aSocket,
  std::function<bool(httplib::Stream&)> aCallback)
{
  timed_socket socket(aSocket.sock);
  if (socket.IsReadable()) {
    // The connection has ended or carries bytes that no request asked for.
    mIsStale = true;
    mReadError = read_error::Closed;
    return false;
  }
  socket.SetDeadline(mRequest->mDeadline);
  socket.Watch(mRequest->mCallerDescriptor);
  socket.EndWritesOnInput();
  upstream_stream stream(socket, mResult->mAnswer, mRequest->mMethod == "HEAD");
  const bool isWhole = aCallback(stream);
  mResult->mHasSent = stream.HasSent();
  mResult->mIsReset = stream.HasSent() && !stream.HasAnswer() &&
                      stream.Error() == read_error::Closed;
  mReadError = stream.Error();
  mIsReusable = isWhole && stream.IsReusable();
  return isWhole && mIsReusable;
}

bool
upstream_connection::IsQuiet() const
{
  return mIsOpen && !timed_socket(socket()).IsReadable();
}

} // namespace cowslipline
