#include "modules/sync/registration.h"

#include "core/log.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// The lease may be long, because the other instances skip one that does not
// reply after it ended without leaving. Each renewal is a call to the store
// that is charged for.
constexpr duration kLeaseTimeToLive = 6s;
constexpr duration kRenewInterval = 2s;
constexpr duration kRetryWait = 700ms;

} // namespace

void
registration::Run(yield_context aYield)
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
    const auto renewed = mFeed.RenewLease(*mLease, aYield);
    if (!renewed && renewed.error() == errc::NotFound) {
      Log(log_level::Warn,
          "registration_lapsed",
          { { "lease", std::to_string(mLease->mId) },
            { "generation", std::to_string(mLease->mGeneration) } });
      mLease.reset();
      continue;
    }
    mWakeUp.Wait(mScheduler, renewed ? kRenewInterval : kRetryWait, aYield);
  }
}

void
registration::Deregister(yield_context aYield)
{
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
