#pragma once

#include "core/scheduler.h"
#include "modules/placement/send_permits.h"
#include "modules/placement/service_retry_budgets.h"
#include "modules/sharing/member_table.h"
#include "modules/sharing/peer_link.h"
#include "modules/sharing/quota_bucket.h"
#include "modules/sharing/quota_holdings.h"
#include "modules/sharing/stated_limits.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cowslipline {

/// Which instance decided an admission and why, for the log.
enum class quota_source
{
  Unlimited,   ///< The organisation has no limit.
  LocalOwner,  ///< This instance, as an owner of the quota.
  RemoteOwner, ///< The first owner, by its reply.
  SecondOwner, ///< The second owner, by its reply; the first did not reply.
  LocalShare,  ///< This instance, by its share of the rate; no owner replied.
};

/// Name of the source as it is written out, e.g. "second_owner".
const char*
QuotaSourceName(quota_source aSource);

/// A decision on a request and where it was made.
struct quota_admission
{
  quota_decision mDecision;
  quota_source mSource = quota_source::Unlimited;
  std::string mDecidedBy{}; ///< Instance; empty if there is no limit.
  /// Of the configuration that states the limit; 0: not known.
  std::uint64_t mVersion = 0;
};

/// Settings of the decisions that owners make.
struct owner_limits
{
  quota_tolerance mQuotas;
  retry_limit mRetries;
};

/// Fleet-wide rate limits and retry budgets. Rendezvous hashing over the
/// members assigns an owner to each organisation's quota, each service's retry
/// budget and each limited target, which decides for all instances. The others
/// ask it with one datagram per decision. For a quota they repeat the request
/// once, then ask the second owner, and at last admit a local share of the
/// rate. Without a reply of either owner nothing is sent to a limited target.
///
/// An instance that becomes the owner of a quota takes it over from its
/// predecessor, with what that has admitted (quota_holdings). Without a reply
/// of the predecessor it begins on its own.
class owner_client
{
public:
  owner_client(scheduler& aScheduler,
               member_table& aMembers,
               peer_link& aLink,
               const owner_limits& aLimits,
               std::uint64_t aFirstRequestId);

  /// The windows must equal the present ones.
  void SetLimits(const owner_limits& aLimits);

  /// Decides on one request of the organisation. aLimit: by the configuration
  /// that the request is handled by. Waits at most 300 ms for replies.
  quota_admission Admit(const std::string& aOrganisation,
                        const stated_limit& aLimit,
                        yield_context aYield);

  /// Counts a request that adds to the retry budget of its service.
  void OnRequest(const std::string& aService)
  {
    mRecentRequests.Add(aService, mScheduler.Now());
  }

  /// Takes one retry from the budget of the service; false if the budget is
  /// spent or the owner does not reply within 50 ms.
  bool TakeRetry(const std::string& aService,
                 retry_use aUse,
                 yield_context aYield);

  /// Takes a permit to send once to a target that limits the fleet's rate, or
  /// that is cold. Nothing if neither owner replies, after 50 ms each.
  std::optional<permit_decision> TakeSendPermit(const std::string& aTarget,
                                                const send_limit& aLimit,
                                                int aPriority,
                                                yield_context aYield);

  /// Hands the organisation's quota over to the instance at aFrom.
  /// aOwn: by this instance's configuration.
  void OnPeerRequest(const quota_handover_request& aRequest,
                     const configured_limit& aOwn,
                     const udp_endpoint& aFrom);
  /// Decides as the owner and replies to the instance at aFrom. aOwn: by this
  /// instance's configuration. The latest version that either of them knows
  /// decides; if neither states a limit, the request is refused.
  void OnPeerRequest(const quota_request& aRequest,
                     const configured_limit& aOwn,
                     const udp_endpoint& aFrom);
  void OnPeerRequest(const retry_request& aRequest, const udp_endpoint& aFrom);
  void OnPeerRequest(const send_permit_request& aRequest,
                     const udp_endpoint& aFrom);
  /// Ignored if the request it replies to has timed out.
  void OnReply(const owner_reply& aReply);
  /// aOwn: by this instance's configuration, for an organisation.
  void OnReply(const quota_handover& aReply,
               const std::function<configured_limit(std::string_view)>& aOwn);

  /// Removes the quota state of organisations without recent requests. To be
  /// called regularly: it also records the time of membership changes.
  void Prune();

private:
  struct owner_decision
  {
    quota_decision mDecision;
    std::uint64_t mVersion = 0; ///< As in owner_reply.
  };

  struct pending_request
  {
    std::optional<owner_decision> mDecision;
    event mReplyArrived;
  };

  /// A quota that is being taken over.
  struct takeover
  {
    /// Replies that are awaited, by the id of the request.
    std::unordered_map<std::uint64_t, udp_endpoint> mAwaited;
    std::vector<udp_endpoint> mAsked;
    std::vector<quota_state> mStates;
    event mReplyArrived;
    event mFinished;
  };

  /// The first and the second owner of an item. Returns copies because the
  /// table may change while a reply is awaited.
  std::vector<fleet_member> OwnersOf(const std::string& aItem) const;

  /// When this instance noticed the last change of the registrations.
  steady_time MembershipChangedAt();

  /// Since when no other instance can have decided on the organisation's
  /// requests. Now, if this instance is not the first owner: the second owner
  /// takes over without a change of the registrations.
  steady_time SoleOwnerSince(const owner_standing& aStanding);

  owner_standing StandingOf(const std::string& aOrganisation);

  /// Decides on a request of the organisation if this instance holds its quota.
  std::optional<owner_decision> DecideIfHeld(const std::string& aOrganisation,
                                             const stated_limit& aLimit);

  /// Decides as an owner: takes the quota over first if it is held elsewhere,
  /// or forwards the request. aAskedBy: the instance that asks; none for a
  /// request of this instance.
  owner_decision DecideAsOwner(const std::string& aOrganisation,
                               const stated_limit& aLimit,
                               const std::optional<udp_endpoint>& aAskedBy,
                               yield_context aYield);

  /// Asks the instance for the quota, unless it has been asked.
  void RequestHandover(takeover& aTaking,
                       const std::string& aOrganisation,
                       const udp_endpoint& aFrom);

  /// Asks the earlier owners for the quota and holds it from then on.
  void TakeOver(const std::string& aOrganisation, yield_context aYield);

  /// Nothing while the limits are the same, as after most new versions.
  static void LogLaterLimit(const std::string& aOrganisation,
                            const stated_limit& aLater,
                            const configured_limit& aOwn);

  void Reply(std::uint64_t aRequestId,
             const owner_decision& aDecision,
             const udp_endpoint& aTo);

  /// Logs that the owner did not reply and skips it for a while.
  void MarkUnresponsive(const fleet_member& aOwner, const std::string& aItem);

  /// Sends the request and waits for the reply; empty after aTimeout.
  template<typename Request>
  std::optional<owner_decision> AskOwner(Request aRequest,
                                         const udp_endpoint& aOwner,
                                         duration aTimeout,
                                         yield_context aYield);

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  quota_buckets mQuotas;
  stated_limits mLimits;
  quota_holdings mHoldings;
  /// Limits requests to a local share of each rate while no owner replies.
  quota_buckets mLocalShares;
  service_retry_budgets mRetries;
  send_permits mSendPermits;
  unreported_request_counter mRecentRequests;
  std::uint64_t mKnownEpoch = 0;
  steady_time mMembershipChangedAt;
  std::uint64_t mNextId;
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_request>>
    mPendingRequests;
  std::unordered_map<std::string, std::shared_ptr<takeover>> mTakeovers;
};

} // namespace cowslipline
