#pragma once

#include "modules/sharing/sharing.h"
#include "modules/sync/sync.h"

#include <memory>

namespace cowslipline {

/// Carries the questions of the sync to the reader of the availability zone,
/// and changes to the members of the zone: short ones in one datagram, long
/// ones in parts.
class zone_sync_peers final : public sync_peers
{
public:
  zone_sync_peers(scheduler& aScheduler,
                  member_table& aMembers,
                  peer_link& aLink,
                  metrics& aMetrics,
                  std::uint64_t aSeed)
    : mScheduler(aScheduler)
    , mMembers(aMembers)
    , mLink(aLink)
    , mMetrics(aMetrics)
    , mReaders(aMembers)
    , mNextId(aSeed)
  {
  }

  /// Sends parts, and asks for those that are missing, until Stop().
  void Run(yield_context aYield);
  void Stop();

  bool IsReader() const override;
  std::optional<changes_reply> AskReader(const store_position& aPosition,
                                         yield_context aYield) override;
  void Broadcast(const changes_reply& aChanges) override;
  void PassOverReader() override;
  void OnStoreLost(duration aAge) override;

  /// Sends the answer to a question. One that does not fit into a datagram
  /// names the parts in which it can be asked for.
  void SendAnswer(const changes_reply& aAnswer, const udp_endpoint& aTo);

  /// True when the answer belongs to the open question.
  bool OnAnswer(const changes_reply& aAnswer,
                const std::string& aSender,
                const udp_endpoint& aFrom);
  /// Returns the changes that this part completes.
  std::optional<changes_reply> OnPart(const changes_part& aPart,
                                      const udp_endpoint& aFrom);
  void OnPartsRequest(const changes_parts_request& aRequest,
                      const udp_endpoint& aFrom);
  /// A member has lost the store. True if this instance takes over as the
  /// reader.
  bool OnLostNotice(const std::string& aSender);

private:
  struct outgoing_part
  {
    std::shared_ptr<const split_changes> mChanges;
    std::uint32_t mIndex = 0;
    udp_endpoint mTo;
  };

  /// Splits the changes, unless that was done before.
  std::shared_ptr<const split_changes> Split(const changes_reply& aChanges);
  void SendSomeParts();
  /// False when the parts do not arrive in time.
  bool AwaitParts(const changes_id& aId, yield_context aYield);

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  metrics& mMetrics;
  zone_readers mReaders;
  std::uint64_t mNextId;
  std::uint64_t mAskedId = 0; ///< 0: no question is open.
  std::optional<changes_reply> mAnswer;
  std::string mAnsweredBy;
  udp_endpoint mAnsweredFrom;
  event mAnswered;
  change_transfers mTransfers;
  event mTransferEnded;
  changes_id mLastCompleted;
  std::deque<std::shared_ptr<const split_changes>> mSplits;
  std::deque<outgoing_part> mOutgoing;
  event mWakeUp;
  bool mIsStopped = false;
};

} // namespace cowslipline
