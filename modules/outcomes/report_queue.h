#pragma once

#include "modules/fleet/peer_channel.h"
#include "modules/outcomes/record_owner.h"

#include <array>
#include <deque>
#include <memory>

namespace cowslipline {

/// Delivers outcomes and releases to the owners of their shards until they
/// are committed. One task for each shard with undelivered entries.
class report_queue : public std::enable_shared_from_this<report_queue>
{
public:
  report_queue(scheduler& aScheduler,
               std::shared_ptr<peer_channel> aPeers,
               std::shared_ptr<membership> aMembership,
               std::shared_ptr<record_owner> aOwner,
               std::uint64_t aSeed);

  void AddFinish(finish_entry aEntry);
  void AddRelease(const release_entry& aEntry);

  /// Entries that no owner has confirmed yet.
  std::size_t Size() const { return mSize; }
  /// No further claims should be made.
  bool IsFull() const;

private:
  struct lane
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
  std::array<lane, kShardCount> mLanes;
  std::size_t mSize = 0;
};

} // namespace cowslipline
