#pragma once

#include "core/random.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace cowslipline::testing {

struct link_counts
{
  std::uint64_t mMessages = 0;
  std::uint64_t mPayloadBytes = 0;
};

/// Links between the instances of a test, with latency, loss, one-way cuts and
/// pauses. A message to a paused instance waits until it is resumed.
class memory_peer_network
{
public:
  memory_peer_network(scheduler& aScheduler, std::uint64_t aSeed);

  /// The channel of one instance. The network must outlive it.
  std::shared_ptr<peer_channel> Join(const instance_name& aName);
  /// Later messages to and from the instance are lost.
  void Leave(const instance_name& aName);

  void SetLatency(duration aOneWay) { mLatency = aOneWay; }
  void SetLoss(double aProbability) { mLoss = aProbability; }
  /// Cuts or restores one direction.
  void SetCut(const instance_name& aFrom,
              const instance_name& aTo,
              bool aIsCut);
  void SetPaused(const instance_name& aName, bool aIsPaused);

  /// What an instance has sent, replies included.
  link_counts SentBy(const instance_name& aName) const;

private:
  friend class memory_peer_channel;

  /// Waits for the one-way latency. False when the message is lost.
  bool Carry(const instance_name& aFrom,
             const instance_name& aTo,
             std::size_t aBytes,
             yield_context aYield);
  void WaitWhilePaused(const instance_name& aName, yield_context aYield);

  scheduler& mScheduler;
  random_source mRandom;
  duration mLatency{ 500 };
  double mLoss = 0;
  std::set<std::pair<instance_name, instance_name>> mCuts;
  std::set<instance_name> mPaused;
  event mResumed;
  std::map<instance_name, std::shared_ptr<class memory_peer_channel>> mChannels;
  std::map<instance_name, link_counts> mSent;
};

/// Membership that a test sets by hand; one for each instance, so that views
/// can differ.
class fixed_membership final : public membership
{
public:
  fixed_membership(member aSelf, std::vector<member> aLive)
    : mSelf(std::move(aSelf))
    , mLive(std::move(aLive))
  {
  }

  const member& Self() const override { return mSelf; }
  std::vector<member> LiveMembers() const override { return mLive; }
  instance_name OwnerOf(shard_index aShard) const override;
  std::optional<steady_time> LastHeard(
    const instance_name& aName) const override;
  steady_time LastContact() const override { return mLastContact; }
  std::optional<steady_time> AbsentSince(
    const instance_name& aName) const override;

  void SetLive(std::vector<member> aLive) { mLive = std::move(aLive); }
  void SetLastHeard(const instance_name& aName, steady_time aTime)
  {
    mLastHeard[aName] = aTime;
  }
  void SetLastContact(steady_time aTime) { mLastContact = aTime; }
  void SetAbsentSince(const instance_name& aName, steady_time aTime)
  {
    mAbsentSince[aName] = aTime;
  }

private:
  member mSelf;
  std::vector<member> mLive;
  std::map<instance_name, steady_time> mLastHeard;
  std::map<instance_name, steady_time> mAbsentSince;
  steady_time mLastContact = steady_time::max();
};

} // namespace cowslipline::testing
