#include "modules/health/health.h"

#include "core/check.h"

namespace cowslipline {

namespace {

struct environment
{
  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<snapshot_source> mSource;
  std::shared_ptr<metrics> mMetrics;
  std::shared_ptr<std::uint64_t> mSeed;
};

template<typename T>
result<void>
Take(const kernel& aKernel, std::string_view aName, std::shared_ptr<T>& aPlace)
{
  auto found = aKernel.Find<T>(aName);
  COWSLIPLINE_PROPAGATE(found);
  aPlace = std::move(*found);
  return {};
}

result<environment>
FindEnvironment(const kernel& aKernel)
{
  environment found;
  COWSLIPLINE_PROPAGATE(Take(aKernel, "scheduler", found.mScheduler));
  COWSLIPLINE_PROPAGATE(Take(aKernel, "peer_channel", found.mChannel));
  COWSLIPLINE_PROPAGATE(Take(aKernel, "membership", found.mMembership));
  COWSLIPLINE_PROPAGATE(Take(aKernel, "snapshots", found.mSource));
  COWSLIPLINE_PROPAGATE(Take(aKernel, "metrics", found.mMetrics));
  COWSLIPLINE_PROPAGATE(Take(aKernel, "random_seed", found.mSeed));
  return found;
}

} // namespace

result<void>
RegisterHealth(kernel& aKernel)
{
  const auto found = FindEnvironment(aKernel);
  COWSLIPLINE_PROPAGATE(found);
  const auto& [clock, channel, members, source, counters, seed] = *found;
  const auto table = std::make_shared<target_table>(clock, source);
  const auto log = std::make_shared<ejection_log>();
  const auto selector = std::make_shared<target_selector>(
    clock, members, table, log, counters, *seed);
  const auto budget = std::make_shared<retry_budget>(source, counters);
  const auto quarantine =
    std::make_shared<request_quarantine>(clock, channel, members, counters);
  const auto queue =
    std::make_shared<admission_queue>(clock, source, selector, counters);
  COWSLIPLINE_PROPAGATE(aKernel.Register("target_selector", selector));
  COWSLIPLINE_PROPAGATE(aKernel.Register("retry_budget", budget));
  COWSLIPLINE_PROPAGATE(aKernel.Register("request_quarantine", quarantine));
  COWSLIPLINE_PROPAGATE(aKernel.Register("admission_queue", queue));
  aKernel.OnStart([quarantine] { quarantine->Start(); });
  return {};
}

} // namespace cowslipline
