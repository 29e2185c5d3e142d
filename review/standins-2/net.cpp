#include "net.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in
AddressOf(const std::string& aAddress, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

} // namespace

std::string
message::Header(const std::string& aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string() : found->second;
}

int
message::Status() const
{
  const auto space = mFirstLine.find(' ');
  return space == std::string::npos
           ? 0
           : static_cast<int>(
               std::strtol(mFirstLine.c_str() + space, nullptr, 10));
}

double
Now()
{
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
    .count();
}

void
SleepFor(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

bool
connection::Write(std::string_view aText) const
{
  while (!aText.empty()) {
    const auto sent = ::send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
connection::Fill(double aUntil)
{
  constexpr int kForever = -1;
  constexpr double kMilliseconds = 1000;
  const double left = aUntil - Now();
  pollfd readable{ mSocket, POLLIN, 0 };
  const int wait = aUntil <= 0
                     ? kForever
                     : static_cast<int>(std::max(0.0, left) * kMilliseconds);
  if (::poll(&readable, 1, wait) != 1) {
    return false;
  }
  std::array<char, 16384> bytes{};
  const auto count = ::recv(mSocket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  mBuffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<message>
connection::Read(double aTimeout)
{
  const double until = aTimeout > 0 ? Now() + aTimeout : 0;
  std::size_t end = 0;
  while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
  }
  message read;
  std::size_t begin = 0;
  while (begin < end) {
    const auto lineEnd = std::min(mBuffer.find("\r\n", begin), end);
    const auto line = mBuffer.substr(begin, lineEnd - begin);
    const auto colon = line.find(": ");
    if (begin == 0) {
      read.mFirstLine = line;
    } else if (colon != std::string::npos) {
      read.mHeaders[Lower(line.substr(0, colon))] = line.substr(colon + 2);
    }
    begin = lineEnd + 2;
  }
  const auto length = static_cast<std::size_t>(
    std::strtoul(read.Header("content-length").c_str(), nullptr, 10));
  const auto whole = end + 4 + length;
  while (mBuffer.size() < whole) {
    if (!Fill(until)) {
      return std::nullopt;
    }
  }
  read.mBody = mBuffer.substr(end + 4, length);
  mBuffer.erase(0, whole);
  return read;
}

std::size_t
connection::ReadSome(std::string& aTo, std::size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  const auto count = ::recv(mSocket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return 0;
  }
  aTo.append(bytes, 0, static_cast<std::size_t>(count));
  return static_cast<std::size_t>(count);
}

void
connection::Close()
{
  if (mSocket >= 0) {
    ::close(mSocket);
    mSocket = -1;
  }
}

int
Connect(const std::string& aAddress, std::uint16_t aPort, int aReceiveBytes)
{
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (aReceiveBytes > 0) {
    ::setsockopt(
      made, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  const auto address = AddressOf(aAddress, aPort);
  if (::connect(made,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(made);
    return -1;
  }
  return made;
}

std::string
RenderHead(const std::string& aFirstLine, const headers& aHeaders)
{
  std::string text = aFirstLine + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "\r\n";
}

server::server(const std::string& aAddress,
               std::uint16_t aPort,
               handler aHandler)
  : mHandler(std::move(aHandler))
{
  constexpr int kBacklog = 256;
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = AddressOf(aAddress, aPort);
  if (::bind(mListener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(mListener, kBacklog) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  std::thread([this] {
    while (true) {
      const int accepted = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (mIsStopped || accepted < 0) {
        ::close(accepted);
        return;
      }
      const int noDelay = 1;
      ::setsockopt(
        accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
      std::thread([this, accepted] {
        connection served(accepted);
        mHandler(served);
      }).detach();
    }
  }).detach();
}

void
server::Stop()
{
  mIsStopped = true;
  ::shutdown(mListener, SHUT_RDWR);
  ::close(mListener);
}

std::uint16_t
FreePort()
{
  // Below the ports that the system gives to outgoing connections.
  constexpr int kFirst = 20'000;
  constexpr int kCount = 10'000;
  constexpr int kStep = 61;
  static std::atomic<int> next{ ::getpid() * kStep };
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    const auto address = AddressOf("127.0.0.1", port);
    bool isFree = true;
    for (const int kind : { SOCK_STREAM, SOCK_DGRAM }) {
      const int tried = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
      isFree = ::bind(tried,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0 &&
               isFree;
      ::close(tried);
    }
    if (isFree) {
      return port;
    }
  }
}

} // namespace review
