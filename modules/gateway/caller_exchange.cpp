#include "modules/gateway/caller_exchange.h"

namespace cowslipline {

namespace {

bool
HasBody(const body_framing& aFraming)
{
  return aFraming.mIsChunked || aFraming.mLength.value_or(0) > 0;
}

} // namespace

caller_exchange::caller_exchange(request_head aHead,
                                 timed_socket& aSocket,
                                 buffered_reader& aReader,
                                 duration aBodyTimeout)
  : mHead(std::move(aHead))
  , mSocket(aSocket)
  , mReader(aReader)
  , mBodyTimeout(aBodyTimeout)
  , mIsBodyRead(!HasBody(mHead.mFraming))
{
}

std::optional<read_error>
caller_exchange::ReadBody(body_buffer& aBody)
{
  if (mIsBodyRead) {
    return std::nullopt;
  }
  mSocket.SetDeadline(ReadBootClock() + mBodyTimeout);
  if (mHead.mHeaders.HasToken("Expect", "100-continue") &&
      !mReader.HasBuffered()) {
    mSocket.WriteAll("HTTP/1.1 100 Continue\r\n\r\n");
  }
  const auto error = mReader.ReadBody(mHead.mFraming, aBody);
  mIsBodyRead = !error;
  return error;
}

} // namespace cowslipline
