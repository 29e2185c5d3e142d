#include "modules/outcomes/shard_log.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// Store version of every segment: it is created once and never rewritten.
constexpr std::uint64_t kSegmentVersion = 1;

bool
Contains(const std::vector<segment_number>& aNumbers, segment_number aNumber)
{
  return std::find(aNumbers.begin(), aNumbers.end(), aNumber) != aNumbers.end();
}

void
EraseBelow(std::vector<segment_number>& aNumbers, segment_number aFirst)
{
  const auto end =
    std::remove_if(aNumbers.begin(), aNumbers.end(), [=](auto aNumber) {
      return aNumber < aFirst;
    });
  aNumbers.erase(end, aNumbers.end());
}

std::size_t
TotalBytes(const std::vector<std::string>& aBatches)
{
  std::size_t bytes = 0;
  for (const auto& batch : aBatches) {
    bytes += batch.size();
  }
  return bytes;
}

/// Finds a key's newest outcome in encoded batches.
std::optional<recorded_outcome>
FindOutcome(const std::vector<std::string>& aBatches, const record_key& aKey)
{
  for (auto next = aBatches.rbegin(); next != aBatches.rend(); ++next) {
    const auto batch = DecodeBatch(*next);
    if (!batch) {
      return {};
    }
    for (const auto& entry : batch->mEntries) {
      const auto* finish = std::get_if<finish_entry>(&entry);
      if (finish != nullptr && finish->mKey == aKey) {
        return finish->mOutcome;
      }
    }
  }
  return {};
}

} // namespace

shard_log::shard_log(shard_index aShard,
                     const outcome_environment& aEnvironment,
                     write_budget& aBudget)
  : mEnvironment(aEnvironment)
  , mBudget(aBudget)
  , mPrefix("outcomes/" + std::to_string(aShard) + "/")
{
}

std::string
shard_log::SegmentKey(segment_number aNumber) const
{
  return mPrefix + std::to_string(aNumber);
}

result<void>
shard_log::Refresh(yield_context aYield)
{
  const auto start = mEnvironment.mScheduler->Now();
  const auto value = mEnvironment.mStore->Read(mPrefix + "head", aYield);
  COWSLIPLINE_PROPAGATE(value);
  const auto version = *value ? (*value)->mVersion : kAbsentVersion;
  // A store that lost commits would let requests run again.
  COWSLIPLINE_FAIL_IF(
    version < mVersion,
    errc::NotReady,
    "the store's head of a shard is older than the one read before");
  if (version != mVersion) {
    const auto head = DecodeShardHead((*value)->mValue);
    COWSLIPLINE_FAIL_IF(
      !head, errc::NotReady, "the head of a shard's log can't be decoded");
    const auto applied = ApplyHead(*head, aYield);
    COWSLIPLINE_PROPAGATE(applied);
    mVersion = version;
    mOccupiedNumbers.clear();
  }
  mIsCurrent = true;
  mConfirmedAt = start;
  return {};
}

result<void>
shard_log::ApplyHead(const log_head& aHead, yield_context aYield)
{
  auto number = mHead.mNextSegment;
  while (number < aHead.mNextSegment && Contains(aHead.mSkipped, number)) {
    ++number;
  }
  // The segment that was open at the last refresh has been sealed under this
  // number or is still open.
  mIndex.RenumberSegment(mHead.mNextSegment, number);
  mHead.mNextSegment = number;
  DropExpired(aHead.mFirstSegment);
  if (number < aHead.mFirstSegment) {
    mHead.mNextSegment = aHead.mFirstSegment;
    mHead.mBatches.clear();
  }
  for (number = mHead.mNextSegment; number < aHead.mNextSegment; ++number) {
    if (!Contains(aHead.mSkipped, number)) {
      const auto replayed = ReplaySegment(number, aYield);
      COWSLIPLINE_PROPAGATE(replayed);
    }
    mHead.mNextSegment = number + 1;
    mHead.mBatches.clear();
  }
  const auto replayed =
    ReplayBatches(aHead.mBatches, mHead.mBatches.size(), aHead.mNextSegment);
  COWSLIPLINE_PROPAGATE(replayed);
  mHead = aHead;
  mOpenBytes = TotalBytes(mHead.mBatches);
  return {};
}

