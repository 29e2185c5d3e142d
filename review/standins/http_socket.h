#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

/// A request or a response with its whole body.
struct http_message
{
  std::string mStartLine;
  std::map<std::string, std::string> mHeaders; ///< By lower-case name.
  std::string mBody;

  /// Empty when the header is missing.
  std::string Header(const std::string& aLowerName) const;
  /// Word of the start line, from 0: method, path, version.
  std::string Word(int aIndex) const;
  int Status() const;
};

/// A blocking TCP connection on loopback.
class http_socket
{
public:
  explicit http_socket(int aDescriptor);
  ~http_socket();
  http_socket(http_socket&& aOther) noexcept;
  http_socket& operator=(http_socket&& aOther) noexcept;
  http_socket(const http_socket&) = delete;
  http_socket& operator=(const http_socket&) = delete;

  /// Nothing when the connection is refused.
  static std::optional<http_socket> Connect(const std::string& aIp,
                                            std::uint16_t aPort);

  /// Waits for bytes, the end of the connection, or the time limit. True when
  /// there is something to read.
  bool WaitReadable(std::chrono::milliseconds aLimit) const;
  /// The other side has ended the connection and no bytes wait.
  bool HasEnded() const;
  /// The next message, which has a Content-Length or no body. Nothing when the
  /// connection ends first or the time is over.
  std::optional<http_message> Receive(time_point aDeadline);
  bool Send(std::string_view aBytes) const;
  /// The next close resets the connection.
  void ResetOnClose() const;
  void Close();

private:
  bool Fill(time_point aDeadline);

  int mDescriptor;
  std::string mBuffer;
};

/// A listening socket on loopback.
class http_listener
{
public:
  /// aPort 0: a free one.
  http_listener(const std::string& aIp, std::uint16_t aPort);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  std::uint16_t Port() const { return mPort; }
  /// The next connection; nothing within a tenth of a second.
  std::optional<http_socket> Accept() const;
  /// Refuses connections from now on.
  void Stop() const;

private:
  int mDescriptor;
  std::uint16_t mPort = 0;
};

/// A port that was free for TCP and UDP when asked for.
std::uint16_t
FindFreePort(const std::string& aIp);

} // namespace review
