#include "modules/gateway/connection_registry.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cowslipline {

namespace {

/// Wait on a connection that shall end soon. One that was accepted just before
/// the instance stops may have its first request on the way.
constexpr duration kShortWait = std::chrono::milliseconds(100);

} // namespace

void
connection_registry::Enter(int aDescriptor)
{
  const std::lock_guard lock(mMutex);
  entry added;
  added.mWake = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  mEntries[aDescriptor] = added;
}

void
connection_registry::Leave(int aDescriptor)
{
  const std::lock_guard lock(mMutex);
  const auto found = mEntries.find(aDescriptor);
  if (found != mEntries.end()) {
    ::close(found->second.mWake);
    mEntries.erase(found);
  }
}

bool
connection_registry::WaitForInput(int aDescriptor,
                                  duration aTimeout,
                                  const std::function<bool()>& aNeedsRoom)
{
  std::array<pollfd, 2> waits{ { { aDescriptor, POLLIN, 0 },
                                 { MarkIdle(aDescriptor), POLLIN, 0 } } };
  const bool isShort = waits[1].fd < 0 || aNeedsRoom();
  const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(
    isShort ? std::min(aTimeout, kShortWait) : aTimeout);
  while (::poll(waits.data(), waits.size(), static_cast<int>(timeout.count())) <
           0 &&
         errno == EINTR) {
  }
  MarkBusy(aDescriptor);
  return waits[0].revents != 0;
}

int
connection_registry::MarkIdle(int aDescriptor)
{
  const std::lock_guard lock(mMutex);
  auto& state = mEntries[aDescriptor];
  if (mIsStopping) {
    return -1;
  }
  state.mIsIdle = true;
  state.mIdleOrder = mNextOrder++;
  return state.mWake;
}

void
connection_registry::MarkBusy(int aDescriptor)
{
  const std::lock_guard lock(mMutex);
  mEntries[aDescriptor].mIsIdle = false;
}

void
connection_registry::Wake(entry& aEntry)
{
  aEntry.mIsIdle = false;
  ::eventfd_write(aEntry.mWake, 1);
}

void
connection_registry::EndLongestIdle()
{
  const std::lock_guard lock(mMutex);
  auto longest = mEntries.end();
  for (auto it = mEntries.begin(); it != mEntries.end(); ++it) {
    if (it->second.mIsIdle &&
        (longest == mEntries.end() ||
         it->second.mIdleOrder < longest->second.mIdleOrder)) {
      longest = it;
    }
  }
  if (longest != mEntries.end()) {
    Wake(longest->second);
  }
}

void
connection_registry::StopIdle()
{
  const std::lock_guard lock(mMutex);
  mIsStopping = true;
  for (auto& [descriptor, state] : mEntries) {
    if (state.mIsIdle) {
      Wake(state);
    }
  }
}

bool
connection_registry::IsStopping() const
{
  const std::lock_guard lock(mMutex);
  return mIsStopping;
}

void
connection_registry::BreakAll()
{
  const std::lock_guard lock(mMutex);
  for (const auto& [descriptor, state] : mEntries) {
    ::shutdown(descriptor, SHUT_RDWR);
  }
}

std::size_t
connection_registry::Count() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

} // namespace cowslipline
