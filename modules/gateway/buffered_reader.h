#pragma once

#include "core/http_head.h"
#include "modules/gateway/body_buffer.h"
#include "modules/gateway/timed_socket.h"

#include <optional>
#include <string>

namespace cowslipline {

enum class read_error
{
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  OverBudget,
  Closed, ///< The connection ended or broke.
  TimedOut,
  Canceled,
};

/// The error that a failed transfer stands for.
read_error
ToReadError(io_status aStatus);

/// Reads heads and bodies from a connection. Bytes after them stay buffered
/// for the next message.
class buffered_reader
{
public:
  explicit buffered_reader(timed_socket& aSocket)
    : mSocket(aSocket)
  {
  }

  bool HasBuffered() const { return mStart < mBuffer.size(); }

  /// The bytes of a head with its empty line.
  tl::expected<std::string, read_error> ReadHead(std::size_t aLimit);

  /// Adds the body to the buffer by the framing of its head.
  std::optional<read_error> ReadBody(const body_framing& aFraming,
                                     body_buffer& aBody);

private:
  std::optional<read_error> Fill();
  std::optional<read_error> ReadExactly(std::uint64_t aSize,
                                        body_buffer& aBody);
  std::optional<read_error> ReadChunks(body_buffer& aBody);
  std::optional<read_error> SkipTrailers();
  tl::expected<std::string, read_error> ReadLine(std::size_t aLimit);

  std::string_view Buffered() const;
  /// Takes bytes off the front without moving the rest: a body of one-byte
  /// chunks would move the whole buffer for each of them.
  void Consume(std::size_t aBytes);

  timed_socket& mSocket;
  std::string mBuffer;
  std::size_t mStart = 0;
};

} // namespace cowslipline
