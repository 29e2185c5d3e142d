#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "modules/placement/placement.h"
#include "modules/sharing/sharing.h"

#include <functional>
#include <map>
#include <memory>

namespace cowslipline {

class slot_lending;

/// A send that needs a slot of a target.
struct slot_query
{
  std::string mService;
  placement_request mPlacement;
  int mPriority = 0;          ///< 0 is the most urgent.
  bool mMayUseLimited = true; ///< Targets that limit their rate may be chosen.
  duration mTimeLeft{ 0 };    ///< Until the request's deadline.
};

/// A slot of a target, returned to the target's owner when this ends.
class borrowed_slot
{
public:
  borrowed_slot() = default;
  borrowed_slot(std::weak_ptr<slot_lending> aLender,
                std::uint64_t aId,
                const udp_endpoint& aOwner,
                std::string aTarget)
    : mLender(std::move(aLender))
    , mId(aId)
    , mOwner(aOwner)
    , mTarget(std::move(aTarget))
  {
  }
  ~borrowed_slot() { Return(); }
  borrowed_slot(borrowed_slot&& aOther) noexcept { *this = std::move(aOther); }
  borrowed_slot& operator=(borrowed_slot&& aOther) noexcept;
  borrowed_slot(const borrowed_slot&) = delete;
  borrowed_slot& operator=(const borrowed_slot&) = delete;

  /// False for a request that is sent without a lent slot.
  bool IsLent() const { return !mTarget.empty(); }
  const std::string& Target() const { return mTarget; }
  void Return();

private:
  std::weak_ptr<slot_lending> mLender;
  std::uint64_t mId = 0;
  udp_endpoint mOwner; ///< Port 0: this instance.
  std::string mTarget;
};

/// Borrows slots from the instances that own the targets, and lends those that
/// this instance owns (slot_leases), for services whose targets run few
/// requests at a time. One datagram asks, one replies and one returns the
/// slot. Where no owner replies the load balancer chooses without a lease.
class slot_lending : public std::enable_shared_from_this<slot_lending>
{
public:
  /// The targets that a send may go to now.
  using candidate_finder =
    std::function<std::vector<placement_candidate>(const slot_query&)>;

  slot_lending(scheduler& aScheduler,
               member_table& aMembers,
               peer_link& aLink,
               load_balancer& aChooser,
               const outlier_detector& aDetector,
               metrics& aMetrics,
               candidate_finder aFindCandidates,
               std::uint64_t aSeed);

  /// Slots are lent for services whose targets have at most this many; 0: for
  /// none.
  void SetMostSlots(std::uint32_t aSlots) { mMostSlots = aSlots; }

  /// True when slots are lent for the service of these targets.
  bool AreLentFor(const std::vector<placement_candidate>& aCandidates) const;

  /// A slot that is lent, or nothing when the load balancer is to choose. Waits
  /// at most 30 ms for each of three replies. aCandidates is not used after the
  /// first wait.
  std::optional<borrowed_slot> Borrow(
    const slot_query& aQuery,
    const std::vector<placement_candidate>& aCandidates,
    yield_context aYield);

  void OnPeerRequest(const slot_request& aRequest, const udp_endpoint& aFrom);
  void OnReply(const slot_reply& aReply, const udp_endpoint& aFrom);
  void OnReturn(const slot_return& aReturn);

  /// Called by borrowed_slot.
  void Return(std::uint64_t aId, const udp_endpoint& aOwner);

  void Prune();
  std::size_t Lent() const { return mLeases.Size(); }

private:
  struct pending_request
  {
    std::optional<slot_reply> mReply;
    event mReplyArrived;
  };

  /// Owners that did not reply.
  struct silence
  {
    int mMisses = 0;
    steady_time mUntil; ///< It is not asked before.
  };

  struct offer
  {
    borrowed_slot mSlot; ///< Not lent: no target of the group is left.
    bool mIsFull = true;
  };

  /// Nothing when the owner does not reply.
  std::optional<offer> Ask(const slot_query& aQuery,
                           const std::string& aZone,
                           const slot_group& aGroup,
                           yield_context aYield);
  slot_reply Lend(const slot_query& aQuery,
                  const slot_group& aGroup,
                  std::uint64_t aId);
  void Count(const char* aResult);

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  load_balancer& mChooser;
  const outlier_detector& mDetector;
  metrics& mMetrics;
  candidate_finder mFindCandidates;
  random_source mRandom;
  std::uint32_t mMostSlots = 0;
  slot_leases mLeases;
  std::uint64_t mNextId;
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_request>> mPending;
  std::unordered_map<std::string, silence> mSilent; ///< By instance.
  /// Leases that were returned last, by owner.
  std::map<udp_endpoint, std::vector<std::uint64_t>> mReturned;
  steady_time mOtherZonesFullUntil;
};

} // namespace cowslipline
