#include "review/standins/http_socket.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kBacklog = 512;
constexpr int kAcceptWaitMs = 100;

sockaddr_in
AddressOf(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

int
BindSocket(const std::string& aIp, std::uint16_t aPort, int aType)
{
  const int descriptor = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const int isOn = 1;
  if (aType == SOCK_STREAM) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  }
  const auto address = AddressOf(aIp, aPort);
  if (::bind(descriptor,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

std::uint16_t
PortOf(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string
LowerOf(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

http_message
ParseHead(const std::string& aHead)
{
  http_message message;
  auto end = aHead.find("\r\n");
  message.mStartLine = aHead.substr(0, end);
  while (end + 4 < aHead.size()) {
    const auto start = end + 2;
    end = aHead.find("\r\n", start);
    const auto line = aHead.substr(start, end - start);
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.mHeaders[LowerOf(line.substr(0, colon))] =
      value == std::string::npos ? "" : line.substr(value);
  }
  return message;
}

} // namespace

std::string
http_message::Header(const std::string& aLowerName) const
{
  const auto found = mHeaders.find(aLowerName);
  return found == mHeaders.end() ? "" : found->second;
}

std::string
http_message::Word(int aIndex) const
{
  std::size_t start = 0;
  for (int i = 0; i < aIndex; ++i) {
    const auto space = mStartLine.find(' ', start);
    if (space == std::string::npos) {
      return "";
    }
    start = space + 1;
  }
  return mStartLine.substr(start, mStartLine.find(' ', start) - start);
}

int
http_message::Status() const
{
  return std::atoi(Word(1).c_str());
}

http_socket::http_socket(int aDescriptor)
  : mDescriptor(aDescriptor)
{
  const int isOn = 1;
  ::setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
}

http_socket::~http_socket()
{
  Close();
}

http_socket::http_socket(http_socket&& aOther) noexcept
  : mDescriptor(std::exchange(aOther.mDescriptor, -1))
  , mBuffer(std::move(aOther.mBuffer))
{
}

http_socket&
http_socket::operator=(http_socket&& aOther) noexcept
{
  if (this != &aOther) {
    Close();
    mDescriptor = std::exchange(aOther.mDescriptor, -1);
    mBuffer = std::move(aOther.mBuffer);
  }
  return *this;
}

std::optional<http_socket>
http_socket::Connect(const std::string& aIp, std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = AddressOf(aIp, aPort);
  if (::connect(descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return std::nullopt;
  }
  return http_socket(descriptor);
}

bool
http_socket::WaitReadable(std::chrono::milliseconds aLimit) const
{
  pollfd wait{ mDescriptor, POLLIN, 0 };
  return ::poll(&wait, 1, static_cast<int>(aLimit.count())) > 0;
}

bool
http_socket::HasEnded() const
{
  char byte = 0;
  const auto count = ::recv(mDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
http_socket::Fill(time_point aDeadline)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - clock_type::now());
  if (left.count() <= 0 || !WaitReadable(left)) {
    return false;
  }
  std::array<char, 65'536> data;
  const auto count = ::recv(mDescriptor, data.data(), data.size(), 0);
  if (count <= 0) {
    return false;
  }
  mBuffer.append(data.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<http_message>
http_socket::Receive(time_point aDeadline)
{
  auto end = mBuffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(aDeadline)) {
      return std::nullopt;
    }
    end = mBuffer.find("\r\n\r\n");
  }
  auto message = ParseHead(mBuffer.substr(0, end + 4));
  mBuffer.erase(0, end + 4);
  const auto length =
    std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
  while (mBuffer.size() < length) {
    if (!Fill(aDeadline)) {
      return std::nullopt;
    }
  }
  message.mBody = mBuffer.substr(0, length);
  mBuffer.erase(0, length);
  return message;
}

bool
http_socket::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const auto count =
      ::send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void
http_socket::ResetOnClose() const
{
  const linger now{ 1, 0 };
  ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void
http_socket::Close()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
    mDescriptor = -1;
  }
}

http_listener::http_listener(const std::string& aIp, std::uint16_t aPort)
  : mDescriptor(BindSocket(aIp, aPort, SOCK_STREAM))
{
  if (mDescriptor >= 0) {
    ::listen(mDescriptor, kBacklog);
    mPort = PortOf(mDescriptor);
  }
}

http_listener::~http_listener()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
  }
}

std::optional<http_socket>
http_listener::Accept() const
{
  pollfd wait{ mDescriptor, POLLIN, 0 };
  if (::poll(&wait, 1, kAcceptWaitMs) <= 0) {
    return std::nullopt;
  }
  const int accepted = ::accept4(mDescriptor, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0) {
    return std::nullopt;
  }
  return http_socket(accepted);
}

void
http_listener::Stop() const
{
  ::shutdown(mDescriptor, SHUT_RDWR);
}

std::uint16_t
FindFreePort(const std::string& aIp)
{
  constexpr int kTries = 50;
  for (int i = 0; i < kTries; ++i) {
    const int tcp = BindSocket(aIp, 0, SOCK_STREAM);
    const auto port = PortOf(tcp);
    const int udp = BindSocket(aIp, port, SOCK_DGRAM);
    ::close(tcp);
    if (udp >= 0) {
      ::close(udp);
      return port;
    }
  }
  return 0;
}

} // namespace review
