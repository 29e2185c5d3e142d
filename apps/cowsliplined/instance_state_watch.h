#pragma once

#include "modules/fleet/fleet.h"
#include "modules/gateway/decisions.h"
#include "modules/limits/limits.h"

#include <atomic>
#include <memory>

namespace cowslipline {

/// Readiness as the gateway's threads read it: an atomic value that a task of
/// the control thread brings up to date.
class instance_state_watch final
  : public readiness_decision
  , public std::enable_shared_from_this<instance_state_watch>
{
public:
  instance_state_watch(std::shared_ptr<scheduler> aScheduler,
                       std::shared_ptr<configuration_distributor> aDistributor,
                       std::shared_ptr<rate_limiter> aLimiter);

  readiness Current() override;

  /// Starts the task that follows the state.
  void Start();
  void SetDraining(bool aIsRefusing);

private:
  enum class state
  {
    NoConfiguration,
    NoLimits,
    Ready,
    Isolated,
    Draining,
    Refusing,
  };

  void Run(yield_context aYield);
  state Observe();

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<configuration_distributor> mDistributor;
  std::shared_ptr<rate_limiter> mLimiter;
  steady_time mStartedAt;
  bool mHasLimits = false;
  std::atomic<state> mState{ state::NoConfiguration };
};

} // namespace cowslipline
