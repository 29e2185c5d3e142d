#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/outcomes/record_index.h"
#include "modules/outcomes/write_budget.h"
#include "platform/key_value_store.h"

#include <map>
#include <memory>

namespace cowslipline {

/// Services and settings that a shard's owner uses.
struct outcome_environment
{
  /// Not owning: the scheduler owns the tasks, and tasks hold these services.
  scheduler* mScheduler = nullptr;
  std::shared_ptr<key_value_store> mStore;
  std::shared_ptr<metrics> mMetrics;
  outcome_settings mSettings;
};

/// Write-ahead log of one shard in the key-value store, with an in-memory index
/// of its records. It consists of immutable sealed segments and of a head,
/// which contains the open segment. Commits update the head by
/// compare-and-swap, so that an owner with an old head can't commit. Used by
/// one task at a time, except for ReadOutcome().
class shard_log
{
public:
  shard_log(shard_index aShard,
            const outcome_environment& aEnvironment,
            write_budget& aBudget);

  const record_index& Index() const { return mIndex; }

  /// False before the first Refresh() and after a commit that conflicted or
  /// whose answer was lost, since another owner may have changed the head.
  bool IsCurrent() const { return mIsCurrent; }

  /// The index contains everything that was committed before this time.
  steady_time ConfirmedAt() const { return mConfirmedAt; }

  /// Reads what has been committed since the last call. After an error the next
  /// call continues where this one stopped. Errors: errc::StoreUnavailable,
  /// errc::NotReady (the head is older than before, or the content is missing
  /// or can't be decoded).
  result<void> Refresh(yield_context aYield);

  /// Commits a batch. Precondition: IsCurrent(). Errors: errc::StoreUnavailable
  /// (not applied), errc::StoreConflict (not applied, refresh first),
  /// errc::StoreAnswerLost (unknown; refresh, then call IsCommitted()).
  result<void> Append(const log_batch& aBatch, yield_context aYield);

  /// Whether a refresh has found the batch for which Append() returned
  /// errc::StoreAnswerLost.
  bool IsCommitted(std::uint64_t aCommitId) const
  {
    return mIsUnconfirmedFound && mUnconfirmedCommit == aCommitId;
  }

  /// Reads the outcome of a finished record, with its body, from its segment.
  /// Errors: errc::StoreUnavailable, errc::NotFound.
  result<recorded_outcome> ReadOutcome(const record_key& aKey,
                                       yield_context aYield) const;

  /// Whether the store still has segments that have expired.
  bool HasExpiredSegments() const
  {
    return mHead.mRemovedBelow < mHead.mFirstSegment;
  }
  /// Removes one expired segment from the store. Errors: those of
  /// key_value_store::Remove() except errc::StoreConflict.
  result<void> RemoveExpiredSegment(yield_context aYield);

private:
  result<void> ApplyHead(const log_head& aHead, yield_context aYield);
  result<void> ReplaySegment(segment_number aNumber, yield_context aYield);
  result<void> ReplayBatches(const std::vector<std::string>& aBatches,
                             std::size_t aFrom,
                             segment_number aNumber);
  result<segment_number> SealOpenSegment(yield_context aYield);
  result<void> WriteSegment(segment_number aNumber, yield_context aYield);
  bool IsSealDue(const std::string& aBatch) const;
  segment_number FirstUnexpired() const;
  void ApplyCommitted(log_head aHead, const log_batch& aBatch);
  void ApplyCommittedEntry(const log_entry& aEntry);
  void DropExpired(segment_number aFirst);
  result<void> StartSegment(log_head& aHead, yield_context aYield);
  result<void> HandleFailedCommit(std::error_code aError,
                                  std::uint64_t aCommitId);
  result<std::uint64_t> Write(const std::string& aKey,
                              std::uint64_t aExpected,
                              std::string_view aValue,
                              yield_context aYield);
  std::string SegmentKey(segment_number aNumber) const;

  const outcome_environment& mEnvironment;
  write_budget& mBudget;
  std::string mPrefix;
  record_index mIndex;
  log_head mHead;
  /// Store version of mHead.
  std::uint64_t mVersion = kAbsentVersion;
  /// Size of the open segment.
  std::size_t mOpenBytes = 0;
  /// Time of the newest batch of the log.
  wall_milliseconds mNewestBatchTime = 0;
  /// Time of the newest batch up to the end of each sealed segment.
  std::map<segment_number, wall_milliseconds> mSealedTimes;
  segment_number mErasedBelow = 0;
  /// Numbers under which the store has a segment of another writer, with other
  /// content than the open segment of the head at mVersion.
  std::vector<segment_number> mOccupiedNumbers;
  /// Id of the last commit for which no answer arrived.
  std::uint64_t mUnconfirmedCommit = 0;
  bool mIsUnconfirmedFound = false;
  bool mIsCurrent = false;
  steady_time mConfirmedAt{};
};

} // namespace cowslipline
