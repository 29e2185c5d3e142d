#pragma once

#include <atomic>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cowslipline::testing {

/// A message as it came over a socket.
struct http_message
{
  std::string mHead; ///< With the empty line; empty when nothing came.
  std::string mBody;

  int Status() const;
  /// Value of a header in any case; empty when absent.
  std::string Header(std::string_view aName) const;
  bool HasHeader(std::string_view aName) const;
};

/// A socket for tests. Reads give up after 10 s, so that a fault fails a test
/// instead of stopping it.
class test_socket
{
public:
  explicit test_socket(int aDescriptor);
  static test_socket Connect(std::uint16_t aPort);
  test_socket(test_socket&& aOther) noexcept;
  ~test_socket() { Close(); }

  void Send(std::string_view aData);
  /// Reads one message with Content-Length; what follows stays buffered.
  http_message Receive(bool aHasBody = true);
  /// True when the other side has closed and sent nothing more.
  bool IsClosedByPeer();
  void Close();
  /// Closes with a reset.
  void Reset();
  int Descriptor() const { return mDescriptor; }

private:
  bool Fill();

  int mDescriptor;
  std::string mBuffer;
};

/// An upstream whose behaviour a test sets for each request.
class scripted_upstream
{
public:
  /// Called on the connection's thread; false closes the connection.
  using script = std::function<bool(const http_message&, test_socket&)>;

  /// Without aReadsBodies the script runs after the head.
  explicit scripted_upstream(script aScript = Echo, bool aReadsBodies = true);
  ~scripted_upstream();

  /// Answers with the request's body.
  static bool Echo(const http_message& aRequest, test_socket& aSocket);
  static std::string Answer(std::string_view aBody,
                            std::string_view aHeaders = {},
                            std::string_view aStatus = "200 OK");

  std::uint16_t Port() const { return mPort; }
  void SetScript(script aScript);
  std::vector<http_message> Seen() const;
  int Connections() const { return mConnections; }
  /// Connections that are closed again.
  int Closed() const { return mClosed; }

private:
  void Accept();
  void Serve(int aDescriptor);

  int mListener = -1;
  std::uint16_t mPort = 0;
  mutable std::mutex mMutex;
  script mScript;
  const bool mReadsBodies;
  std::vector<http_message> mSeen;
  std::vector<int> mOpen;
  std::vector<std::thread> mThreads;
  std::atomic<int> mConnections{ 0 };
  std::atomic<int> mClosed{ 0 };
  std::thread mAcceptor;
};

/// A port on which nothing listens.
std::uint16_t
ClosedPort();

/// Waits until the condition holds; false after 10 s.
bool
WaitUntil(const std::function<bool()>& aCondition);

} // namespace cowslipline::testing
