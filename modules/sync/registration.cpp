#include "modules/sync/registration.h"

#include "core/log.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// The lease may be long, because the other instances skip one that does not
// reply after it ended without leaving. Each renewal is a call to the store
// that is charged for. After a renewal without an answer (1.2 s) there is time
// for a second one before the lease ends.
constexpr duration kLeaseTimeToLive = 6s;
constexpr duration kRenewInterval = 2800ms;
constexpr duration kRetryWait = 700ms;

// Within this time all instances have read a store that has come back from a
// copy; then it is left to register again before the others miss this one.
constexpr duration kRestoredReadWait = 1200ms;

} // namespace

void
registration::Run(yield_context aYield)
{
  mIsRunning = true;
  KeepRegistered(aYield);
  mIsRunning = false;
  mRunEnded.Set();
}

void
registration::Stop()
{
  mIsStopped = true;
  mWakeUp.Set();
}

void
registration::KeepRegistered(yield_context aYield)
{
  while (!mIsStopped) {
    if (!mLease) {
      const auto lease = mFeed.GrantLease(kLeaseTimeToLive, aYield);
      if (lease && mFeed.Register(mSelf, *lease, aYield)) {
        mLease = *lease;
        Log(log_level::Info,
            "registered",
            { { "lease", std::to_string(lease->mId) },
              { "generation", std::to_string(lease->mGeneration) } });
      }
      mWakeUp.Wait(mScheduler, mLease ? kRenewInterval : kRetryWait, aYield);
      continue;
    }
    // A copy: a restored store replaces it while the reply is awaited.
    const auto lease = *mLease;
    const auto renewed = mFeed.RenewLease(lease, aYield);
    const bool isOfLaterGeneration =
      !renewed && renewed.error() == errc::HistoryLost;
    const bool hasEnded = (!renewed && renewed.error() == errc::NotFound) ||
                          (isOfLaterGeneration && mIsLeaseDoubtful);
    mIsLeaseDoubtful = isOfLaterGeneration && !hasEnded;
    if (hasEnded) {
      Log(log_level::Warn,
          "registration_lapsed",
          { { "lease", std::to_string(lease.mId) },
            { "generation", std::to_string(lease.mGeneration) } });
      mLease.reset();
      continue;
    }
    const auto retry = mIsLeaseDoubtful ? kRestoredReadWait : kRetryWait;
    mWakeUp.Wait(mScheduler, renewed ? kRenewInterval : retry, aYield);
  }
}

void
registration::OnStoreRestored(const store_lease& aListed)
{
  if (mLease && aListed.mId != 0 && aListed.mId == mLease->mId) {
    mLease = aListed;
    mIsLeaseDoubtful = false;
    return;
  }
  mIsLeaseDoubtful = true;
  mWakeUp.Set();
}

void
registration::Deregister(yield_context aYield)
{
  Stop();
  while (mIsRunning) {
    mRunEnded.Wait(mScheduler, kRenewInterval, aYield);
  }
  if (!mLease) {
    return;
  }
  const auto removed = mFeed.Unregister(mSelf, aYield);
  if (!removed) {
    Log(log_level::Info,
        "lease_left_to_lapse",
        { { "reason", removed.error().message() } });
  }
  mLease.reset();
}

} // namespace cowslipline