result<void>
shard_log::ReplaySegment(segment_number aNumber, yield_context aYield)
{
  const auto value = mEnvironment.mStore->Read(SegmentKey(aNumber), aYield);
  COWSLIPLINE_PROPAGATE(value);
  // Another owner may have removed it as expired; the next refresh reads a
  // newer head in that case.
  COWSLIPLINE_FAIL_IF(
    !*value,
    errc::NotReady,
    "a sealed segment of a shard's log is missing in the store");
  const auto batches = DecodeSegment((*value)->mValue);
  COWSLIPLINE_FAIL_IF(!batches,
                      errc::NotReady,
                      "a sealed segment of a shard's log can't be decoded");
  const auto replayed = ReplayBatches(*batches, mHead.mBatches.size(), aNumber);
  COWSLIPLINE_PROPAGATE(replayed);
  mSealedTimes[aNumber] = mNewestBatchTime;
  return {};
}

result<void>
shard_log::ReplayBatches(const std::vector<std::string>& aBatches,
                         std::size_t aFrom,
                         segment_number aNumber)
{
  for (auto next = aFrom; next < aBatches.size(); ++next) {
    const auto batch = DecodeBatch(aBatches[next]);
    COWSLIPLINE_FAIL_IF(
      !batch, errc::NotReady, "a batch of a shard's log can't be decoded");
    for (const auto& entry : batch->mEntries) {
      mIndex.Apply(entry, aNumber);
    }
    mNewestBatchTime = std::max(mNewestBatchTime, batch->mTime);
    mIsUnconfirmedFound =
      mIsUnconfirmedFound || batch->mCommitId == mUnconfirmedCommit;
  }
  return {};
}

result<void>
shard_log::Append(const log_batch& aBatch, yield_context aYield)
{
  COWSLIPLINE_INVARIANT(mIsCurrent, "a commit needs a refreshed head");
  auto stamped = aBatch;
  // Never earlier than the newest batch, even if the owners' wall clocks
  // differ.
  stamped.mTime =
    std::max(mEnvironment.mScheduler->WallNow(), mNewestBatchTime);
  const auto encoded = EncodeBatch(stamped);
  log_head head = mHead;
  if (IsSealDue(encoded)) {
    const auto started = StartSegment(head, aYield);
    COWSLIPLINE_PROPAGATE(started);
  }
  head.mFirstSegment = FirstUnexpired();
  EraseBelow(head.mSkipped, head.mFirstSegment);
  head.mBatches.push_back(encoded);
  const auto start = mEnvironment.mScheduler->Now();
  const auto version =
    Write(mPrefix + "head", mVersion, EncodeShardHead(head), aYield);
  if (!version) {
    return HandleFailedCommit(version.error(), aBatch.mCommitId);
  }
  mVersion = *version;
  mConfirmedAt = start;
  ApplyCommitted(std::move(head), stamped);
  return {};
}

result<void>
shard_log::StartSegment(log_head& aHead, yield_context aYield)
{
  const auto sealed = SealOpenSegment(aYield);
  COWSLIPLINE_PROPAGATE(sealed);
  for (auto skipped = mHead.mNextSegment; skipped < *sealed; ++skipped) {
    aHead.mSkipped.push_back(skipped);
  }
  aHead.mNextSegment = *sealed + 1;
  aHead.mBatches.clear();
  return {};
}

result<void>
shard_log::HandleFailedCommit(std::error_code aError, std::uint64_t aCommitId)
{
  mIsCurrent = aError == errc::StoreUnavailable;
  if (mIsCurrent || aError == errc::StoreConflict) {
    return Fail(aError);
  }
  mUnconfirmedCommit = aCommitId;
  mIsUnconfirmedFound = false;
  return Fail(errc::StoreAnswerLost);
}

void
shard_log::ApplyCommitted(log_head aHead, const log_batch& aBatch)
{
  if (aHead.mNextSegment != mHead.mNextSegment) {
    mIndex.RenumberSegment(mHead.mNextSegment, aHead.mNextSegment - 1);
    mSealedTimes[aHead.mNextSegment - 1] = mNewestBatchTime;
    mOccupiedNumbers.clear();
  }
  mHead = std::move(aHead);
  mOpenBytes = TotalBytes(mHead.mBatches);
  mNewestBatchTime = aBatch.mTime;
  DropExpired(mHead.mFirstSegment);
  for (const auto& entry : aBatch.mEntries) {
    ApplyCommittedEntry(entry);
  }
}

void
shard_log::ApplyCommittedEntry(const log_entry& aEntry)
{
  const auto* claim = std::get_if<claim_entry>(&aEntry);
  COWSLIPLINE_INVARIANT(
    claim == nullptr || mIndex.Find(claim->mKey) == nullptr,
    "a committed claim has a key that already has a record");
  mIndex.Apply(aEntry, mHead.mNextSegment);
}

