#include "modules/gateway/gateway.h"

#include "core/check.h"

namespace cowslipline {

gateway::gateway(gateway_options aOptions,
                 gateway_decisions aDecisions,
                 snapshot_source& aSnapshots,
                 metrics& aMetrics)
  : mBudget(aOptions.mBodyBudget)
  , mUpstreams(aOptions.mUpstreams, mBudget)
  , mPipeline(aDecisions, aSnapshots, aMetrics, mUpstreams, mBudget)
  , mServer(
      std::move(aOptions.mCallers),
      aMetrics,
      [this](caller_exchange& aExchange) { return mPipeline.Serve(aExchange); })
{
}

result<std::unique_ptr<gateway>>
gateway::Create(gateway_options aOptions,
                gateway_decisions aDecisions,
                snapshot_source& aSnapshots,
                metrics& aMetrics)
{
  auto created = std::unique_ptr<gateway>(
    new gateway(std::move(aOptions), aDecisions, aSnapshots, aMetrics));
  const auto bound = created->mServer.Bind();
  COWSLIPLINE_FAIL_IF(
    !bound, bound.error(), "the address for callers cannot be bound");
  return created;
}

void
gateway::Start()
{
  mServer.Start();
}

bool
gateway::StopGracefully(duration aTimeout)
{
  return mServer.Stop(aTimeout);
}

} // namespace cowslipline
