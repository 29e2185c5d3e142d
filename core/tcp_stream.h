#pragma once

#include "core/result.h"
#include "core/scheduler.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

namespace cowslipline {

using tcp_endpoint = asio::ip::tcp::endpoint;

/// Parses "IP:PORT". Errors: errc::MessageMalformed.
result<tcp_endpoint>
ParseIpEndpoint(std::string_view aText);

/// A TCP connection for one task, with a deadline on every operation and a
/// buffer for bytes that were read ahead. Errors are those of the socket
/// (asio::error::eof for an orderly end) and errc::Timeout.
class tcp_stream
{
public:
  explicit tcp_stream(asio::io_context& aContext);
  explicit tcp_stream(asio::ip::tcp::socket aSocket);
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  result<void> Connect(const tcp_endpoint& aEndpoint,
                       steady_time aDeadline,
                       yield_context aYield);

  /// Writes everything or fails; BytesWritten() tells how far it got.
  result<void> Write(const std::vector<asio::const_buffer>& aBuffers,
                     steady_time aDeadline,
                     yield_context aYield);

  /// Starts to write the buffers while the task goes on, without a deadline of
  /// its own. aOwner keeps their memory until the write has ended. One write at
  /// a time.
  void StartWriting(const std::vector<asio::const_buffer>& aBuffers,
                    std::shared_ptr<const void> aOwner);
  /// False while a started write goes on, and after it has failed.
  bool HasWrittenAll() const { return !mIsWriting && !mWriteError; }

  /// Reads at least one byte more into the buffer. The end of a connection on
  /// which a started write has failed is the error of that write, unless the
  /// other side had ended its direction before.
  result<void> Fill(steady_time aDeadline, yield_context aYield);

  /// Takes the bytes that have arrived into the buffer without waiting. Errors:
  /// those of the socket; none when nothing has arrived.
  result<void> FillWithoutWaiting();

  /// Waits until bytes, an end or an error can be read. Does not read.
  result<void> WaitReadable(steady_time aDeadline, yield_context aYield);

  std::string_view Buffered() const;
  void Consume(std::size_t aBytes);

  /// True while an idle connection has neither sent bytes nor ended.
  bool IsQuiet();
  /// True when the other side has ended or reset the connection and no bytes
  /// wait in front of that.
  bool HasEnded();

  std::uint64_t BytesWritten() const { return mBytesWritten; }
  bool IsOpen() const { return mSocket.is_open(); }
  /// Pending operations fail with asio::error::operation_aborted.
  void Close();
  /// Ends the sending direction; the other side reads the end after all bytes.
  void EndSending();

  asio::ip::tcp::socket& Socket() { return mSocket; }

private:
  /// Cancels the pending operation at the deadline.
  void ArmTimer(steady_time aDeadline);
  result<void> Finish(const asio::error_code& aError);

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  /// Outlives the stream in the timer's handlers; false once it is destroyed.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  steady_time mDeadline = steady_time::max();
  bool mIsTimedOut = false;
  std::uint64_t mTimerRound = 0;
  std::uint64_t mBytesWritten = 0;
  bool mIsWriting = false;
  asio::error_code mWriteError; ///< Of a started write.
  std::string mBuffer;
  std::size_t mStart = 0;
};

} // namespace cowslipline
