#include "modules/gateway/upstream_stream.h"

#include <algorithm>
#include <cstring>

namespace cowslipline {

namespace {

constexpr std::size_t kCollectedBytes = 16'384;
constexpr head_limits kAnswerHeadLimits{ 65'536, 200 };
constexpr int kInterimAnswers = 8;
constexpr std::string_view kStandIn = "HTTP/1.1 204 No Content\r\n\r\n";

} // namespace

upstream_stream::upstream_stream(timed_socket& aSocket,
                                 upstream_answer& aAnswer,
                                 bool aIsHeadRequest)
  : mSocket(aSocket)
  , mReader(aSocket)
  , mAnswer(aAnswer)
  , mIsHeadRequest(aIsHeadRequest)
{
}

ssize_t
upstream_stream::write(const char* aData, std::size_t aSize)
{
  const std::string_view data(aData, aSize);
  if (mCollected.size() + aSize <= kCollectedBytes) {
    mCollected.append(data);
  } else {
    Send(mCollected, data);
    mCollected.clear();
  }
  return static_cast<ssize_t>(aSize);
}

void
upstream_stream::Send(std::string_view aFirst, std::string_view aSecond)
{
  if (mWriteError) {
    return;
  }
  const auto written = mSocket.WriteAll(aFirst, aSecond);
  mHasSent = mHasSent || written.mBytes > 0;
  if (written.mStatus != io_status::Done) {
    mWriteError = ToReadError(written.mStatus);
  }
}

ssize_t
upstream_stream::read(char* aData, std::size_t aSize)
{
  if (!mIsAnswerRead) {
    mIsAnswerRead = true;
    Send(mCollected, {});
    mError = ReadAnswer();
  }
  if (mError) {
    return -1;
  }
  const auto count = std::min(aSize, kStandIn.size() - mRead);
  std::memcpy(aData, kStandIn.data() + mRead, count);
  mRead += count;
  return static_cast<ssize_t>(count);
}

std::optional<read_error>
upstream_stream::ReadAnswer()
{
  // After a broken write there may still be an answer to read, such as an
  // early refusal.
  if (mWriteError && *mWriteError != read_error::Closed) {
    return mWriteError;
  }
  if (const auto error = ReadFinalHead()) {
    return error;
  }
  if (!HasAnswerBody()) {
    return std::nullopt;
  }
  const auto& framing = mAnswer.mHead.mFraming;
  if (!framing.mIsChunked && !framing.mLength) {
    // Only the end of the connection would mark the end of this answer, which
    // cannot be told from a truncated one.
    return read_error::Closed;
  }
  return mReader.ReadBody(framing, mAnswer.mBody);
}

std::optional<read_error>
upstream_stream::ReadFinalHead()
{
  for (int i = 0; i < kInterimAnswers; ++i) {
    const auto bytes = mReader.ReadHead(kAnswerHeadLimits.mBytes);
    mHasAnswer = mHasAnswer || bytes || mReader.HasBuffered();
    if (!bytes) {
      return bytes.error();
    }
    auto head = ParseResponseHead(*bytes, kAnswerHeadLimits);
    if (!head || head->mStatus == 101) {
      return read_error::Malformed;
    }
    if (head->mStatus >= 200) {
      mAnswer.mHead = std::move(*head);
      return std::nullopt;
    }
  }
  return read_error::Malformed;
}

bool
upstream_stream::HasAnswerBody() const
{
  const auto status = mAnswer.mHead.mStatus;
  return !mIsHeadRequest && status != 204 && status != 304;
}

bool
upstream_stream::IsReusable() const
{
  const auto& head = mAnswer.mHead;
  const bool wantsClose = head.mHeaders.HasToken("Connection", "close") ||
                          (head.mMinorVersion == 0 &&
                           !head.mHeaders.HasToken("Connection", "keep-alive"));
  return mIsAnswerRead && !mError && !mWriteError && !wantsClose &&
         !mReader.HasBuffered();
}

void
upstream_stream::get_remote_ip_and_port(std::string& aAddress, int& aPort) const
{
  aAddress.clear();
  aPort = 0;
}

void
upstream_stream::get_local_ip_and_port(std::string& aAddress, int& aPort) const
{
  aAddress.clear();
  aPort = 0;
}

} // namespace cowslipline
