#include "modules/health/health.h"

#include "core/check.h"
#include "modules/health/drain_notices.h"
#include "modules/health/evidence_reporter.h"

namespace cowslipline {

namespace {

constexpr duration kTaskInterval = std::chrono::milliseconds(100);

struct dependencies
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
FindInto(const kernel& aKernel,
         std::string_view aName,
         std::shared_ptr<T>& aFound)
{
  auto found = aKernel.Find<T>(aName);
  COWSLIPLINE_PROPAGATE(found);
  aFound = std::move(*found);
  return {};
}

result<dependencies>
FindDependencies(const kernel& aKernel)
{
  dependencies found;
  COWSLIPLINE_PROPAGATE(FindInto(aKernel, "scheduler", found.mScheduler));
  COWSLIPLINE_PROPAGATE(FindInto(aKernel, "peer_channel", found.mChannel));
  COWSLIPLINE_PROPAGATE(FindInto(aKernel, "membership", found.mMembership));
  COWSLIPLINE_PROPAGATE(FindInto(aKernel, "snapshots", found.mSource));
  COWSLIPLINE_PROPAGATE(FindInto(aKernel, "metrics", found.mMetrics));
  COWSLIPLINE_PROPAGATE(FindInto(aKernel, "random_seed", found.mSeed));
  return found;
}

/// Components that process the reports of the selector.
struct health_components
{
  std::shared_ptr<ejection_receiver> mReceiver;
  std::shared_ptr<ejection_owner> mOwner;
  std::shared_ptr<evidence_reporter> mReporter;
  std::shared_ptr<drain_notices> mNotices;
};

health_components
MakeComponents(const dependencies& aDependencies,
               const std::shared_ptr<target_table>& aTable,
               const std::shared_ptr<ejection_log>& aLog)
{
  const auto& [clock, channel, members, source, counters, seed] = aDependencies;
  health_components made;
  made.mReceiver = std::make_shared<ejection_receiver>(
    clock, channel, members, aTable, aLog, counters);
  made.mOwner = std::make_shared<ejection_owner>(
    clock, channel, members, made.mReceiver, counters);
  made.mReporter = std::make_shared<evidence_reporter>(
    clock, channel, members, aTable, made.mReceiver, made.mOwner);
  made.mNotices = std::make_shared<drain_notices>(
    clock, channel, members, aTable, aLog, counters);
  return made;
}

void
HandleReport(const health_components& aComponents,
             service_state& aService,
             target_state& aTarget,
             const attempt_report& aReport)
{
  if (aReport.mIsDraining) {
    aComponents.mNotices->ReportDraining(aService, aTarget);
  }
  aComponents.mReporter->Record(aService, aTarget, aReport);
}

void
StartTasks(const std::shared_ptr<scheduler>& aScheduler,
           const health_components& aComponents,
           const std::shared_ptr<bool>& aIsStopped)
{
  aComponents.mReceiver->Start();
  aComponents.mOwner->Start();
  aComponents.mNotices->Start();
  aComponents.mReporter->Start();
  aScheduler->Spawn(
    [aScheduler, aComponents, aIsStopped](yield_context aYield) {
      while (!*aIsStopped) {
        aScheduler->SleepFor(kTaskInterval, aYield);
        aComponents.mReporter->SendDue();
        aComponents.mReceiver->RemoveExpired();
        aComponents.mOwner->RemoveIdleDetectors();
      }
    });
}

} // namespace

result<void>
RegisterHealth(kernel& aKernel)
{
  const auto found = FindDependencies(aKernel);
  COWSLIPLINE_PROPAGATE(found);
  const auto& clock = found->mScheduler;
  const auto& counters = found->mMetrics;
  const auto table = std::make_shared<target_table>(clock, found->mSource);
  const auto log = std::make_shared<ejection_log>();
  const auto components = MakeComponents(*found, table, log);
  const auto selector = std::make_shared<target_selector>(
    clock, found->mMembership, table, log, counters, *found->mSeed);
  selector->SetObserver(
    [components](auto& aService, auto& aTarget, auto& aReport) {
      HandleReport(components, aService, aTarget, aReport);
    });
  const auto budget = std::make_shared<retry_budget>(found->mSource, counters);
  const auto quarantine = std::make_shared<request_quarantine>(
    clock, found->mChannel, found->mMembership, counters);
  const auto queue = std::make_shared<admission_queue>(
    clock, found->mSource, selector, counters);
  COWSLIPLINE_PROPAGATE(aKernel.Register("target_selector", selector));
  COWSLIPLINE_PROPAGATE(aKernel.Register("retry_budget", budget));
  COWSLIPLINE_PROPAGATE(aKernel.Register("request_quarantine", quarantine));
  COWSLIPLINE_PROPAGATE(aKernel.Register("admission_queue", queue));
  const auto isStopped = std::make_shared<bool>(false);
  aKernel.OnStart([clock, components, quarantine, isStopped] {
    quarantine->Start();
    StartTasks(clock, components, isStopped);
  });
  aKernel.OnStop([isStopped] { *isStopped = true; });
  return {};
}

} // namespace cowslipline
