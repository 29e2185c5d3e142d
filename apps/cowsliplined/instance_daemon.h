#pragma once

#include "apps/cowsliplined/blocking_decisions.h"
#include "apps/cowsliplined/control_thread.h"
#include "apps/cowsliplined/instance_state_watch.h"
#include "core/kernel.h"
#include "modules/configuration/configuration.h"
#include "modules/gateway/gateway.h"

#include <memory>

namespace cowslipline {

/// One instance of the fleet: the control thread with the modules, the gateway
/// for callers and the admin server.
class instance_daemon
{
public:
  /// Binds all addresses. Errors: errc::InputOutput.
  static result<std::unique_ptr<instance_daemon>> Create(
    daemon_settings aSettings);
  ~instance_daemon();
  instance_daemon(const instance_daemon&) = delete;
  instance_daemon& operator=(const instance_daemon&) = delete;

  result<void> Start();

  /// Leaves the fleet: tells peers and the load balancer, lets requests in
  /// flight finish and gives back what this instance holds. True when no
  /// request was cut.
  bool Leave();

private:
  explicit instance_daemon(daemon_settings aSettings);

  result<void> CreateServices();
  result<void> CreateServers();
  std::string DescribeStatus();
  result<std::string> ExplainTarget(std::string_view aService,
                                    std::string_view aTarget);
  void GiveBack(duration aTimeout);

  daemon_settings mSettings;
  control_thread mControl;
  kernel mKernel;
  std::shared_ptr<instance_state_watch> mState;
  std::unique_ptr<fleet_key_decision> mKeys;
  std::unique_ptr<fleet_rate_decision> mRates;
  std::unique_ptr<fleet_claim_decision> mClaims;
  std::unique_ptr<fleet_target_decision> mTargets;
  std::unique_ptr<gateway> mGateway;
  std::unique_ptr<admin_server> mAdmin;
};

} // namespace cowslipline
