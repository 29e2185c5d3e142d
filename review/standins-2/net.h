#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using headers = std::map<std::string, std::string>;

/// One request or answer. Header names are in lower case.
struct message
{
  std::string mFirstLine;
  headers mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const;
  /// Of an answer; 0 for what is none.
  int Status() const;
};

/// Seconds since the start of the program, on the steady clock.
double
Now();

void
SleepFor(double aSeconds);

/// A TCP connection. Reads and writes block.
class connection
{
public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { Close(); }

  bool Write(std::string_view aText) const;
  /// std::nullopt when the peer has ended the connection or aTimeout (in
  /// seconds, 0 for none) has passed first.
  std::optional<message> Read(double aTimeout);
  /// Reads at most aBytes of what has come; 0 at the end or after an error.
  std::size_t ReadSome(std::string& aTo, std::size_t aBytes);
  void Close();
  int Socket() const { return mSocket; }

private:
  bool Fill(double aUntil);

  int mSocket;
  std::string mBuffer;
};

/// aReceiveBytes: size of the receive buffer, 0 for the usual one.
int
Connect(const std::string& aAddress, std::uint16_t aPort, int aReceiveBytes);

std::string
RenderHead(const std::string& aFirstLine, const headers& aHeaders);

/// Serves each connection on a thread of its own.
class server
{
public:
  using handler = std::function<void(connection&)>;

  server(const std::string& aAddress, std::uint16_t aPort, handler aHandler);

  /// Stops accepting; connections are reset by their handlers.
  void Stop();

private:
  int mListener = -1;
  std::atomic<bool> mIsStopped{ false };
  handler mHandler;
};

/// A free port of 127.0.0.1, for TCP and UDP.
std::uint16_t
FreePort();

} // namespace review
