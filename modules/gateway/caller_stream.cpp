#include "modules/gateway/caller_stream.h"

#include <algorithm>
#include <cstring>

namespace cowslipline {

namespace {

constexpr std::size_t kCollectedBytes = 16'384;

} // namespace

caller_stream::caller_stream(timed_socket& aSocket, bool aIsHead)
  : mSocket(aSocket)
  , mHead(aIsHead ? "HEAD / HTTP/1.1\r\n\r\n" : "GET / HTTP/1.1\r\n\r\n")
{
}

ssize_t
caller_stream::read(char* aData, std::size_t aSize)
{
  const auto count = std::min(aSize, mHead.size() - mRead);
  std::memcpy(aData, mHead.data() + mRead, count);
  mRead += count;
  return static_cast<ssize_t>(count);
}

ssize_t
caller_stream::write(const char* aData, std::size_t aSize)
{
  if (mHasFailed) {
    return -1;
  }
  const std::string_view data(aData, aSize);
  if (mCollected.size() + aSize <= kCollectedBytes) {
    mCollected.append(data);
    return static_cast<ssize_t>(aSize);
  }
  mHasFailed = mSocket.WriteAll(mCollected, data).mStatus != io_status::Done;
  mCollected.clear();
  return mHasFailed ? -1 : static_cast<ssize_t>(aSize);
}

void
caller_stream::get_remote_ip_and_port(std::string& aAddress, int& aPort) const
{
  aAddress.clear();
  aPort = 0;
}

void
caller_stream::get_local_ip_and_port(std::string& aAddress, int& aPort) const
{
  aAddress.clear();
  aPort = 0;
}

bool
caller_stream::Flush()
{
  if (!mHasFailed && !mCollected.empty()) {
    mHasFailed = mSocket.WriteAll(mCollected).mStatus != io_status::Done;
    mCollected.clear();
  }
  return !mHasFailed;
}

} // namespace cowslipline
