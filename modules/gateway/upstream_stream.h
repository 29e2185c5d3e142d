#pragma once

#include "modules/gateway/buffered_reader.h"

#include <string>

#include <httplib.h>

namespace cowslipline {

/// What came back from an upstream.
struct upstream_answer
{
  response_head mHead;
  body_buffer mBody;
};

/// What the HTTP library sees of a connection to an upstream. It writes the
/// request through this stream; the answer is read here, and the library gets
/// "204 No Content" in its place.
///
/// The library bounds each read but not the whole answer, decodes percent
/// signs in header values, and takes an answer that ends with its connection
/// for a whole one.
class upstream_stream final : public httplib::Stream
{
public:
  upstream_stream(timed_socket& aSocket,
                  upstream_answer& aAnswer,
                  bool aIsHeadRequest);

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char* aData, std::size_t aSize) override;
  /// Reports success even when the connection broke: an upstream may answer
  /// and close before it has taken the whole request.
  ssize_t write(const char* aData, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aAddress, int& aPort) const override;
  void get_local_ip_and_port(std::string& aAddress, int& aPort) const override;
  socket_t socket() const override { return mSocket.Descriptor(); }

  bool HasSent() const { return mHasSent; }
  /// True when the first byte of an answer has arrived.
  bool HasAnswer() const { return mHasAnswer; }
  /// Why there is no whole answer; nothing when there is one.
  std::optional<read_error> Error() const { return mError; }
  /// True when the connection may carry another exchange.
  bool IsReusable() const;

private:
  void Send(std::string_view aFirst, std::string_view aSecond);
  std::optional<read_error> ReadAnswer();
  std::optional<read_error> ReadFinalHead();
  bool HasAnswerBody() const;

  timed_socket& mSocket;
  buffered_reader mReader;
  upstream_answer& mAnswer;
  const bool mIsHeadRequest;
  std::string mCollected;
  std::optional<read_error> mError;
  std::optional<read_error> mWriteError;
  bool mHasSent = false;
  bool mHasAnswer = false;
  bool mIsAnswerRead = false;
  std::size_t mRead = 0;
};

} // namespace cowslipline
