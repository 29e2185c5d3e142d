#pragma once

#include "modules/outcomes/segment_format.h"

#include <cstring>
#include <unordered_map>

namespace cowslipline {

struct record
{
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAttempt = 0;
  wall_milliseconds mUntil = 0;
  /// Segment of the record's newest entry.
  segment_number mSegment = 0;
  std::uint16_t mStatus = 0;
  bool mIsFinished = false;
  /// The outcome has a body and a content type, which only the segment holds.
  bool mHasBody = false;
};

/// The records of one shard. Holds nothing but confirmed entries.
class record_index
{
public:
  /// Null when the key has no record.
  const record* Find(const record_key& aKey) const;

  /// Applies an entry of a segment. False when it has no effect because the
  /// key's record belongs to another attempt.
  bool Apply(const log_entry& aEntry, segment_number aSegment);

  /// Drops the records whose newest entry is in an expired segment.
  void EraseBelow(segment_number aFirst);

  /// The open segment got another number than expected when it was sealed.
  void Renumber(segment_number aFrom, segment_number aTo);

  std::size_t Size() const { return mRecords.size(); }
  /// Estimated memory.
  std::size_t Bytes() const;

private:
  struct key_hash
  {
    // The key is a keyed digest, hence already uniform.
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
