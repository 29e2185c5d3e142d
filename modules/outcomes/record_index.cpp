#include "modules/outcomes/record_index.h"

namespace cowslipline {

namespace {

/// Estimated memory of a map node with its link and allocation header. Buckets
/// are counted separately.
constexpr std::size_t kRecordBytes =
  sizeof(void*) + sizeof(record_key) + sizeof(record) + sizeof(std::size_t);

} // namespace

const record*
record_index::Find(const record_key& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? nullptr : &found->second;
}

bool
record_index::Apply(const log_entry& aEntry, segment_number aSegment)
{
  if (const auto* claim = std::get_if<claim_entry>(&aEntry)) {
    return ApplyClaim(*claim, aSegment);
  }
  if (const auto* finish = std::get_if<finish_entry>(&aEntry)) {
    return ApplyFinish(*finish, aSegment);
  }
  return ApplyRelease(std::get<release_entry>(aEntry));
}

bool
record_index::ApplyClaim(const claim_entry& aEntry, segment_number aSegment)
{
  const auto [found, isNew] = mRecords.try_emplace(aEntry.mKey);
  if (!isNew) {
    return found->second.mAttempt == aEntry.mAttempt;
  }
  auto& record = found->second;
  record.mFingerprint = aEntry.mFingerprint;
  record.mAttempt = aEntry.mAttempt;
  record.mAttemptDeadline = aEntry.mAttemptDeadline;
  record.mSegment = aSegment;
  return true;
}

bool
record_index::ApplyFinish(const finish_entry& aEntry, segment_number aSegment)
{
  // If there is no record, the segment with the claim has expired. The outcome
  // entry alone is enough for a record.
  const auto [found, isNew] = mRecords.try_emplace(aEntry.mKey);
  auto& record = found->second;
  if (!isNew && record.mAttempt != aEntry.mAttempt) {
    return false;
  }
  const auto& outcome = aEntry.mOutcome;
  record.mFingerprint = aEntry.mFingerprint;
  record.mAttempt = aEntry.mAttempt;
  record.mStatus = static_cast<std::uint16_t>(outcome.mStatus);
  record.mIsFinished = true;
  record.mHasBody = outcome.mBody.has_value();
  record.mSegment = aSegment;
  return true;
}

bool
record_index::ApplyRelease(const release_entry& aEntry)
{
  const auto found = mRecords.find(aEntry.mKey);
  if (found == mRecords.end() || found->second.mAttempt != aEntry.mAttempt ||
      found->second.mIsFinished) {
    return false;
  }
  mRecords.erase(found);
  return true;
}

void
record_index::EraseSegmentsBelow(segment_number aFirst)
{
  for (auto next = mRecords.begin(); next != mRecords.end();) {
    next =
      next->second.mSegment < aFirst ? mRecords.erase(next) : std::next(next);
  }
}

void
record_index::RenumberSegment(segment_number aFrom, segment_number aTo)
{
  if (aFrom == aTo) {
    return;
  }
  for (auto& [key, record] : mRecords) {
    if (record.mSegment == aFrom) {
      record.mSegment = aTo;
    }
  }
}

std::size_t
record_index::Bytes() const
{
  return mRecords.size() * kRecordBytes +
         mRecords.bucket_count() * sizeof(void*);
}

} // namespace cowslipline
