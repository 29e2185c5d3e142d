#include "modules/proxy/fleet_evidence.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Messages about load that an instance sends in a second.
constexpr int kLoadMessagesPerSecond = 100;
constexpr duration kShortestLoadInterval = 100ms;

// An unchanged load is told again after this time; receivers forget it later.
constexpr duration kLoadRepeat = 1s;

// Questions of an instance that has started. Two are asked at once, since one
// may be about to leave or a datagram may be lost.
constexpr std::size_t kAskedAtOnce = 2;
constexpr std::size_t kInquiryRounds = 5;
constexpr duration kInquiryTimeout = 200ms;

// Suspects in one answer; those with fewest crashes are left out.
constexpr std::size_t kMostSuspectsSent = 240;

/// Marks the message for receivers that pass it on.
struct relay_marker
{
  bool mShouldRelay;

  void operator()(target_report& aReport) const
  {
    aReport.mShouldRelay = mShouldRelay;
  }
  void operator()(crash_report& aReport) const
  {
    aReport.mShouldRelay = mShouldRelay;
  }
  void operator()(suspicion_cleared& aReport) const
  {
    aReport.mShouldRelay = mShouldRelay;
  }
  void operator()(target_limit_report& aReport) const
  {
    aReport.mShouldRelay = mShouldRelay;
  }
  template<typename Other>
  void operator()(Other&) const
  {
  }
};

} // namespace

fleet_evidence::fleet_evidence(scheduler& aScheduler,
                               member_table& aMembers,
                               peer_link& aLink,
                               outlier_detector& aEvidence,
                               load_balancer& aChooser,
                               poison_request_detector& aCrashes,
                               target_rate_limits& aLimits,
                               metrics& aMetrics)
  : mScheduler(aScheduler)
  , mMembers(aMembers)
  , mLink(aLink)
  , mEvidence(aEvidence)
  , mChooser(aChooser)
  , mCrashes(aCrashes)
  , mLimits(aLimits)
  , mMetrics(aMetrics)
{
}

void
fleet_evidence::Spread(peer_payload aPayload, bool aIsToRelay)
{
  const auto now = mScheduler.Now();
  std::visit(relay_marker{ false }, aPayload);
  for (const auto* peer : mMembers.ZonePeers(now)) {
    mLink.Send(aPayload, peer->mAddress);
  }
  if (!aIsToRelay) {
    return;
  }
  std::visit(relay_marker{ true }, aPayload);
  for (const auto* relay : mMembers.OtherZoneRelays(++mTurn, now)) {
    mLink.Send(aPayload, relay->mAddress);
  }
}

bool
fleet_evidence::Observe(const std::string& aTarget,
                        exchange_outcome aOutcome,
                        duration aAge,
                        const std::string& aSeenBy)
{
  const auto now = mScheduler.Now();
  const bool wasInUse = mEvidence.UseOf(aTarget, now) == target_use::InUse;
  const bool isNews = mEvidence.Observe(aTarget, aOutcome, now, aAge);
  const bool isInUse = mEvidence.UseOf(aTarget, now) == target_use::InUse;
  if (wasInUse != isInUse) {
    mMetrics
      .Counter(isInUse ? "cowslipline_targets_returned_total"
                       : "cowslipline_targets_avoided_total")
      .Add();
    Log(log_level::Info,
        isInUse ? "target_in_use" : "target_avoided",
        { { "target", aTarget },
          { "outcome", OutcomeName(aOutcome) },
          { "seen_by", aSeenBy } });
  }
  return isNews;
}

void
fleet_evidence::OnOutcome(const std::string& aTarget,
                          exchange_outcome aOutcome,
                          steady_time aSentAt)
{
  const auto age = mScheduler.Now() - aSentAt;
  if (Observe(aTarget, aOutcome, age, mMembers.Self().mName)) {
    // Load matters to the zone whose requests made it.
    const bool isToRelay = aOutcome != exchange_outcome::Shed;
    Spread(target_report{ aTarget,
                          static_cast<std::uint8_t>(aOutcome),
                          false,
                          static_cast<std::uint32_t>(age / 1ms) },
           isToRelay);
  }
}

void
fleet_evidence::OnCrash(request_fingerprint aRequest,
                        const std::string& aTarget,
                        steady_time aSentAt)
{
  const auto now = mScheduler.Now();
  mCrashes.OnCrash(aRequest, aTarget, aSentAt, now);
  Log(log_level::Warn,
      "target_went_down",
      { { "target", aTarget }, { "fingerprint", std::to_string(aRequest) } });
  Spread(crash_report{ aRequest,
                       aTarget,
                       false,
                       static_cast<std::uint32_t>((now - aSentAt) / 1ms) },
         true);
}

