#pragma once

#include "core/metrics.h"
#include "core/scheduler.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/limits/allotment_manager.h"
#include "modules/limits/held_tokens.h"
#include "modules/limits/local_fraction.h"
#include "modules/limits/organisation_limits.h"
#include "modules/limits/owner_link.h"
#include "modules/limits/shard_owner.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cowslipline {

/// The holder's side of the limiter: admits requests with tokens granted by the
/// shard owner, or from this instance's own fraction while it is not delegated.
class token_client
{
public:
  token_client(scheduler& aScheduler,
               std::shared_ptr<peer_channel> aChannel,
               std::shared_ptr<membership> aMembership,
               const organisation_limits& aLimits,
               allotment_manager& aAllotment,
               local_fraction& aLocalFraction,
               shard_owner& aOwner);

  /// Errors: errc::RateLimited; errc::NotReady when no owner answers and this
  /// instance has no fraction of its own.
  result<void> Admit(const std::string& aOrganisation,
                     duration aWait,
                     yield_context aYield);

  /// Delay after which a refused request may be sent again.
  duration RetryAfter(const std::string& aOrganisation) const;

  /// Forgets organisations that are not in use.
  void DropIdle();

  std::size_t OrganisationStateCount() const
  {
    return mOrganisationStates.size();
  }

private:
  enum class wait_state
  {
    Waiting,
    Admitted,
    Refused,
  };
  struct waiter
  {
    wait_state mState = wait_state::Waiting;
    steady_time mDeadline;
    event mDone;
  };
  /// State of an organisation in use at this instance.
  struct organisation_state
  {
    std::deque<waiter*> mWaiters; ///< First come, first served.
    held_tokens mTokens;
    double mPerSecond = 0; ///< Recent tokens used per second.
    steady_time mUsedAt{ duration(0) };
    /// No token is expected before this time.
    steady_time mNoTokenUntil{ duration(0) };
    bool mIsRetryPlanned = false;
  };

  bool Take(const std::string& aOrganisation,
            const rate_limits& aLimits,
            organisation_state& aState);
  void NoteUse(organisation_state& aState) const;
  double RecentUse(const organisation_state& aState) const;
  bool WaitForToken(const std::string& aOrganisation,
                    organisation_state& aState,
                    duration aWait,
                    yield_context aYield);
  void ServeWaiters(const std::string& aOrganisation,
                    organisation_state& aState);
  void RefuseLateWaiters(organisation_state& aState);
  void Prefetch(const std::string& aOrganisation,
                const rate_limits& aLimits,
                organisation_state& aState);
  double PrefetchTarget(const rate_limits& aLimits,
                        const organisation_state& aState) const;
  std::uint32_t Wanted(const std::string& aOrganisation,
                       const organisation_state& aState) const;
  void ReportFinished(const std::string& aOrganisation,
                      organisation_state& aState);

  owner_link& LinkTo(const instance_name& aOwner);
  owner_link& LinkFor(const std::string& aOrganisation);
  const instance_name& OwnerOf(shard_index aShard);
  const instance_name& NextOwnerOf(shard_index aShard);
  void RequestTokens(const std::string& aOrganisation);
  void PlanRetry(const std::string& aOrganisation, organisation_state& aState);
  void StartServing(owner_link& aLink);
  void Serve(owner_link& aLink, yield_context aYield);
  void SendReports(owner_link& aLink, yield_context aYield);
  token_request BuildRequest(owner_link& aLink);
  void RequestFromOwner(owner_link& aLink, yield_context aYield);
  void Apply(owner_link& aLink,
             const token_request& aRequest,
             const token_reply& aReply,
             steady_time aSent);
  void ApplyItem(const owner_link& aLink,
                 const std::string& aOrganisation,
                 std::uint64_t aOwnerBoot,
                 const token_reply_item& aItem,
                 steady_time aSent);
  void RetryTokens(const token_request& aRequest);

  scheduler& mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  const organisation_limits& mLimits;
  allotment_manager& mAllotment;
  local_fraction& mLocalFraction;
  shard_owner& mOwner;
  std::map<std::string, organisation_state> mOrganisationStates;
  std::map<instance_name, owner_link> mLinks;
  struct cached_owner
  {
    instance_name mName;
    instance_name mNextName;
    steady_time mUntil{ duration(0) };
    steady_time mNextUntil{ duration(0) };
  };
  std::array<cached_owner, kShardCount> mOwners;
};

} // namespace cowslipline
