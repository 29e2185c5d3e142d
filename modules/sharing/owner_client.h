#pragma once

#include "core/scheduler.h"
#include "modules/placement/service_retry_budgets.h"
#include "modules/sharing/member_table.h"
#include "modules/sharing/peer_link.h"
#include "modules/sharing/quota_bucket.h"

#include <optional>
#include <unordered_map>
#include <utility>

namespace cowslipline {

/// How an admission was decided, for the log.
enum class quota_source
{
  Unlimited,
  Owner,       ///< This instance owns the organisation.
  Peer,        ///< The owner replied.
  SecondOwner, ///< The owner did not reply, the next one did.
  LocalShare,  ///< Nobody replied; this instance's part of the rate.
};

struct quota_admission
{
  quota_decision mDecision;
  quota_source mSource = quota_source::Unlimited;
  std::string mDecidedBy{}; ///< Instance, empty when nobody had to decide.
};

struct owner_limits
{
  quota_tolerance mQuotas;
  retry_limit mRetries;
};

/// Decisions that count over the whole fleet: the quotas of organisations and
/// the retry budgets of services. Rendezvous hashing over the members names an
/// owner for each; the others ask it with one datagram, and the second owner
/// when it does not reply.
class owner_client
{
public:
  owner_client(scheduler& aScheduler,
               member_table& aMembers,
               peer_link& aLink,
               const owner_limits& aLimits,
               std::uint64_t aSeed);

  /// The windows must stay the same.
  void SetLimits(const owner_limits& aLimits);

  quota_admission Admit(const std::string& aOrganisation,
                        const quota_limit& aLimit,
                        yield_context aYield);

  /// Counts a request towards the budget of its service.
  void OnRequest(const std::string& aService)
  {
    mRequests.Add(aService, mScheduler.Now());
  }

  /// Takes one repeated send; false when there is none left or no owner
  /// replies.
  bool TakeRetry(const std::string& aService, yield_context aYield);

  /// Questions of another instance. aLimit: the organisation's limit in this
  /// instance's configuration.
  void OnQuestion(const quota_question& aQuestion,
                  const quota_limit& aLimit,
                  const udp_endpoint& aFrom);
  void OnQuestion(const retry_question& aQuestion, const udp_endpoint& aFrom);
  void OnAnswer(const owner_answer& aAnswer);

  /// Forgets organisations that were not asked for lately.
  void Prune();

private:
  struct pending_question
  {
    std::optional<quota_decision> mDecision;
    event mAnswered;
  };

  /// This instance and the next owner of an item. Copies: the table may change
  /// while a reply is awaited.
  std::vector<fleet_member> OwnersOf(const std::string& aItem) const;

  /// When this instance noticed the last change of the members.
  steady_time MembersSince();

  /// Since when nobody else can have been asked about the organisation. The
  /// second owner takes over without a change of the members.
  steady_time OwnedSince(const std::string& aOrganisation);

  /// The owner did not reply: it is passed over for a while.
  void PassOver(const fleet_member& aOwner, const std::string& aItem);

  template<typename Question>
  std::optional<quota_decision> Ask(Question aQuestion,
                                    const fleet_member& aOwner,
                                    duration aWait,
                                    yield_context aYield);

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  quota_buckets mQuotas;
  /// Used while no owner replies: an equal part of each rate.
  quota_buckets mLocalShares;
  service_retry_budgets mRetries;
  unreported_request_counter mRequests;
  std::uint64_t mKnownEpoch = 0;
  steady_time mMembersSince;
  std::uint64_t mNextId;
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_question>> mPending;
};

} // namespace cowslipline
