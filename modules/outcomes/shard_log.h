#pragma once

#include "core/metrics.h"
#include "modules/fleet/membership.h"
#include "modules/outcomes/record_index.h"
#include "modules/outcomes/write_budget.h"
#include "platform/key_value_store.h"

#include <map>
#include <memory>

namespace cowslipline {

/// What the owner's side needs from the process.
struct outcome_environment
{
  /// Owns the tasks, so the tasks must not own it.
  scheduler* mScheduler = nullptr;
  std::shared_ptr<key_value_store> mStore;
  std::shared_ptr<metrics> mMetrics;
  outcome_settings mSettings;
};

/// The log of one shard in the store and the index of what it contains. Used
/// by one task at a time, except for ReadOutcome().
class shard_log
{
public:
  shard_log(shard_index aShard,
            const outcome_environment& aEnvironment,
            write_budget& aBudget);

  const record_index& Index() const { return mIndex; }

  /// False before the first Refresh() and after a commit that another owner
  /// may have overtaken.
  bool IsCurrent() const { return mIsCurrent; }

  /// The index contains everything that was committed before this moment.
  steady_time ConfirmedAt() const { return mConfirmedAt; }

  /// Reads what has been committed since. A partial read is continued by the
  /// next call. Errors: errc::StoreUnavailable, errc::NotReady (the content
  /// can't be understood).
  result<void> Refresh(yield_context aYield);

  /// Commits a batch; needs IsCurrent(). Errors: errc::StoreUnavailable (not
  /// applied), errc::StoreConflict (not applied, refresh first),
  /// errc::StoreAnswerLost (refresh, then ask IsCommitted()).
  result<void> Append(const log_batch& aBatch, yield_context aYield);

  /// Whether the batch whose answer was lost has been found since.
  bool IsCommitted(std::uint64_t aCommitId) const
  {
    return mIsLostFound && mLostCommit == aCommitId;
  }

  /// The outcome of a finished record with its body, from the segment.
  /// Errors: errc::StoreUnavailable, errc::NotFound.
  result<recorded_outcome> ReadOutcome(const record_key& aKey,
                                       yield_context aYield) const;

  bool HasExpiredObjects() const { return mHead.mRemovedBelow < mHead.mFirst; }
  /// Removes one expired object from the store.
  result<void> RemoveExpiredObject(yield_context aYield);

private:
  result<void> CatchUp(const log_head& aHead, yield_context aYield);
  result<void> ReplaySegment(segment_number aNumber, yield_context aYield);
  result<void> ReplayBatches(const std::vector<std::string>& aBatches,
                             std::size_t aFrom,
                             segment_number aNumber);
  result<segment_number> Seal(yield_context aYield);
  result<void> WriteSegment(segment_number aNumber, yield_context aYield);
  bool IsSealDue(const std::string& aBatch) const;
  segment_number FirstUnexpired() const;
  void ApplyCommitted(log_head aHead, const log_batch& aBatch);
  void ApplyOwn(const log_entry& aEntry);
  void DropExpired(segment_number aFirst);
  result<void> StartSegment(log_head& aHead, yield_context aYield);
  result<void> NoteFailedCommit(std::error_code aError,
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
  std::uint64_t mVersion = kAbsentVersion;
  std::size_t mOpenBytes = 0;
  /// Newest batch of any segment and of each sealed one, by wall clock.
  wall_milliseconds mNewest = 0;
  std::map<segment_number, wall_milliseconds> mSealed;
  segment_number mErasedBelow = 0;
  /// Numbers that hold another content than the open segment at mVersion.
  std::vector<segment_number> mTaken;
  std::uint64_t mLostCommit = 0;
  bool mIsLostFound = false;
  bool mIsCurrent = false;
  steady_time mConfirmedAt{};
};

} // namespace cowslipline
