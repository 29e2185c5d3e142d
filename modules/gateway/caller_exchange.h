#pragma once

#include "core/http_head.h"
#include "modules/gateway/buffered_reader.h"

namespace cowslipline {

/// The answer to a caller. Length and connection headers are added when it is
/// written.
struct caller_answer
{
  int mStatus = 0;
  header_list mHeaders;
  body_buffer mBody;
  /// Text of refusals, which count against no budget.
  std::string mText;
  /// The length of the body that a HEAD request does not get.
  std::optional<std::uint64_t> mHeadLength;
  /// The connection ends after this answer.
  bool mCloses = false;
};

struct caller_timeouts
{
  duration mIdle = std::chrono::seconds(60);
  duration mHead = std::chrono::seconds(10);
  duration mBody = std::chrono::seconds(60);
  duration mWrite = std::chrono::seconds(60);
};

/// One request of a caller whose head has been read.
class caller_exchange
{
public:
  caller_exchange(request_head aHead,
                  timed_socket& aSocket,
                  buffered_reader& aReader,
                  duration aBodyTimeout);

  const request_head& Head() const { return mHead; }
  int Descriptor() const { return mSocket.Descriptor(); }

  /// Reads the whole body, in at most the time that is allowed for it. Answers
  /// `Expect: 100-continue` first.
  std::optional<read_error> ReadBody(body_buffer& aBody);

  /// False while a body is unread: the next request cannot be found then.
  bool IsBodyRead() const { return mIsBodyRead; }

private:
  request_head mHead;
  timed_socket& mSocket;
  buffered_reader& mReader;
  duration mBodyTimeout;
  bool mIsBodyRead;
};

} // namespace cowslipline