void
fleet_evidence::OnServed(request_fingerprint aRequest)
{
  if (mCrashes.OnServed(aRequest)) {
    Spread(suspicion_cleared{ aRequest, false }, true);
  }
}

void
fleet_evidence::OnReport(const std::string& aSender,
                         const target_report& aReport)
{
  if (aReport.mOutcome >
      static_cast<std::uint8_t>(exchange_outcome::Abandoned)) {
    return;
  }
  Observe(aReport.mTarget,
          static_cast<exchange_outcome>(aReport.mOutcome),
          std::chrono::milliseconds(aReport.mAgeMs),
          aSender);
  if (aReport.mShouldRelay) {
    Spread(aReport, false);
  }
}

void
fleet_evidence::OnReport(const crash_report& aReport, const udp_endpoint& aFrom)
{
  const auto now = mScheduler.Now();
  // One that was cut off or frozen has not heard of the earlier crashes.
  if (const auto known = mCrashes.Blocked(aReport.mFingerprint, now)) {
    crash_suspects suspects;
    suspects.mIsInformed = mInquiry.IsInformed();
    suspects.mSuspects = { *known };
    mLink.Send(suspects, aFrom);
  }
  mCrashes.OnCrash(aReport.mFingerprint,
                   aReport.mTarget,
                   now - std::chrono::milliseconds(aReport.mAgeMs),
                   now);
  if (aReport.mShouldRelay) {
    Spread(aReport, false);
  }
}

void
fleet_evidence::OnReport(const suspicion_cleared& aReport)
{
  mCrashes.OnServed(aReport.mFingerprint);
  if (aReport.mShouldRelay) {
    Spread(aReport, false);
  }
}

void
fleet_evidence::OnReport(const std::string& aSender, const load_report& aReport)
{
  for (const auto& [target, requests] : aReport.mRequests) {
    mChooser.SetRemoteLoad(aSender, target, requests, mScheduler.Now());
  }
}

void
fleet_evidence::LogLimit(const target_limit_report& aReport,
                         limit_change aChange,
                         const std::string& aSeenBy)
{
  if (aChange == limit_change::Limited) {
    mMetrics.Counter("cowslipline_target_limits_named_total").Add();
    Log(log_level::Info,
        "target_limited",
        { { "target", aReport.mTarget },
          { "rate", std::to_string(aReport.mRate) },
          { "seen_by", aSeenBy } });
  } else if (aChange == limit_change::Lifted) {
    mMetrics.Counter("cowslipline_target_limits_lifted_total").Add();
    Log(log_level::Info,
        "target_limit_lifted",
        { { "target", aReport.mTarget }, { "seen_by", aSeenBy } });
  }
}

void
fleet_evidence::OnLimitSignal(const target_run& aTarget,
                              const limit_signal& aSignal,
                              steady_time aSentAt)
{
  if (!aSignal.mRate && !aSignal.mIsClear) {
    return;
  }
  const auto now = mScheduler.Now();
  const auto change = mLimits.OnAnswer(aTarget, aSignal.mRate, aSentAt, now);
  if (change == limit_change::None) {
    return;
  }
  target_limit_report report;
  report.mTarget = std::string(aTarget.mId);
  report.mStartedAtMs = aTarget.mStartedAtMs;
  report.mIsNamed = aSignal.mRate.has_value();
  report.mRate = aSignal.mRate.value_or(0);
  report.mAgeMs =
    report.mIsNamed ? 0 : static_cast<std::uint32_t>((now - aSentAt) / 1ms);
  LogLimit(report, change, mMembers.Self().mName);
  Spread(report, true);
}

void
fleet_evidence::OnReport(const std::string& aSender,
                         const target_limit_report& aReport)
{
  const auto rate =
    aReport.mIsNamed ? std::optional<double>(aReport.mRate) : std::nullopt;
  const auto change =
    mLimits.OnReport({ aReport.mTarget,
                       aReport.mStartedAtMs,
                       rate,
                       std::chrono::milliseconds(aReport.mAgeMs) },
                     mScheduler.Now());
  LogLimit(aReport, change, aSender);
  if (aReport.mShouldRelay && change != limit_change::None) {
    Spread(aReport, false);
  }
}

