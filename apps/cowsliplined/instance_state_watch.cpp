#include "apps/cowsliplined/instance_state_watch.h"

namespace cowslipline {

namespace {

constexpr duration kPeriod = std::chrono::milliseconds(100);

// An instance that gets no units, because the store is away, serves after this
// time with the tokens of the owners.
constexpr duration kLongestWaitForUnits = std::chrono::seconds(10);

} // namespace

instance_state_watch::instance_state_watch(
  std::shared_ptr<scheduler> aScheduler,
  std::shared_ptr<configuration_distributor> aDistributor,
  std::shared_ptr<rate_limiter> aLimiter)
  : mScheduler(std::move(aScheduler))
  , mDistributor(std::move(aDistributor))
  , mLimiter(std::move(aLimiter))
  , mStartedAt(mScheduler->Now())
{
}

readiness
instance_state_watch::Current()
{
  switch (mState.load()) {
    case state::NoConfiguration:
      return instance_not_ready{ "no configuration is confirmed yet" };
    case state::NoLimits:
      return instance_not_ready{ "no allotment of the rates yet" };
    case state::Ready:
      return instance_ready{};
    case state::Isolated:
      return instance_isolated{};
    case state::Draining:
      return instance_draining{ false };
    case state::Refusing:
      return instance_draining{ true };
  }
  return instance_not_ready{ "unknown state" };
}

void
instance_state_watch::Start()
{
  mScheduler->Spawn(
    [self = shared_from_this()](yield_context aYield) { self->Run(aYield); });
}

void
instance_state_watch::SetDraining(bool aIsRefusing)
{
  mState = aIsRefusing ? state::Refusing : state::Draining;
}

void
instance_state_watch::Run(yield_context aYield)
{
  while (true) {
    auto expected = mState.load();
    const bool isLeaving =
      expected == state::Draining || expected == state::Refusing;
    if (isLeaving) {
      return;
    }
    // SetDraining() on another thread wins.
    mState.compare_exchange_strong(expected, Observe());
    mScheduler->SleepFor(kPeriod, aYield);
  }
}

instance_state_watch::state
instance_state_watch::Observe()
{
  switch (mDistributor->State()) {
    case configuration_state::Starting:
      return state::NoConfiguration;
    case configuration_state::Isolated:
      return state::Isolated;
    case configuration_state::Current:
      break;
  }
  mHasLimits = mHasLimits || mLimiter->Units() > 0 ||
               mScheduler->Now() - mStartedAt > kLongestWaitForUnits;
  return mHasLimits ? state::Ready : state::NoLimits;
}

} // namespace cowslipline
