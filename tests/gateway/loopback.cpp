#include "tests/gateway/loopback.h"

#include "core/http_head.h"

#include <array>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace cowslipline::testing {

namespace {

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

std::uint16_t
PortOf(int aDescriptor)
{
  auto address = Loopback(0);
  socklen_t size = sizeof(address);
  ::getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int
BindAnyPort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(0);
  (void)::bind(
    descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return descriptor;
}

std::string
FindHeader(std::string_view aHead, std::string_view aName, bool& aIsFound)
{
  while (!aHead.empty()) {
    const auto end = aHead.find("\r\n");
    const auto line = aHead.substr(0, end);
    const auto colon = line.find(": ");
    aIsFound = colon != line.npos && IsSameName(line.substr(0, colon), aName);
    if (aIsFound) {
      return std::string(line.substr(colon + 2));
    }
    aHead.remove_prefix(end == aHead.npos ? aHead.size() : end + 2);
  }
  return {};
}

} // namespace

int
http_message::Status() const
{
  return mHead.size() < 12 ? 0 : std::stoi(mHead.substr(9, 3));
}

std::string
http_message::Header(std::string_view aName) const
{
  bool isFound = false;
  return FindHeader(mHead, aName, isFound);
}

bool
http_message::HasHeader(std::string_view aName) const
{
  bool isFound = false;
  FindHeader(mHead, aName, isFound);
  return isFound;
}

test_socket::test_socket(int aDescriptor)
  : mDescriptor(aDescriptor)
{
  const timeval limit{ 10, 0 };
  ::setsockopt(mDescriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

test_socket
test_socket::Connect(std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(aPort);
  (void)::connect(
    descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return test_socket(descriptor);
}

test_socket::test_socket(test_socket&& aOther) noexcept
  : mDescriptor(aOther.mDescriptor)
  , mBuffer(std::move(aOther.mBuffer))
{
  aOther.mDescriptor = -1;
}

void
test_socket::Send(std::string_view aData)
{
  while (!aData.empty()) {
    const auto count =
      ::send(mDescriptor, aData.data(), aData.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    aData.remove_prefix(static_cast<std::size_t>(count));
  }
}

bool
test_socket::Fill()
{
  std::array<char, 65536> data;
  const auto count = ::recv(mDescriptor, data.data(), data.size(), 0);
  if (count <= 0) {
    return false;
  }
  mBuffer.append(data.data(), static_cast<std::size_t>(count));
  return true;
}

http_message
test_socket::Receive(bool aHasBody)
{
  http_message message;
  auto end = FindHeadEnd(mBuffer);
  while (!end) {
    if (!Fill()) {
      return message;
    }
    end = FindHeadEnd(mBuffer);
  }
  message.mHead = mBuffer.substr(0, *end);
  mBuffer.erase(0, *end);
  const auto length = message.Header("Content-Length");
  const auto size = aHasBody && !length.empty() ? std::stoul(length) : 0;
  while (mBuffer.size() < size && Fill()) {
  }
  message.mBody = mBuffer.substr(0, size);
  mBuffer.erase(0, size);
  return message;
}

bool
test_socket::IsClosedByPeer()
{
  char byte = 0;
  return mBuffer.empty() && ::recv(mDescriptor, &byte, 1, 0) == 0;
}

void
test_socket::Close()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
    mDescriptor = -1;
  }
}

void
test_socket::Reset()
{
  const linger now{ 1, 0 };
  ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

scripted_upstream::scripted_upstream(script aScript, bool aReadsBodies)
  : mListener(BindAnyPort())
  , mPort(PortOf(mListener))
  , mScript(std::move(aScript))
  , mReadsBodies(aReadsBodies)
{
  ::listen(mListener, 64);
  mAcceptor = std::thread([this] { Accept(); });
}

scripted_upstream::~scripted_upstream()
{
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  ::close(mListener);
  {
    const std::lock_guard lock(mMutex);
    for (const int descriptor : mOpen) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
}

void
scripted_upstream::Accept()
{
  while (true) {
    const int accepted = ::accept(mListener, nullptr, nullptr);
    if (accepted < 0) {
      return;
    }
    ++mConnections;
    const std::lock_guard lock(mMutex);
    mOpen.push_back(accepted);
    mThreads.emplace_back([this, accepted] { Serve(accepted); });
  }
}

void
scripted_upstream::Serve(int aDescriptor)
{
  test_socket socket(aDescriptor);
  bool isOpen = true;
  while (isOpen) {
    const auto request = socket.Receive(mReadsBodies);
    if (request.mHead.empty()) {
      break;
    }
    script current;
    {
      const std::lock_guard lock(mMutex);
      mSeen.push_back(request);
      current = mScript;
    }
    isOpen = current(request, socket);
  }
  const std::lock_guard lock(mMutex);
  for (auto& descriptor : mOpen) {
    descriptor = descriptor == aDescriptor ? -1 : descriptor;
  }
  socket.Close();
  ++mClosed;
}

bool
scripted_upstream::Echo(const http_message& aRequest, test_socket& aSocket)
{
  aSocket.Send(Answer(aRequest.mBody));
  return true;
}

std::string
scripted_upstream::Answer(std::string_view aBody,
                          std::string_view aHeaders,
                          std::string_view aStatus)
{
  std::string text = "HTTP/1.1 ";
  text.append(aStatus).append("\r\n").append(aHeaders);
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text.append(aBody);
}

void
scripted_upstream::SetScript(script aScript)
{
  const std::lock_guard lock(mMutex);
  mScript = std::move(aScript);
}

std::vector<http_message>
scripted_upstream::Seen() const
{
  const std::lock_guard lock(mMutex);
  return mSeen;
}

std::uint16_t
ClosedPort()
{
  const int descriptor = BindAnyPort();
  const auto port = PortOf(descriptor);
  ::close(descriptor);
  return port;
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 10'000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

} // namespace cowslipline::testing