void
fleet_evidence::OnReport(const std::string& aSender,
                         const crash_suspects& aReport)
{
  if (aReport.mScheme != kFingerprintScheme) {
    return;
  }
  const auto now = mScheduler.Now();
  std::size_t blocked = 0;
  for (const auto& suspect : aReport.mSuspects) {
    const bool wasBlocked = mCrashes.IsBlocked(suspect.mRequest, now);
    mCrashes.Merge(suspect, now);
    blocked += !wasBlocked && mCrashes.IsBlocked(suspect.mRequest, now) ? 1 : 0;
  }
  if (blocked > 0) {
    mMetrics.Counter("cowslipline_crash_suspects_learned_total").Add(blocked);
    Log(log_level::Info,
        "crash_suspects_learned",
        { { "peer", aSender }, { "blocked", std::to_string(blocked) } });
  }
  const bool wasAnswered = mInquiry.IsAnswered();
  mInquiry.OnAnswerPart(
    aSender, aReport.mIndex, aReport.mCount, aReport.mIsInformed);
  if (!wasAnswered && mInquiry.IsAnswered()) {
    mIsInquiryAnswered.Set();
  }
}

std::vector<udp_endpoint>
fleet_evidence::MembersToAsk()
{
  const auto now = mScheduler.Now();
  auto peers = mMembers.ZonePeers(now);
  auto relays = mMembers.OtherZoneRelays(++mTurn, now);
  if (!peers.empty()) {
    // Instances that start together do not all ask the same one.
    const auto first = Hash64(mMembers.Self().mName) % peers.size();
    std::rotate(peers.begin(),
                peers.begin() + static_cast<std::ptrdiff_t>(first),
                peers.end());
  }
  // In turn, since all of the own zone may have started together.
  std::vector<udp_endpoint> addresses;
  for (std::size_t i = 0; i < std::max(peers.size(), relays.size()); ++i) {
    for (const auto* members : { &peers, &relays }) {
      if (i < members->size()) {
        addresses.push_back((*members)[i]->mAddress);
      }
    }
  }
  return addresses;
}

void
fleet_evidence::LearnFromOthers(yield_context aYield)
{
  for (std::size_t round = 0; round < kInquiryRounds; ++round) {
    const auto members = MembersToAsk();
    for (std::size_t i = 0; i < std::min(kAskedAtOnce, members.size()); ++i) {
      const auto index = (round * kAskedAtOnce + i) % members.size();
      mLink.Send(target_limits_request{ ++mTurn, true }, members[index]);
    }
    if (members.empty()) {
      break;
    }
    mIsInquiryAnswered.Wait(mScheduler, kInquiryTimeout, aYield);
    if (mInquiry.IsAnswered()) {
      return;
    }
  }
  Log(log_level::Info, "start_not_informed", {});
  mInquiry.GiveUp();
}

void
fleet_evidence::OnRequest(const target_limits_request& aRequest,
                          const udp_endpoint& aFrom)
{
  SendLimits(aFrom);
  if (aRequest.mWantsSuspects) {
    SendSuspects(aFrom);
  }
}

void
fleet_evidence::SendSuspects(const udp_endpoint& aTo)
{
  auto known = mCrashes.Suspects(mScheduler.Now());
  known.resize(std::min(known.size(), kMostSuspectsSent));
  for (const auto& part : PartsOf(std::move(known), mInquiry.IsInformed())) {
    mLink.Send(part, aTo);
  }
}

void
fleet_evidence::SendLimits(const udp_endpoint& aTo)
{
  for (const auto& state : mLimits.States(mScheduler.Now())) {
    mLink.Send(
      target_limit_report{ state.mTarget,
                           state.mStartedAtMs,
                           true,
                           state.mRate.value_or(0),
                           static_cast<std::uint32_t>(state.mAge / 1ms),
                           false },
      aTo);
  }
}

void
fleet_evidence::ShareLoad()
{
  load_report report;
  report.mRequests = mChooser.LocalLoad();
  std::sort(report.mRequests.begin(), report.mRequests.end());
  const auto now = mScheduler.Now();
  const bool isSame = report.mRequests == mLastLoad.mRequests;
  if (isSame && (report.mRequests.empty() || now - mLoadToldAt < kLoadRepeat)) {
    return;
  }
  auto told = report;
  for (const auto& [target, requests] : mLastLoad.mRequests) {
    const bool isGone = std::none_of(
      report.mRequests.begin(),
      report.mRequests.end(),
      [&name = target](const auto& aEntry) { return aEntry.first == name; });
    if (isGone) {
      told.mRequests.emplace_back(target, 0);
    }
  }
  mLastLoad = std::move(report);
  mLoadToldAt = now;
  for (const auto* peer : mMembers.ZonePeers(now)) {
    mLink.Send(told, peer->mAddress);
  }
}

duration
fleet_evidence::LoadInterval() const
{
  const auto peers = mMembers.ZonePeers(mScheduler.Now()).size();
  return std::max<duration>(kShortestLoadInterval,
                            duration(1s) * static_cast<int>(peers) /
                              kLoadMessagesPerSecond);
}

} // namespace cowslipline
