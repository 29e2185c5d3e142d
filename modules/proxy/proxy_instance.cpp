#include "modules/proxy/proxy_instance.h"

#include "core/log.h"
#include "modules/proxy/target_selection.h"

#include <algorithm>
#include <sstream>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

constexpr duration kHousekeepingInterval = 1s;

// The load balancer asks once a second and takes an instance out after two
// misses; until then new connections still arrive. Shorter grace times leave
// this part of them for it.
constexpr duration kUntilOutOfRotation = 2600ms;
constexpr double kMostOutOfRotationPart = 0.45;

// Requests that are sent later could not finish within the grace time.
constexpr duration kUntilRefusing = 3000ms;
constexpr double kMostRefusingPart = 0.5;

// Left of the grace time when the requests in flight are given up.
constexpr duration kExitMargin = 300ms;
constexpr double kMostExitPart = 0.05;

// Part of this margin in which their callers take the answers.
constexpr double kFinalAnswersPart = 0.66;

/// The times of a shutdown, from its start.
struct shutdown_times
{
  duration mOutOfRotation;
  duration mRefusing;
  duration mGiveUp; ///< The requests in flight get their final answers.
  duration mExit;   ///< At the latest.
};

shutdown_times
TimesOf(duration aGrace)
{
  const auto bounded = [aGrace](duration aUsual, double aMostPart) {
    return std::min(aUsual,
                    std::chrono::duration_cast<duration>(aGrace * aMostPart));
  };
  const auto margin = bounded(kExitMargin, kMostExitPart);
  shutdown_times times;
  times.mOutOfRotation = bounded(kUntilOutOfRotation, kMostOutOfRotationPart);
  times.mRefusing = bounded(kUntilRefusing, kMostRefusingPart);
  times.mGiveUp = aGrace - margin;
  times.mExit = times.mGiveUp + std::chrono::duration_cast<duration>(
                                  margin * kFinalAnswersPart);
  return times;
}

constexpr duration kDrainPoll = 20ms;
constexpr duration kReadyPoll = 20ms;

} // namespace

result<std::unique_ptr<proxy_instance>>
proxy_instance::Create(scheduler& aScheduler,
                       const proxy_settings& aSettings,
                       fleet_header_names aNames,
                       platform_feed& aFeed,
                       std::uint64_t aSeed)
{
  auto link = peer_link::Open(
    aScheduler.Context(), aSettings.mInstance, aSettings.mPeers);
  if (!link) {
    return Fail(link.error());
  }
  std::unique_ptr<proxy_instance> instance(new proxy_instance(
    aScheduler, aSettings, std::move(aNames), aFeed, std::move(*link), aSeed));
  for (const auto& opened :
       { instance->mListener.Open(aSettings.mCallers),
         instance->mReadiness.Open(aSettings.mReadiness),
         instance->mMetricsPage.Open(aSettings.mMetrics) }) {
    if (!opened) {
      return Fail(opened.error());
    }
  }
  return instance;
}

