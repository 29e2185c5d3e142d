#include "modules/sync/registration.h"

#include "core/log.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// An instance that ended without notice is passed over by those who ask it, so
// the lease may be long; renewals are paid for.
constexpr duration kTimeToLive = 6s;
constexpr duration kRenewEvery = 2s;
constexpr duration kRetryWait = 700ms;

} // namespace

void
registration::Run(yield_context aYield)
{
  while (!mIsStopped) {
    if (!mLease) {
      const auto lease = mFeed.GrantLease(kTimeToLive, aYield);
      if (lease && mFeed.Register(mSelf, *lease, aYield)) {
        mLease = *lease;
        Log(log_level::Info,
            "registered",
            { { "lease", std::to_string(*lease) } });
      }
      mScheduler.SleepFor(mLease ? kRenewEvery : kRetryWait, aYield);
      continue;
    }
    const auto renewed = mFeed.RenewLease(*mLease, aYield);
    if (!renewed && renewed.error() == errc::NotFound) {
      Log(log_level::Warn,
          "registration_lapsed",
          { { "lease", std::to_string(*mLease) } });
      mLease.reset();
      continue;
    }
    mScheduler.SleepFor(renewed ? kRenewEvery : kRetryWait, aYield);
  }
}

void
registration::Leave(yield_context aYield)
{
  if (!mLease) {
    return;
  }
  const auto ended = mFeed.EndLease(*mLease, aYield);
  if (!ended) {
    Log(log_level::Info,
        "lease_left_to_lapse",
        { { "reason", ended.error().message() } });
  }
  mLease.reset();
}

} // namespace cowslipline
