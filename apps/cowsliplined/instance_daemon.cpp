#include "apps/cowsliplined/instance_daemon.h"

#include "apps/cowsliplined/register_modules.h"
#include "core/check.h"

#include <algorithm>
#include <thread>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

// The load balancer notices within this time that an instance is not ready.
constexpr duration kBalancerNotice = std::chrono::seconds(5);

constexpr duration kStatusTimeout = std::chrono::seconds(2);

// Left of the drain time for what follows after the last request.
constexpr duration kGiveBackTime = std::chrono::seconds(6);
constexpr duration kDeliveryPoll = std::chrono::milliseconds(20);

nlohmann::json
DescribeRecord(const ejection_record& aRecord)
{
  return { { "time_ms", aRecord.mTime },
           { "action", std::string(NameOf(aRecord.mAction)) },
           { "reason", aRecord.mReason },
           { "decided_by", aRecord.mDecidedBy },
           { "returns_ms", aRecord.mReturns },
           { "requests", aRecord.mEvidence.mRequests },
           { "failures", aRecord.mEvidence.mFailures },
           { "reporting_instances", aRecord.mEvidence.mInstances },
           { "score", aRecord.mEvidence.mScore } };
}

} // namespace

instance_daemon::instance_daemon(daemon_settings aSettings)
  : mSettings(std::move(aSettings))
{
}

instance_daemon::~instance_daemon()
{
  // The gateway's threads call the control thread, so they end first.
  mGateway.reset();
  mAdmin.reset();
  mControl.Stop();
}

result<std::unique_ptr<instance_daemon>>
instance_daemon::Create(daemon_settings aSettings)
{
  std::unique_ptr<instance_daemon> created(
    new instance_daemon(std::move(aSettings)));
  COWSLIPLINE_PROPAGATE(created->CreateServices());
  COWSLIPLINE_PROPAGATE(created->CreateServers());
  return created;
}

result<void>
instance_daemon::CreateServices()
{
  const auto clock = mControl.Scheduler();
  COWSLIPLINE_PROPAGATE(mKernel.Register<scheduler>("scheduler", clock));
  COWSLIPLINE_PROPAGATE(RegisterModules(mKernel, mSettings));
  const auto limiter = *mKernel.Find<rate_limiter>("rate_limiter");
  mState = std::make_shared<instance_state_watch>(
    clock,
    *mKernel.Find<configuration_distributor>("configuration_distributor"),
    limiter);
  mKeys = std::make_unique<fleet_key_decision>(mSettings.mFleetSecret);
  mRates = std::make_unique<fleet_rate_decision>(clock, limiter);
  mClaims = std::make_unique<fleet_claim_decision>(
    clock, *mKernel.Find<outcome_records>("outcome_records"));
  mTargets = std::make_unique<fleet_target_decision>(
    clock,
    *mKernel.Find<snapshot_source>("snapshots"),
    health_services{ *mKernel.Find<target_selector>("target_selector"),
                     *mKernel.Find<retry_budget>("retry_budget"),
                     *mKernel.Find<request_quarantine>("request_quarantine"),
                     *mKernel.Find<admission_queue>("admission_queue") });
  return {};
}

result<void>
instance_daemon::CreateServers()
{
  gateway_options options;
  options.mCallers.mAddress = mSettings.mCallers.mAddress;
  options.mCallers.mPort = mSettings.mCallers.mPort;
  options.mCallers.mThreads = mSettings.mThreads;
  options.mCallers.mQueueBound = mSettings.mAcceptedConnections;
  options.mBodyBudget = mSettings.mBufferedBytes;
  const auto counters = *mKernel.Find<metrics>("metrics");
  auto created =
    gateway::Create(options,
                    { *mKeys, *mRates, *mClaims, *mTargets, *mState },
                    **mKernel.Find<snapshot_source>("snapshots"),
                    *counters);
  COWSLIPLINE_PROPAGATE(created);
  mGateway = std::move(*created);
  admin_callbacks callbacks;
  callbacks.mStatus = [this] { return DescribeStatus(); };
  callbacks.mExplainTarget = [this](std::string_view aService,
                                    std::string_view aTarget) {
    return ExplainTarget(aService, aTarget);
  };
  mAdmin = std::make_unique<admin_server>(
    admin_server_options{ mSettings.mAdmin.mAddress, mSettings.mAdmin.mPort },
    *mState,
    *counters,
    std::move(callbacks));
  return {};
}

