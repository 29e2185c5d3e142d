#include "modules/health/health.h"

#include "core/check.h"
#include "modules/health/drain_notices.h"
#include "modules/health/evidence_reporter.h"

namespace cowslipline {

namespace {

constexpr duration kTick = std::chrono::milliseconds(100);

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

/// The parts that work behind the selector.
struct health_parts
{
  std::shared_ptr<ejection_holder> mHolder;
  std::shared_ptr<ejection_owner> mOwner;
  std::shared_ptr<evidence_reporter> mReporter;
  std::shared_ptr<drain_notices> mNotices;
};

health_parts
MakeParts(const environment& aEnvironment,
          const std::shared_ptr<target_table>& aTable,
          const std::shared_ptr<ejection_log>& aLog)
{
  const auto& [clock, channel, members, source, counters, seed] = aEnvironment;
  health_parts made;
  made.mHolder = std::make_shared<ejection_holder>(
    clock, channel, members, aTable, aLog, counters);
  made.mOwner = std::make_shared<ejection_owner>(
    clock, channel, members, made.mHolder, counters);
  made.mReporter = std::make_shared<evidence_reporter>(
    clock, channel, members, aTable, made.mHolder, made.mOwner);
  made.mNotices = std::make_shared<drain_notices>(
    clock, channel, members, aTable, aLog, counters);
  return made;
}

void
Observe(const health_parts& aParts,
        service_state& aService,
        target_state& aTarget,
        const attempt_report& aReport)
{
  if (aReport.mIsDraining) {
    aParts.mNotices->Announce(aService, aTarget);
  }
  aParts.mReporter->Record(aService, aTarget, aReport);
}

void
StartTasks(const std::shared_ptr<scheduler>& aScheduler,
           const health_parts& aParts,
           const std::shared_ptr<bool>& aIsStopped)
{
  aParts.mHolder->Start();
  aParts.mOwner->Start();
  aParts.mNotices->Start();
  aParts.mReporter->Start();
  aScheduler->Spawn([aScheduler, aParts, aIsStopped](yield_context aYield) {
    while (!*aIsStopped) {
      aScheduler->SleepFor(kTick, aYield);
      aParts.mReporter->SendDue();
      aParts.mHolder->Expire();
      aParts.mOwner->RemoveIdle();
    }
  });
}

} // namespace

result<void>
RegisterHealth(kernel& aKernel)
{
  const auto found = FindEnvironment(aKernel);
  COWSLIPLINE_PROPAGATE(found);
  const auto& clock = found->mScheduler;
  const auto& counters = found->mMetrics;
  const auto table = std::make_shared<target_table>(clock, found->mSource);
  const auto log = std::make_shared<ejection_log>();
  const auto parts = MakeParts(*found, table, log);
  const auto selector = std::make_shared<target_selector>(
    clock, found->mMembership, table, log, counters, *found->mSeed);
  selector->SetObserver([parts](auto& aService, auto& aTarget, auto& aReport) {
    Observe(parts, aService, aTarget, aReport);
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
  aKernel.OnStart([clock, parts, quarantine, isStopped] {
    quarantine->Start();
    StartTasks(clock, parts, isStopped);
  });
  aKernel.OnStop([isStopped] { *isStopped = true; });
  return {};
}

} // namespace cowslipline
