#pragma once

#include "core/cbor.h"
#include "core/result.h"
#include "core/time.h"
#include "modules/outcomes/outcomes.h"

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslipline {

struct claim_entry
{
  record_key mKey{};
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAttempt = 0;
  /// Until then the attempt may be running.
  wall_milliseconds mUntil = 0;
};

/// Carries the fingerprint as well, since the segment with the claim may
/// expire earlier than the one with the outcome.
struct finish_entry
{
  record_key mKey{};
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAttempt = 0;
  recorded_outcome mOutcome;
};

struct release_entry
{
  record_key mKey{};
  std::uint64_t mAttempt = 0;
};

using log_entry = std::variant<claim_entry, finish_entry, release_entry>;

/// The entries of one commit.
struct log_batch
{
  /// Random; tells a writer whose answer was lost that its write was applied.
  std::uint64_t mCommitId = 0;
  wall_milliseconds mTime = 0;
  std::vector<log_entry> mEntries;
};

using segment_number = std::uint32_t;

/// Value of `outcomes/<shard>/head`.
struct log_head
{
  /// Sealed segments in force are the numbers in [mFirst, mNext) without the
  /// skipped ones.
  segment_number mFirst = 0;
  segment_number mNext = 0;
  /// Objects below this number have been removed from the store.
  segment_number mRemovedBelow = 0;
  /// Numbers taken by a writer that never got to advance the head.
  std::vector<segment_number> mSkipped;
  /// Encoded batches of the open segment, in order.
  std::vector<std::string> mBatches;
};

/// CBOR of one entry, also used in messages between instances.
nlohmann::json
EntryToJson(const log_entry& aEntry);

// Errors of the decoders: errc::MessageMalformed, also for a format version
// that this program does not know.
result<log_entry>
EntryFromJson(const nlohmann::json& aValue);

std::string
EncodeBatch(const log_batch& aBatch);
result<log_batch>
DecodeBatch(std::string_view aBytes);

std::string
EncodeShardHead(const log_head& aHead);
result<log_head>
DecodeShardHead(std::string_view aBytes);

std::string
EncodeSegment(const std::vector<std::string>& aBatches);
result<std::vector<std::string>>
DecodeSegment(std::string_view aBytes);

nlohmann::json
BytesToJson(std::string_view aBytes);
/// Runs a parser that returns a result over a CBOR value. Missing fields and
/// wrong types become errc::MessageMalformed.
template<typename F>
auto
ParseCbor(std::string_view aBytes, F aParse)
  -> std::invoke_result_t<F, const nlohmann::json&>
{
  const auto value = DecodeCbor(aBytes);
  if (!value) {
    return Fail(value.error());
  }
  try {
    return aParse(*value);
  } catch (const nlohmann::json::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

/// Bytes that an entry takes in a segment, rounded up.
std::size_t
EntryBytes(const log_entry& aEntry);

} // namespace cowslipline