bool
shard_log::IsSealDue(const std::string& aBatch) const
{
  return !mHead.mBatches.empty() &&
         mOpenBytes + aBatch.size() > mEnvironment.mSettings.mOpenSegmentBytes;
}

result<segment_number>
shard_log::SealOpenSegment(yield_context aYield)
{
  auto number = mHead.mNextSegment;
  while (Contains(mOccupiedNumbers, number)) {
    ++number;
  }
  const auto written = WriteSegment(number, aYield);
  if (written) {
    return number;
  }
  if (written.error() == errc::StoreConflict) {
    // Either this owner has an old head, or a former owner took the number. A
    // refresh finds out; if the head is unchanged, the number is skipped.
    mOccupiedNumbers.push_back(number);
    mIsCurrent = false;
  }
  return Fail(written.error());
}

result<void>
shard_log::WriteSegment(segment_number aNumber, yield_context aYield)
{
  const auto value = EncodeSegment(mHead.mBatches);
  const auto key = SegmentKey(aNumber);
  const auto written = Write(key, kAbsentVersion, value, aYield);
  if (written || written.error() == errc::StoreUnavailable) {
    return written ? result<void>() : Fail(written.error());
  }
  const auto present = mEnvironment.mStore->Read(key, aYield);
  if (!present || !*present) {
    return Fail(errc::StoreUnavailable);
  }
  return (*present)->mValue == value ? result<void>()
                                     : Fail(errc::StoreConflict);
}

result<std::uint64_t>
shard_log::Write(const std::string& aKey,
                 std::uint64_t aExpected,
                 std::string_view aValue,
                 yield_context aYield)
{
  const auto& clock = *mEnvironment.mScheduler;
  mBudget.Spend(clock.Now());
  mEnvironment.mMetrics->Counter("cowslipline_outcome_store_writes_total")
    .Add();
  mEnvironment.mMetrics->Counter("cowslipline_outcome_store_bytes_total")
    .Add(aValue.size());
  return mEnvironment.mStore->CompareAndSwap(aKey, aExpected, aValue, aYield);
}

segment_number
shard_log::FirstUnexpired() const
{
  auto first = mHead.mFirstSegment;
  const auto oldest = mEnvironment.mScheduler->WallNow() -
                      mEnvironment.mSettings.mRetention.count();
  for (const auto& [number, newest] : mSealedTimes) {
    if (newest >= oldest) {
      break;
    }
    first = number + 1;
  }
  return first;
}

void
shard_log::DropExpired(segment_number aFirst)
{
  if (aFirst <= mErasedBelow) {
    return;
  }
  mErasedBelow = aFirst;
  mSealedTimes.erase(mSealedTimes.begin(), mSealedTimes.lower_bound(aFirst));
  mIndex.EraseSegmentsBelow(aFirst);
}

result<recorded_outcome>
shard_log::ReadOutcome(const record_key& aKey, yield_context aYield) const
{
  const auto* record = mIndex.Find(aKey);
  if (record == nullptr || !record->mIsFinished) {
    return Fail(errc::NotFound);
  }
  if (record->mSegment == mHead.mNextSegment) {
    const auto outcome = FindOutcome(mHead.mBatches, aKey);
    return outcome ? result<recorded_outcome>(*outcome) : Fail(errc::NotFound);
  }
  const auto value =
    mEnvironment.mStore->Read(SegmentKey(record->mSegment), aYield);
  COWSLIPLINE_PROPAGATE(value);
  const auto batches =
    *value ? DecodeSegment((*value)->mValue)
           : result<std::vector<std::string>>(Fail(errc::NotFound));
  COWSLIPLINE_PROPAGATE(batches);
  const auto outcome = FindOutcome(*batches, aKey);
  return outcome ? result<recorded_outcome>(*outcome) : Fail(errc::NotFound);
}

result<void>
shard_log::RemoveExpiredSegment(yield_context aYield)
{
  const auto number = mHead.mRemovedBelow;
  mBudget.Spend(mEnvironment.mScheduler->Now());
  mEnvironment.mMetrics->Counter("cowslipline_outcome_store_writes_total")
    .Add();
  const auto removed =
    mEnvironment.mStore->Remove(SegmentKey(number), kSegmentVersion, aYield);
  // A conflict means that the segment has been removed already.
  if (!removed && removed.error() != errc::StoreConflict) {
    return Fail(removed.error());
  }
  mHead.mRemovedBelow = std::max(mHead.mRemovedBelow, number + 1);
  return {};
}

} // namespace cowslipline
