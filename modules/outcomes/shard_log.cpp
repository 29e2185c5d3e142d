#include "modules/outcomes/shard_log.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// A segment is created once and never rewritten.
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

/// The newest outcome of a key among encoded batches.
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
  // Serving from a store that lost commits would run requests again.
  COWSLIPLINE_FAIL_IF(version < mVersion,
                      errc::NotReady,
                      "the store holds an older head of a shard than before");
  if (version != mVersion) {
    const auto head = DecodeShardHead((*value)->mValue);
    COWSLIPLINE_FAIL_IF(
      !head, errc::NotReady, "the head of a shard can't be decoded");
    const auto caughtUp = CatchUp(*head, aYield);
    COWSLIPLINE_PROPAGATE(caughtUp);
    mVersion = version;
    mTaken.clear();
  }
  mIsCurrent = true;
  mConfirmedAt = start;
  return {};
}

result<void>
shard_log::CatchUp(const log_head& aHead, yield_context aYield)
{
  auto number = mHead.mNext;
  while (number < aHead.mNext && Contains(aHead.mSkipped, number)) {
    ++number;
  }
  // What was known as the open segment was sealed under this number, or is
  // still open.
  mIndex.Renumber(mHead.mNext, number);
  mHead.mNext = number;
  DropExpired(aHead.mFirst);
  if (number < aHead.mFirst) {
    mHead.mNext = aHead.mFirst;
    mHead.mBatches.clear();
  }
  for (number = mHead.mNext; number < aHead.mNext; ++number) {
    if (!Contains(aHead.mSkipped, number)) {
      const auto replayed = ReplaySegment(number, aYield);
      COWSLIPLINE_PROPAGATE(replayed);
    }
    mHead.mNext = number + 1;
    mHead.mBatches.clear();
  }
  const auto replayed =
    ReplayBatches(aHead.mBatches, mHead.mBatches.size(), aHead.mNext);
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
  // Another owner may have removed it as expired; the next refresh tells.
  COWSLIPLINE_FAIL_IF(
    !*value, errc::NotReady, "a sealed segment of a shard is missing");
  const auto batches = DecodeSegment((*value)->mValue);
  COWSLIPLINE_FAIL_IF(
    !batches, errc::NotReady, "a sealed segment can't be decoded");
  const auto replayed = ReplayBatches(*batches, mHead.mBatches.size(), aNumber);
  COWSLIPLINE_PROPAGATE(replayed);
  mSealed[aNumber] = mNewest;
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
      !batch, errc::NotReady, "a batch of a shard can't be decoded");
    for (const auto& entry : batch->mEntries) {
      mIndex.Apply(entry, aNumber);
    }
    mNewest = std::max(mNewest, batch->mTime);
    mIsLostFound = mIsLostFound || batch->mCommitId == mLostCommit;
  }
  return {};
}

result<void>
shard_log::Append(const log_batch& aBatch, yield_context aYield)
{
  COWSLIPLINE_INVARIANT(mIsCurrent, "commit on a head that was not read");
  auto stamped = aBatch;
  // Never earlier than what is there, whatever the wall clocks of owners say.
  stamped.mTime = std::max(mEnvironment.mScheduler->WallNow(), mNewest);
  const auto encoded = EncodeBatch(stamped);
  log_head head = mHead;
  if (IsSealDue(encoded)) {
    const auto started = StartSegment(head, aYield);
    COWSLIPLINE_PROPAGATE(started);
  }
  head.mFirst = FirstUnexpired();
  EraseBelow(head.mSkipped, head.mFirst);
  head.mBatches.push_back(encoded);
  const auto start = mEnvironment.mScheduler->Now();
  const auto version =
    Write(mPrefix + "head", mVersion, EncodeShardHead(head), aYield);
  if (!version) {
    return NoteFailedCommit(version.error(), aBatch.mCommitId);
  }
  mVersion = *version;
  mConfirmedAt = start;
  ApplyCommitted(std::move(head), stamped);
  return {};
}

