#include "modules/gateway/timed_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace cowslipline {

namespace {

/// Longest single poll(); the deadline may be "never".
constexpr std::chrono::milliseconds kLongestPoll = std::chrono::minutes(1);

int
MillisecondsUntil(steady_time aDeadline)
{
  const auto now = ReadBootClock();
  if (aDeadline <= now) {
    return 0;
  }
  if (aDeadline - now >= kLongestPoll) {
    return static_cast<int>(kLongestPoll.count());
  }
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(duration(aDeadline - now));
  return static_cast<int>(left.count());
}

bool
IsTransient(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

/// Both parts from the given offset on.
std::array<iovec, 2>
Remaining(std::string_view aFirst, std::string_view aSecond, std::size_t aDone)
{
  const auto first = aFirst.substr(std::min(aDone, aFirst.size()));
  const auto second =
    aSecond.substr(aDone > aFirst.size() ? aDone - aFirst.size() : 0);
  const auto part = [](std::string_view aText) {
    return iovec{ const_cast<char*>(aText.data()), aText.size() };
  };
  return { part(first), part(second) };
}

} // namespace

io_status
timed_socket::WaitFor(short aEvents) const
{
  while (true) {
    std::array<pollfd, 2> waits{ { { mDescriptor, aEvents, 0 },
                                   { mWatched, POLLRDHUP, 0 } } };
    const int count =
      ::poll(waits.data(), waits.size(), MillisecondsUntil(mDeadline));
    if (count < 0 && errno != EINTR) {
      return io_status::Reset;
    }
    if (waits[0].revents != 0) {
      return io_status::Done;
    }
    if (waits[1].revents != 0) {
      return io_status::Canceled;
    }
    if (count == 0 && ReadBootClock() >= mDeadline) {
      return io_status::TimedOut;
    }
  }
}

io_result
timed_socket::Read(char* aData, std::size_t aSize)
{
  while (true) {
    const auto status = WaitFor(POLLIN);
    if (status != io_status::Done) {
      return { status, 0 };
    }
    const auto count = ::recv(mDescriptor, aData, aSize, MSG_DONTWAIT);
    if (count > 0) {
      return { io_status::Done, static_cast<std::size_t>(count) };
    }
    if (count == 0) {
      return { io_status::Closed, 0 };
    }
    if (!IsTransient(errno)) {
      return { io_status::Reset, 0 };
    }
  }
}

io_result
timed_socket::WriteAll(std::string_view aFirst, std::string_view aSecond)
{
  const auto total = aFirst.size() + aSecond.size();
  std::size_t done = 0;
  while (done < total) {
    auto parts = Remaining(aFirst, aSecond, done);
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const auto count =
      ::sendmsg(mDescriptor, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      done += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && !IsTransient(errno)) {
      return { io_status::Reset, done };
    }
    const auto status =
      WaitFor(mEndsWritesOnInput ? POLLOUT | POLLIN : POLLOUT);
    if (status != io_status::Done) {
      return { status, done };
    }
    if (mEndsWritesOnInput && IsReadable()) {
      return { io_status::Answered, done };
    }
  }
  return { io_status::Done, done };
}

bool
timed_socket::IsReadable() const
{
  pollfd wait{ mDescriptor, POLLIN | POLLRDHUP, 0 };
  return ::poll(&wait, 1, 0) != 0;
}

bool
HasPeerLeft(int aDescriptor)
{
  pollfd wait{ aDescriptor, POLLRDHUP, 0 };
  return ::poll(&wait, 1, 0) > 0;
}

} // namespace cowslipline