result<void>
instance_daemon::Start()
{
  mKernel.Start();
  mState->Start();
  mControl.Start();
  COWSLIPLINE_PROPAGATE(mAdmin->Start());
  mGateway->Start();
  const auto links = *mKernel.Find<websocket_peer_channel>("peer_links");
  Log(log_level::Info,
      "instance_started",
      { { "callers_port", std::to_string(mGateway->Port()) },
        { "peers_port", std::to_string(links->Port()) },
        { "admin_port", std::to_string(mAdmin->Port()) } });
  return {};
}

bool
instance_daemon::Leave()
{
  const auto clock = mControl.Scheduler();
  const auto end = clock->Now() + mSettings.mDrain;
  Log(log_level::Info, "instance_leaving", {});
  mState->SetDraining(false);
  const auto members = *mKernel.Find<membership_service>("membership_service");
  const auto limiter = *mKernel.Find<rate_limiter>("rate_limiter");
  asio::post(clock->Context(), [members] { members->SetLeaving(); });
  // Giving back takes as long as the balancer needs, so both run at once;
  // tokens of other owners keep the remaining requests going.
  clock->Spawn([limiter](yield_context aYield) {
    if (!limiter->Leave(aYield)) {
      Log(log_level::Warn, "allotment_not_given_back", {});
    }
  });
  std::this_thread::sleep_for(kBalancerNotice);
  mState->SetDraining(true);
  const auto left = end - clock->Now() - kGiveBackTime;
  const bool isWhole =
    mGateway->StopGracefully(std::max<duration>(left, std::chrono::seconds(1)));
  GiveBack(std::max<duration>(end - clock->Now(), std::chrono::seconds(1)));
  Log(log_level::Info,
      "instance_left",
      { { "requests_cut", isWhole ? "no" : "yes" } });
  return isWhole;
}

void
instance_daemon::GiveBack(duration aTimeout)
{
  const auto clock = mControl.Scheduler();
  const auto records = *mKernel.Find<outcome_records>("outcome_records");
  const auto delivered =
    BlockingCall(*clock,
                 aTimeout,
                 [clock, records, this](yield_context aYield) -> result<bool> {
                   while (records->CountUndelivered() > 0) {
                     clock->SleepFor(kDeliveryPoll, aYield);
                   }
                   mKernel.Stop();
                   return true;
                 });
  if (!delivered) {
    Log(log_level::Warn, "outcomes_not_delivered", {});
  }
}

std::string
instance_daemon::DescribeStatus()
{
  const auto members = *mKernel.Find<membership_service>("membership_service");
  const auto snapshots = *mKernel.Find<snapshot_source>("snapshots");
  const auto links = *mKernel.Find<websocket_peer_channel>("peer_links");
  const auto limiter = *mKernel.Find<rate_limiter>("rate_limiter");
  const auto current = snapshots->Current();
  const auto status = BlockingCall(
    *mControl.Scheduler(),
    kStatusTimeout,
    [members, limiter, links](yield_context) -> result<nlohmann::json> {
      nlohmann::json live = nlohmann::json::array();
      for (const auto& member : members->LiveMembers()) {
        live.push_back({ { "instance", member.mName },
                         { "availability_zone", member.mAvailabilityZone } });
      }
      return nlohmann::json{ { "live_instances", std::move(live) },
                             { "allotment_units", limiter->Units() },
                             { "peer_links", links->LinkCount() },
                             { "peer_bytes_sent", links->SentBytes() } };
    });
  nlohmann::json document = status.value_or(nlohmann::json::object());
  document["instance"] = mSettings.mInstance;
  document["availability_zone"] = mSettings.mAvailabilityZone;
  document["version"] = current->mVersion;
  document["ready"] = std::holds_alternative<instance_ready>(mState->Current());
  document["services"] = current->mServices.size();
  document["organisations"] = current->mOrganisations.size();
  return document.dump();
}

result<std::string>
instance_daemon::ExplainTarget(std::string_view aService,
                               std::string_view aTarget)
{
  const auto selector = *mKernel.Find<target_selector>("target_selector");
  return BlockingCall(
    *mControl.Scheduler(),
    kStatusTimeout,
    [selector, service = std::string(aService), target = std::string(aTarget)](
      yield_context) -> result<std::string> {
      nlohmann::json records = nlohmann::json::array();
      for (const auto& record : selector->Explain(service, target)) {
        records.push_back(DescribeRecord(record));
      }
      const nlohmann::json document = {
        { "service", service },
        { "target", target },
        { "in_use", selector->IsInUse(service, target) },
        { "records", std::move(records) },
      };
      return document.dump();
    });
}

} // namespace cowslipline
