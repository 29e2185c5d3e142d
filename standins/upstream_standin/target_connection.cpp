#include "standins/upstream_standin/target_connection.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cowslipline::standin {

namespace {

constexpr std::size_t kHeadBytes = 65'536;
constexpr std::size_t kBodyBytes = std::size_t(80) << 20;

std::string
LowerOf(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

std::optional<received_request>
ParseHead(const std::string& aHead)
{
  received_request request;
  auto end = aHead.find("\r\n");
  const auto line = aHead.substr(0, end);
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == line.npos || first == last) {
    return std::nullopt;
  }
  request.mMethod = line.substr(0, first);
  request.mTarget = line.substr(first + 1, last - first - 1);
  while (end + 4 < aHead.size()) {
    const auto start = end + 2;
    end = aHead.find("\r\n", start);
    const auto field = aHead.substr(start, end - start);
    const auto colon = field.find(':');
    if (colon == field.npos) {
      return std::nullopt;
    }
    const auto value = field.find_first_not_of(' ', colon + 1);
    request.mHeaders[LowerOf(field.substr(0, colon))] =
      value == field.npos ? "" : field.substr(value);
  }
  return request;
}

} // namespace

std::string
received_request::Header(const std::string& aLowerName) const
{
  const auto found = mHeaders.find(aLowerName);
  return found == mHeaders.end() ? "" : found->second;
}

target_connection::~target_connection()
{
  ::close(mDescriptor);
}

bool
target_connection::Fill()
{
  std::array<char, 65'536> data;
  const auto count = ::recv(mDescriptor, data.data(), data.size(), 0);
  if (count <= 0) {
    return false;
  }
  mBuffer.append(data.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<received_request>
target_connection::Receive()
{
  auto end = mBuffer.find("\r\n\r\n");
  while (end == mBuffer.npos) {
    if (mBuffer.size() > kHeadBytes || !Fill()) {
      return std::nullopt;
    }
    end = mBuffer.find("\r\n\r\n");
  }
  auto request = ParseHead(mBuffer.substr(0, end + 4));
  mBuffer.erase(0, end + 4);
  if (!request) {
    return std::nullopt;
  }
  const auto size =
    std::strtoull(request->Header("content-length").c_str(), nullptr, 10);
  if (size > kBodyBytes) {
    return std::nullopt;
  }
  while (mBuffer.size() < size) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  request->mBody = mBuffer.substr(0, size);
  mBuffer.erase(0, size);
  return request;
}

bool
target_connection::Send(std::string_view aBytes)
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

bool
target_connection::WaitForEnd(int aMilliseconds) const
{
  pollfd wait{ mDescriptor, POLLRDHUP, 0 };
  return ::poll(&wait, 1, aMilliseconds) > 0;
}

void
target_connection::ResetOnClose()
{
  const linger now{ 1, 0 };
  ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

} // namespace cowslipline::standin