result<void>
shard_log::StartSegment(log_head& aHead, yield_context aYield)
{
  const auto sealed = Seal(aYield);
  COWSLIPLINE_PROPAGATE(sealed);
  for (auto skipped = mHead.mNext; skipped < *sealed; ++skipped) {
    aHead.mSkipped.push_back(skipped);
  }
  aHead.mNext = *sealed + 1;
  aHead.mBatches.clear();
  return {};
}

result<void>
shard_log::NoteFailedCommit(std::error_code aError, std::uint64_t aCommitId)
{
  mIsCurrent = aError == errc::StoreUnavailable;
  if (mIsCurrent || aError == errc::StoreConflict) {
    return Fail(aError);
  }
  mLostCommit = aCommitId;
  mIsLostFound = false;
  return Fail(errc::StoreAnswerLost);
}

void
shard_log::ApplyCommitted(log_head aHead, const log_batch& aBatch)
{
  if (aHead.mNext != mHead.mNext) {
    mIndex.Renumber(mHead.mNext, aHead.mNext - 1);
    mSealed[aHead.mNext - 1] = mNewest;
    mTaken.clear();
  }
  mHead = std::move(aHead);
  mOpenBytes = TotalBytes(mHead.mBatches);
  mNewest = aBatch.mTime;
  DropExpired(mHead.mFirst);
  for (const auto& entry : aBatch.mEntries) {
    ApplyOwn(entry);
  }
}

void
shard_log::ApplyOwn(const log_entry& aEntry)
{
  const auto* claim = std::get_if<claim_entry>(&aEntry);
  COWSLIPLINE_INVARIANT(claim == nullptr || mIndex.Find(claim->mKey) == nullptr,
                        "a committed claim is for a key that has a record");
  mIndex.Apply(aEntry, mHead.mNext);
}

bool
shard_log::IsSealDue(const std::string& aBatch) const
{
  return !mHead.mBatches.empty() &&
         mOpenBytes + aBatch.size() > mEnvironment.mSettings.mOpenSegmentBytes;
}

result<segment_number>
shard_log::Seal(yield_context aYield)
{
  auto number = mHead.mNext;
  while (Contains(mTaken, number)) {
    ++number;
  }
  const auto written = WriteSegment(number, aYield);
  if (written) {
    return number;
  }
  if (written.error() == errc::StoreConflict) {
    // Either this owner is outdated, or an outdated one got here first. A
    // refresh tells; the number is skipped if the head is still the same.
    mTaken.push_back(number);
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
  auto first = mHead.mFirst;
  const auto oldest = mEnvironment.mScheduler->WallNow() -
                      mEnvironment.mSettings.mRetention.count();
  for (const auto& [number, newest] : mSealed) {
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
  mSealed.erase(mSealed.begin(), mSealed.lower_bound(aFirst));
  mIndex.EraseBelow(aFirst);
}

result<recorded_outcome>
shard_log::ReadOutcome(const record_key& aKey, yield_context aYield) const
{
  const auto* record = mIndex.Find(aKey);
  if (record == nullptr || !record->mIsFinished) {
    return Fail(errc::NotFound);
  }
  if (record->mSegment == mHead.mNext) {
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
shard_log::RemoveExpiredObject(yield_context aYield)
{
  const auto number = mHead.mRemovedBelow;
  mBudget.Spend(mEnvironment.mScheduler->Now());
  mEnvironment.mMetrics->Counter("cowslipline_outcome_store_writes_total")
    .Add();
  const auto removed =
    mEnvironment.mStore->Remove(SegmentKey(number), kSegmentVersion, aYield);
  // A conflict means that it is gone already.
  if (!removed && removed.error() != errc::StoreConflict) {
    return Fail(removed.error());
  }
  mHead.mRemovedBelow = std::max(mHead.mRemovedBelow, number + 1);
  return {};
}

} // namespace cowslipline