proxy_instance::proxy_instance(scheduler& aScheduler,
                               const proxy_settings& aSettings,
                               fleet_header_names aNames,
                               platform_feed& aFeed,
                               std::unique_ptr<peer_link> aLink,
                               std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mBuffers(aSettings.mBufferedBytes)
  , mLink(std::move(aLink))
  , mView(aSettings.mBounds.mRevocation,
          { aSettings.mInstance,
            aSettings.mAvailabilityZone,
            mLink->LocalAddress(),
            mRandom.Next() | 1U })
  , mChooser(aSettings.mAvailabilityZone,
             aSettings.mBounds.mFloorShare,
             mRandom.Next())
  , mOwners(aScheduler,
            mView.mMembers,
            *mLink,
            aSettings.mBounds.mOwners,
            mRandom.Next() >> 1)
  , mReports(aScheduler,
             mView.mMembers,
             *mLink,
             mEvidence,
             mChooser,
             mCrashes,
             mLimits,
             mMetrics)
  , mSlots(std::make_shared<slot_lending>(
      aScheduler,
      mView.mMembers,
      *mLink,
      mChooser,
      mEvidence,
      mMetrics,
      [this](const slot_query& aQuery) {
        return FindCandidates(mServices, aQuery);
      },
      mRandom.Next()))
  , mServices{ aScheduler, aScheduler.Context(),
               mSettings,  std::move(aNames),
               mView,      mEvidence,
               mChooser,   mCrashes,
               mLimits,    mOwners,
               mReports,   *mSlots,
               mPool,      mMetrics,
               mRandom,    mBuffers }
  , mZone(aScheduler, mView.mMembers, *mLink, mMetrics, mRandom.Next() >> 1)
  , mSync(aScheduler,
          aFeed,
          mView,
          mMetrics,
          mZone,
          aSettings.mBounds.mConfiguration,
          mRandom.Next())
  , mRegistration(aScheduler, aFeed, mView.mMembers.Self())
  , mListener(mServices)
  , mReadiness(aScheduler.Context(),
               [this](std::string_view aPath) { return RenderPage(aPath); })
  , mMetricsPage(aScheduler.Context(),
                 [this](std::string_view aPath) { return RenderPage(aPath); })
{
  mSlots->SetMostSlots(aSettings.mEvenLoadSlots);
  mSync.SetRestoredHandler([this](const store_lease& aListed) {
    mRegistration.OnStoreRestored(aListed);
  });
  mLink->SetHandler(
    [this](const peer_message& aMessage, const udp_endpoint& aFrom) {
      OnPeerMessage(aMessage, aFrom);
    });
}

proxy_instance::~proxy_instance() = default;

void
proxy_instance::Start()
{
  mScheduler.Spawn([this](yield_context aYield) { mSync.Run(aYield); });
  mScheduler.Spawn([this](yield_context aYield) { mZone.Run(aYield); });
  mScheduler.Spawn([this](yield_context aYield) { RegisterOnceReady(aYield); });
  mScheduler.Spawn([this](yield_context aYield) { RunHousekeeping(aYield); });
  mScheduler.Spawn([this](yield_context aYield) { RunLoadReports(aYield); });
  mScheduler.Spawn([this](yield_context aYield) { LearnOnceReady(aYield); });
}

configured_limit
proxy_instance::LimitOf(std::string_view aOrganisation) const
{
  if (!mView.mRoutes) {
    return {};
  }
  configured_limit configured;
  configured.mVersion = mView.mRoutes->Configuration().mVersion;
  if (const auto* organisation =
        mView.mRoutes->FindOrganisationByName(aOrganisation)) {
    configured.mLimit =
      quota_limit{ organisation->mRate, organisation->mBurst };
  }
  return configured;
}

std::vector<std::string>
proxy_instance::Apply(const proxy_settings& aSettings)
{
  const auto& bounds = aSettings.mBounds;
  const auto& quotas = bounds.mOwners.mQuotas;
  const auto& retries = bounds.mOwners.mRetries;
  auto& present = mSettings.mBounds.mOwners;
  const std::pair<const char*, bool> fixed[] = {
    { "instance", aSettings.mInstance != mSettings.mInstance },
    { "availability_zone",
      aSettings.mAvailabilityZone != mSettings.mAvailabilityZone },
    { "listen.callers", aSettings.mCallers != mSettings.mCallers },
    { "listen.readiness", aSettings.mReadiness != mSettings.mReadiness },
    { "listen.metrics", aSettings.mMetrics != mSettings.mMetrics },
    { "listen.peers", aSettings.mPeers != mSettings.mPeers },
    { "store.address", aSettings.mStore != mSettings.mStore },
    // What was admitted is counted by parts of these.
    { "bounds.quota_window_seconds",
      quotas.mWindow != present.mQuotas.mWindow },
    { "bounds.retry_window_seconds",
      retries.mWindow != present.mRetries.mWindow },
  };
  std::vector<std::string> unapplied;
  for (const auto& [name, isChanged] : fixed) {
    if (isChanged) {
      unapplied.emplace_back(name);
    }
  }
  present.mQuotas.mOvershoot = quotas.mOvershoot;
  present.mQuotas.mSlack = quotas.mSlack;
  present.mRetries.mRatio = retries.mRatio;
  present.mRetries.mExtra = retries.mExtra;
  mOwners.SetLimits(present);
  mSettings.mBounds.mRevocation = bounds.mRevocation;
  mView.mFreshness.SetRevocationBound(bounds.mRevocation);
  mSettings.mBounds.mConfiguration = bounds.mConfiguration;
  mSync.SetConfigurationBound(bounds.mConfiguration);
  mSettings.mBounds.mFloorShare = bounds.mFloorShare;
  mChooser.SetFloorShare(bounds.mFloorShare);
  mSettings.mBounds.mColdOvershoot = bounds.mColdOvershoot;
  mSettings.mBounds.mColdSlack = bounds.mColdSlack;
  mSettings.mGrace = aSettings.mGrace;
  mSettings.mBufferedBytes = aSettings.mBufferedBytes;
  mBuffers.SetLimit(aSettings.mBufferedBytes);
  mSettings.mEvenLoadSlots = aSettings.mEvenLoadSlots;
  mSlots->SetMostSlots(aSettings.mEvenLoadSlots);
  return unapplied;
}

void
proxy_instance::OnPeerMessage(const peer_message& aMessage,
                              const udp_endpoint& aFrom)
{
  mView.mMembers.OnMessageFrom(aMessage.mSender);
  struct visitor
  {
    proxy_instance& mInstance;
    const peer_message& mMessage;
    const udp_endpoint& mFrom;

    void operator()(const target_report& aReport) const
    {
      mInstance.mReports.OnReport(mMessage.mSender, aReport);
    }
    void operator()(const crash_report& aReport) const
    {
      mInstance.mReports.OnReport(aReport, mFrom);
    }
    void operator()(const crash_suspects& aReport) const
    {
      mInstance.mReports.OnReport(mMessage.mSender, aReport);
    }
    void operator()(const suspicion_cleared& aReport) const
    {
      mInstance.mReports.OnReport(aReport);
    }
    void operator()(const load_report& aReport) const
    {
      mInstance.mReports.OnReport(mMessage.mSender, aReport);
    }
    void operator()(const quota_request& aQuestion) const
    {
      // An instance that is starting does not know the earlier owners yet.
      if (mInstance.mView.mRoutes) {
        mInstance.mOwners.OnPeerRequest(
          aQuestion, mInstance.LimitOf(aQuestion.mOrganisation), mFrom);
      }
    }
    void operator()(const retry_request& aQuestion) const
    {
      mInstance.mOwners.OnPeerRequest(aQuestion, mFrom);
    }
    void operator()(const target_limit_report& aReport) const
    {
      mInstance.mReports.OnReport(mMessage.mSender, aReport);
    }
    void operator()(const target_limits_request& aRequest) const
    {
      mInstance.mReports.OnRequest(aRequest, mFrom);
    }
    void operator()(const send_permit_request& aQuestion) const
    {
      mInstance.mOwners.OnPeerRequest(aQuestion, mFrom);
    }
    void operator()(const quota_handover_request& aQuestion) const
    {
      mInstance.mOwners.OnPeerRequest(
        aQuestion, mInstance.LimitOf(aQuestion.mOrganisation), mFrom);
    }
    void operator()(const quota_handover& aAnswer) const
    {
      mInstance.mOwners.OnReply(aAnswer, [&](std::string_view aOrganisation) {
        return mInstance.LimitOf(aOrganisation);
      });
    }
    void operator()(const changes_request& aQuestion) const
    {
      mInstance.mZone.SendAnswer(mInstance.mSync.Answer(aQuestion), mFrom);
    }
    void operator()(const changes_reply& aAnswer) const
    {
      const bool isAnswer =
        mInstance.mZone.OnAnswer(aAnswer, mMessage.mSender, mFrom);
      if (!isAnswer && aAnswer.mId == 0) {
        mInstance.mSync.OnChangesReceived(aAnswer);
      }
    }
    void operator()(const changes_part& aPart) const
    {
      if (const auto changes = mInstance.mZone.OnPart(aPart, mFrom)) {
        mInstance.mSync.OnChangesReceived(*changes);
      }
    }
    void operator()(const changes_parts_request& aRequest) const
    {
      mInstance.mZone.OnPartsRequest(aRequest, mFrom);
    }
    void operator()(const store_lost_notice&) const
    {
      if (mInstance.mZone.OnLostNotice(mMessage.mSender)) {
        mInstance.mSync.OnBecameReader();
      }
    }
    void operator()(const slot_request& aQuestion) const
    {
      mInstance.mSlots->OnPeerRequest(aQuestion, mFrom);
    }
    void operator()(const slot_reply& aAnswer) const
    {
      mInstance.mSlots->OnReply(aAnswer, mFrom);
    }
    void operator()(const slot_return& aReturn) const
    {
      mInstance.mSlots->OnReturn(aReturn);
    }
    void operator()(const owner_reply& aAnswer) const
    {
      mInstance.mOwners.OnReply(aAnswer);
    }
  };
  std::visit(visitor{ *this, aMessage, aFrom }, aMessage.mPayload);
}

void
proxy_instance::RunHousekeeping(yield_context aYield)
{
  while (!mIsStopped) {
    mScheduler.SleepFor(kHousekeepingInterval, aYield);
    const auto now = mScheduler.Now();
    mPool.CloseExpired(now);
    mView.mTargets.Prune(now);
    mEvidence.Prune(now);
    mChooser.Prune(now);
    mSlots->Prune();
    mCrashes.Prune(now);
    mLimits.Prune(now);
    mOwners.Prune();
  }
}

void
proxy_instance::WaitForState(yield_context aYield)
{
  while (!mIsStopped && !mView.mIsComplete) {
    mScheduler.SleepFor(kReadyPoll, aYield);
  }
}

void
proxy_instance::RegisterOnceReady(yield_context aYield)
{
  // A registered instance is asked as an owner, and cannot answer without the
  // configuration.
  WaitForState(aYield);
  mRegistration.Run(aYield);
}

void
proxy_instance::LearnOnceReady(yield_context aYield)
{
  WaitForState(aYield);
  mReports.LearnFromOthers(aYield);
}

void
proxy_instance::RunLoadReports(yield_context aYield)
{
  while (!mIsStopped) {
    mScheduler.SleepFor(mReports.LoadInterval(), aYield);
    mReports.ShareLoad();
  }
}

std::string
proxy_instance::RenderGauges() const
{
  const auto now = mScheduler.Now();
  const auto age =
    std::min<duration>(mView.mFreshness.Age(now), std::chrono::hours(24));
  const std::vector<std::pair<const char*, double>> gauges = {
    { "cowslipline_configuration_age_seconds",
      std::chrono::duration<double>(age).count() },
    { "cowslipline_configuration_version",
      mView.mRoutes
        ? static_cast<double>(mView.mRoutes->Configuration().mVersion)
        : 0.0 },
    { "cowslipline_ready", mServices.IsReady() ? 1.0 : 0.0 },
    { "cowslipline_members", static_cast<double>(mView.mMembers.Count(now)) },
    { "cowslipline_targets", static_cast<double>(mView.mTargets.All().size()) },
    { "cowslipline_targets_limited", static_cast<double>(mLimits.Size()) },
    { "cowslipline_zones_evacuated",
      static_cast<double>(mView.mEvacuations.Zones().size()) },
    { "cowslipline_requests_in_flight_evacuated",
      static_cast<double>(mView.mEvacuations.InProgressInEvacuated()) },
    { "cowslipline_slots_lent", static_cast<double>(mSlots->Lent()) },
    { "cowslipline_requests_in_flight",
      static_cast<double>(mServices.mRequestsInFlight) },
    { "cowslipline_caller_connections",
      static_cast<double>(mListener.Connections()) },
    { "cowslipline_upstream_connections_idle",
      static_cast<double>(mPool.Size()) },
    { "cowslipline_buffered_body_bytes", static_cast<double>(mBuffers.Used()) },
    { "cowslipline_peer_bytes_sent", static_cast<double>(mLink->BytesSent()) },
    { "cowslipline_peer_messages_dropped",
      static_cast<double>(mLink->MessagesDropped()) },
  };
  std::ostringstream text;
  for (const auto& [name, value] : gauges) {
    text << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
  }
  return text.str();
}

page
proxy_instance::RenderPage(std::string_view aPath)
{
  if (aPath == "/-/readyz") {
    return mServices.IsReady() ? page{ 200, "ready\n" }
                               : page{ 503, "not ready\n" };
  }
  if (aPath == "/metrics") {
    return { 200, mMetrics.RenderText() + RenderGauges() };
  }
  return { 404, "not found\n" };
}

bool
proxy_instance::Leave(yield_context aYield)
{
  const auto startedAt = mScheduler.Now();
  const auto times = TimesOf(mSettings.mGrace);
  mServices.mPhase = lifecycle_phase::Leaving;
  mServices.mGivesUpAt = startedAt + times.mGiveUp;
  Log(log_level::Info,
      "leaving",
      { { "in_flight", std::to_string(mServices.mRequestsInFlight) } });
  mScheduler.SleepFor(times.mOutOfRotation, aYield);
  // The store may be silent; callers' connections do not wait for it.
  mScheduler.Spawn([this](yield_context aOwnYield) {
    mRegistration.Deregister(aOwnYield);
    mIsDeregistered = true;
  });
  mListener.StopAccepting();
  while (mScheduler.Now() < mServices.mGivesUpAt) {
    mListener.CloseIdle();
    if (mServices.mRequestsInFlight == 0 && mListener.Connections() == 0 &&
        mIsDeregistered) {
      break;
    }
    if (mScheduler.Now() - startedAt >= times.mRefusing) {
      mServices.mPhase = lifecycle_phase::Refusing;
    }
    mScheduler.SleepFor(kDrainPoll, aYield);
  }
  const auto cut = mServices.mRequestsInFlight;
  mServices.mPhase = lifecycle_phase::Ending;
  mListener.EndRequests();
  while (mListener.Connections() > 0 &&
         mScheduler.Now() < startedAt + times.mExit) {
    mScheduler.SleepFor(kDrainPoll, aYield);
    mListener.CloseIdle();
  }
  mSync.Stop();
  mZone.Stop();
  mIsStopped = true;
  mReadiness.Close();
  mMetricsPage.Close();
  mLink->Close();
  Log(log_level::Info,
      "left",
      { { "cut", std::to_string(cut) },
        { "connections", std::to_string(mListener.Connections()) } });
  return cut == 0;
}

} // namespace cowslipline
