#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/membership_messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cowslipline {

struct membership_options
{
  member mSelf;
  peer_address mAddress; ///< Where peers reach this instance.
  std::vector<peer_address> mSeeds;
  std::uint64_t mRandomSeed = 1;
};

/// Membership by heartbeat digests between peers and by the platform's list.
/// An instance sends a digest to a few peers at a time, whatever the size of
/// the fleet; every authentic frame counts as news of its sender.
class membership_service final
  : public membership
  , public std::enable_shared_from_this<membership_service>
{
public:
  using extra_source = std::function<digest_extra()>;
  using extra_sink =
    std::function<void(const instance_name& aFrom, const digest_extra&)>;
  using address_sink =
    std::function<void(const instance_name&, const peer_address&)>;

  membership_service(scheduler& aScheduler,
                     metrics& aMetrics,
                     std::shared_ptr<peer_channel> aChannel,
                     membership_options aOptions);

  const member& Self() const override { return mOptions.mSelf; }
  std::vector<member> LiveMembers() const override;
  instance_name OwnerOf(shard_index aShard) const override;
  std::optional<steady_time> LastHeard(
    const instance_name& aName) const override;
  steady_time LastContact() const override { return mLastContact; }
  std::optional<steady_time> AbsentSince(
    const instance_name& aName) const override;

  void SetExtra(extra_source aSource, extra_sink aSink);
  void SetAddressSink(address_sink aSink) { mAddressSink = std::move(aSink); }

  /// Registers the message handlers and starts the digest task.
  void Start();
  void Stop() { mIsStopped = true; }

  /// Announces that this instance leaves.
  void SetLeaving();

  /// Called for each authentic frame.
  void NoteHeard(const instance_name& aFrom, std::uint64_t aBoot);
  /// Called when the store has answered.
  void NoteStoreContact() { mLastContact = mScheduler.Now(); }
  /// Takes over the platform's list.
  void ApplyList(const std::vector<listed_instance>& aList);

  /// Members known at any time that did not leave, this one included.
  std::size_t KnownCount() const;
  /// Sends a digest at once to some random peers, for urgent news.
  void Announce();

private:
  struct entry
  {
    member mMember;
    peer_address mAddress;
    std::uint64_t mHeartbeat = 0;
    std::optional<steady_time> mHeardAt;
    /// Smoothed time between two pieces of news.
    duration mNewsGap{ 0 };
    steady_time mChangedAt;
    /// Digests that carried the latest news.
    std::uint32_t mSentCount = 0;
    bool mIsListed = false;
    std::optional<steady_time> mAbsentSince;
  };

  void RunDigests(yield_context aYield);
  void SendDigest(const instance_name& aTo);
  digest_message MakeDigest();
  std::vector<entry*> ChooseNews();
  std::vector<instance_name> ChoosePeers(std::size_t aCount);
  result<std::string> OnDigest(const instance_name& aFrom,
                               std::string_view aPayload,
                               yield_context aYield);
  /// True when the sender's address is news.
  bool ApplySender(const instance_name& aFrom, const digest_message& aDigest);
  void TellAddress(const instance_name& aName,
                   const peer_address& aAddress) const;
  result<std::string> OnDescribe(std::string_view aPayload) const;
  void Describe(const instance_name& aFrom,
                const std::vector<std::uint32_t>& aUnknown,
                yield_context aYield);
  void ApplyDescription(const member_description& aDescription);
  void ApplyHeartbeat(entry& aEntry, const heartbeat_row& aRow);
  void NoteNews(entry& aEntry);
  bool IsAlive(const entry& aEntry) const;
  static duration SuspicionOf(const entry& aEntry);
  void PingSuspects();
  void ForgetGone();
  std::vector<member> ComputeLive() const;
  entry& EntryOf(const instance_name& aName);

  scheduler& mScheduler;
  metrics& mMetrics;
  std::shared_ptr<peer_channel> mChannel;
  membership_options mOptions;
  random_source mRandom;
  std::map<instance_name, entry> mEntries; ///< Without this instance.
  std::map<std::uint32_t, instance_name> mNameByHash;
  extra_source mExtraSource;
  extra_sink mExtraSink;
  address_sink mAddressSink;
  std::uint64_t mHeartbeat = 0;
  steady_time mLastContact;
  std::vector<instance_name> mSeedNames;
  mutable std::vector<member> mLive;
  mutable steady_time mLiveUntil;
  bool mIsStopped = false;
};

} // namespace cowslipline
