#pragma once

#include "core/metrics.h"
#include "modules/placement/placement.h"
#include "modules/sharing/sharing.h"

namespace cowslipline {

/// Exchanges what instances see of targets. Outcomes that change the use of a
/// target go to the own availability zone at once, and to one instance of each
/// other zone, which passes them on there: an instance's messages do not grow
/// with the number of instances in other zones.
class fleet_evidence
{
public:
  fleet_evidence(scheduler& aScheduler,
                 member_table& aMembers,
                 peer_link& aLink,
                 outlier_detector& aEvidence,
                 load_balancer& aChooser,
                 poison_request_detector& aCrashes,
                 target_rate_limits& aLimits,
                 metrics& aMetrics);

  /// An outcome of a request that this instance sent at aSentAt.
  void OnOutcome(const std::string& aTarget,
                 exchange_outcome aOutcome,
                 steady_time aSentAt);
  /// A target went down while it ran a request that was sent at aSentAt.
  void OnCrash(request_fingerprint aRequest,
               const std::string& aTarget,
               steady_time aSentAt);
  /// A target served the request.
  void OnServed(request_fingerprint aRequest);
  /// An answer to a request that was sent at aSentAt.
  void OnLimitSignal(const target_run& aTarget,
                     const limit_signal& aSignal,
                     steady_time aSentAt);

  /// A message of another instance.
  void OnReport(const std::string& aSender, const target_report& aReport);
  /// aFrom: the instance that sent or passed on the report.
  void OnReport(const crash_report& aReport, const udp_endpoint& aFrom);
  void OnReport(const std::string& aSender, const crash_suspects& aReport);
  void OnReport(const suspicion_cleared& aReport);
  void OnReport(const std::string& aSender, const load_report& aReport);
  void OnReport(const std::string& aSender, const target_limit_report& aReport);

  /// Asks other instances for what happened before the start of this one: the
  /// limits of targets, and which requests crash them. Returns when one has
  /// answered, or nobody can.
  void LearnFromOthers(yield_context aYield);
  /// Answers an instance that has started.
  void OnRequest(const target_limits_request& aRequest,
                 const udp_endpoint& aFrom);

  /// Tells the zone which targets this instance's requests are at, when that
  /// has changed or was not told for a second.
  void ShareLoad();

  /// Time between two calls of ShareLoad: longer in larger zones, so that an
  /// instance sends a bounded number of messages.
  duration LoadInterval() const;

private:
  /// Counts the outcome of a request that was sent aAge ago, and logs a change
  /// of the target's use. True when the outcome is news for others.
  bool Observe(const std::string& aTarget,
               exchange_outcome aOutcome,
               duration aAge,
               const std::string& aSeenBy);
  /// Members to ask at the start, of the own zone and of others in turn.
  std::vector<udp_endpoint> MembersToAsk();
  void SendLimits(const udp_endpoint& aTo);
  void SendSuspects(const udp_endpoint& aTo);
  void Spread(peer_payload aPayload, bool aIsToRelay);
  void LogLimit(const target_limit_report& aReport,
                limit_change aChange,
                const std::string& aSeenBy);

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  outlier_detector& mEvidence;
  load_balancer& mChooser;
  poison_request_detector& mCrashes;
  target_rate_limits& mLimits;
  metrics& mMetrics;
  start_inquiry mInquiry;
  event mIsInquiryAnswered;
  std::uint64_t mTurn = 0; ///< Spreads the relays over the other zones.
  /// What it lists and the next report lacks is sent as zero.
  load_report mLastLoad;
  steady_time mLoadToldAt;
};

} // namespace cowslipline
