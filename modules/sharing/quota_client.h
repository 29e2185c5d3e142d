#pragma once

#include "core/random.h"
#include "modules/sharing/member_table.h"
#include "modules/sharing/peer_link.h"
#include "modules/sharing/quota_bucket.h"

#include <unordered_map>

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
};

/// Admits requests by the fleet-wide quota of their organisation: asks the
/// organisation's owner with one datagram, and the second owner when it does
/// not reply.
class quota_client
{
public:
  quota_client(scheduler& aScheduler,
               member_table& aMembers,
               peer_link& aLink,
               std::uint64_t aSeed);

  quota_admission Admit(const std::string& aOrganisation,
                        const quota_limit& aLimit,
                        yield_context aYield);

  /// A question of another instance. aLimit: the organisation's limit in this
  /// instance's configuration.
  void OnQuestion(const quota_question& aQuestion,
                  const quota_limit& aLimit,
                  const udp_endpoint& aFrom);
  void OnAnswer(const quota_answer& aAnswer);

  void Prune();

private:
  struct pending_question
  {
    std::optional<quota_decision> mDecision;
    event mAnswered;
  };

  std::optional<quota_decision> Ask(const std::string& aOrganisation,
                                    const fleet_member& aOwner,
                                    duration aWait,
                                    yield_context aYield);

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  quota_buckets mBuckets;
  /// Used while no owner replies: an equal part of each rate.
  quota_buckets mLocalShares;
  std::uint64_t mNextId;
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_question>> mPending;
};

} // namespace cowslipline
