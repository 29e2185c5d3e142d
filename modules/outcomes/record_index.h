#pragma once

#include "modules/outcomes/segment_format.h"

#include <cstring>
#include <unordered_map>

namespace cowslipline {

/// State of one idempotency key.
struct record
{
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAttempt = 0;
  /// After this time an attempt without an outcome is no longer running.
  wall_milliseconds mAttemptDeadline = 0;
  /// Segment of the record's newest entry.
  segment_number mSegment = 0;
  std::uint16_t mStatus = 0;
  bool mIsFinished = false;
  /// The outcome has a body and a content type, which are stored in the segment
  /// only.
  bool mHasBody = false;
};

/// In-memory index of one shard's log by record key. Contains committed entries
/// only.
class record_index
{
public:
  /// Null when the key has no record.
  const record* Find(const record_key& aKey) const;

  /// Applies a committed entry of a segment. False if the entry does not fit
  /// the key's record, for example because the record belongs to another
  /// attempt.
  bool Apply(const log_entry& aEntry, segment_number aSegment);

  /// Erases the records whose newest entry is in a segment below aFirst.
  void EraseSegmentsBelow(segment_number aFirst);

  /// Moves the records of segment aFrom to aTo, for an open segment that was
  /// sealed under another number than expected.
  void RenumberSegment(segment_number aFrom, segment_number aTo);

  std::size_t Size() const { return mRecords.size(); }
  /// Estimated memory in bytes.
  std::size_t Bytes() const;

private:
  struct key_hash
  {
    // Keys are keyed digests, which are uniformly distributed.
    std::size_t operator()(const record_key& aKey) const noexcept
    {
      std::size_t hash = 0;
      std::memcpy(&hash, aKey.data(), sizeof(hash));
      return hash;
    }
  };

  bool ApplyClaim(const claim_entry& aEntry, segment_number aSegment);
  bool ApplyFinish(const finish_entry& aEntry, segment_number aSegment);
  bool ApplyRelease(const release_entry& aEntry);

  std::unordered_map<record_key, record, key_hash> mRecords;
};

} // namespace cowslipline
