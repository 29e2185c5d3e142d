#include "modules/gateway/upstream_client.h"

#include <algorithm>
#include <new>

namespace cowslipline {

namespace {

constexpr duration kDropInterval = std::chrono::seconds(1);

} // namespace

upstream_client::upstream_client(upstream_client_options aOptions,
                                 body_budget& aBudget)
  : mOptions(aOptions)
  , mBudget(aBudget)
{
}

result<upstream_result>
upstream_client::Exchange(const upstream_endpoint& aEndpoint,
                          const upstream_request& aRequest)
{
  const auto key = aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
  if (!Reserve(key, aRequest, aEndpoint.mConnections)) {
    return Fail(errc::Overloaded);
  }
  auto connection = aRequest.mIsIdempotent ? TakeIdle(key) : nullptr;
  auto answered = ExchangeOn(connection, aEndpoint, aRequest);
  GiveBack(key, std::move(connection), answered.mClass);
  return answered;
}

upstream_result
upstream_client::ExchangeOn(connection_pointer& aConnection,
                            const upstream_endpoint& aEndpoint,
                            const upstream_request& aRequest)
{
  const auto timeout = mOptions.mConnectTimeout;
  try {
    if (aConnection != nullptr) {
      auto answered = aConnection->Exchange(aRequest, mBudget, timeout);
      if (!aConnection->IsStale()) {
        return answered;
      }
    }
    aConnection =
      std::make_unique<upstream_connection>(aEndpoint.mHost, aEndpoint.mPort);
    return aConnection->Exchange(aRequest, mBudget, timeout);
  } catch (const std::bad_alloc&) {
    // Nothing is known about how far the exchange came.
    aConnection.reset();
    upstream_result failed;
    failed.mClass = attempt_class::Canceled;
    failed.mHasSent = true;
    failed.mIsOverBudget = true;
    return failed;
  }
}

bool
upstream_client::Reserve(const std::string& aKey,
                         const upstream_request& aRequest,
                         std::size_t aBound)
{
  std::unique_lock lock(mMutex);
  const auto isFree = [&] { return mPools[aKey].mInUse < aBound; };
  if (!mReleased.wait_for(lock, aRequest.mDeadline - ReadBootClock(), isFree)) {
    return false;
  }
  auto& target = mPools[aKey];
  ++target.mInUse;
  // A new connection may be needed although idle ones fill the bound.
  while (target.mIdle.size() + target.mInUse > aBound &&
         !target.mIdle.empty() && !aRequest.mIsIdempotent) {
    target.mIdle.pop_back();
  }
  return true;
}

upstream_client::connection_pointer
upstream_client::TakeIdle(const std::string& aKey)
{
  const auto now = ReadBootClock();
  std::list<idle_connection> dropped; // Closed after the lock is released.
  const std::lock_guard lock(mMutex);
  auto& target = mPools[aKey];
  while (!target.mIdle.empty()) {
    auto idle = std::move(target.mIdle.front());
    target.mIdle.pop_front();
    const bool isUsable = now - idle.mSince < mOptions.mIdleTime &&
                          idle.mConnection->OpenedAt() > target.mSilentUntil &&
                          idle.mConnection->IsQuiet();
    if (isUsable) {
      return std::move(idle.mConnection);
    }
    dropped.push_back(std::move(idle));
  }
  return nullptr;
}

void
upstream_client::GiveBack(const std::string& aKey,
                          connection_pointer aConnection,
                          attempt_class aClass)
{
  const auto now = ReadBootClock();
  {
    const std::lock_guard lock(mMutex);
    auto& target = mPools[aKey];
    --target.mInUse;
    if (aConnection == nullptr) {
      return;
    }
    if (aClass == attempt_class::Timeout) {
      target.mSilentUntil =
        std::max(target.mSilentUntil, aConnection->OpenedAt());
    }
    if (aConnection->IsReusable()) {
      target.mIdle.push_front({ std::move(aConnection), now });
    }
    DropExpired(now);
  }
  mReleased.notify_one();
}

void
upstream_client::DropExpired(steady_time aNow)
{
  if (aNow - mLastDrop < kDropInterval) {
    return;
  }
  mLastDrop = aNow;
  for (auto it = mPools.begin(); it != mPools.end();) {
    auto& target = it->second;
    target.mIdle.remove_if([&](const idle_connection& aIdle) {
      return aNow - aIdle.mSince >= mOptions.mIdleTime;
    });
    const bool isUnused = target.mIdle.empty() && target.mInUse == 0;
    it = isUnused ? mPools.erase(it) : std::next(it);
  }
}

std::size_t
upstream_client::IdleConnections() const
{
  const std::lock_guard lock(mMutex);
  std::size_t count = 0;
  for (const auto& [key, target] : mPools) {
    count += target.mIdle.size();
  }
  return count;
}

} // namespace cowslipline
