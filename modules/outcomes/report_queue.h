#pragma once

#include "modules/fleet/peer_channel.h"
#include "modules/outcomes/record_owner.h"

#include <array>
#include <deque>
#include <memory>

namespace cowslipline {

/// Retry queue (outbox, in memory) of outcomes and releases: sends each to the
/// owner of its shard until the owner has committed it, with exponential
/// backoff. One task for each shard with undelivered entries.
class report_queue : public std::enable_shared_from_this<report_queue>
{
public:
  report_queue(scheduler& aScheduler,
               std::shared_ptr<peer_channel> aPeers,
               std::shared_ptr<membership> aMembership,
               std::shared_ptr<record_owner> aOwner,
               std::uint64_t aSeed);

  /// No effect if the attempt's outcome is queued already.
  void AddFinish(finish_entry aEntry);
  /// No effect if an entry of the attempt is queued already.
  void AddRelease(const release_entry& aEntry);

  /// Number of entries that no owner has committed yet.
  std::size_t Size() const { return mSize; }
  /// True if no new claims should be made.
  bool IsFull() const;

private:
  struct shard_queue
  {
    std::deque<log_entry> mEntries;
    bool mIsRunning = false;
  };

  void Add(const record_key& aKey, log_entry aEntry);
  void Run(shard_index aShard, yield_context aYield);
  bool Deliver(const report_request& aRequest, yield_context aYield);
  report_request NextRequest(shard_index aShard) const;

  scheduler& mScheduler;
  std::shared_ptr<peer_channel> mPeers;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<record_owner> mOwner;
  random_source mRandom;
  std::array<shard_queue, kShardCount> mShardQueues;
  std::size_t mSize = 0;
};

} // namespace cowslipline
