#pragma once

// Public header of the gateway module.
#include "core/metrics.h"
#include "core/result.h"
#include "modules/configuration/snapshot.h"
#include "modules/gateway/admin_server.h"
#include "modules/gateway/caller_server.h"
#include "modules/gateway/decisions.h"
#include "modules/gateway/request_pipeline.h"
#include "modules/gateway/upstream_client.h"

#include <memory>

namespace cowslipline {

struct gateway_options
{
  caller_server_options mCallers;
  upstream_client_options mUpstreams;
  /// Bytes of bodies, of requests and answers, that are buffered at a time.
  std::size_t mBodyBudget = std::size_t(256) << 20;
};

/// Takes requests from callers and passes them to upstreams. The admin server
/// is separate, so that it answers while the gateway stops.
class gateway
{
public:
  /// Binds the address for callers. Decisions, snapshots and metrics outlive
  /// the gateway. Errors: errc::InputOutput when the address cannot be bound.
  static result<std::unique_ptr<gateway>> Create(gateway_options aOptions,
                                                 gateway_decisions aDecisions,
                                                 snapshot_source& aSnapshots,
                                                 metrics& aMetrics);

  void Start();
  std::uint16_t Port() const { return mServer.Port(); }

  /// Stops accepting, closes idle connections and lets requests in flight
  /// finish. False when some were broken after the timeout. May be called
  /// again.
  bool StopGracefully(duration aTimeout);

  std::size_t OpenConnections() const { return mServer.OpenConnections(); }
  const body_budget& BodyBudget() const { return mBudget; }

private:
  gateway(gateway_options aOptions,
          gateway_decisions aDecisions,
          snapshot_source& aSnapshots,
          metrics& aMetrics);

  body_budget mBudget;
  upstream_client mUpstreams;
  request_pipeline mPipeline;
  caller_server mServer;
};

} // namespace cowslipline
