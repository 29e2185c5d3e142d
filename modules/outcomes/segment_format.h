#pragma once

#include "core/cbor.h"
#include "core/result.h"
#include "core/time.h"
#include "modules/outcomes/outcomes.h"

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// An attempt was recorded.
struct claim_entry
{
  record_key mKey{};
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAttempt = 0;
  /// The attempt may be running until this time.
  wall_milliseconds mAttemptDeadline = 0;
};

/// An attempt ran with this outcome. Has the fingerprint as well, since the
/// segment with the claim may expire earlier than the one with the outcome.
struct finish_entry
{
  record_key mKey{};
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAttempt = 0;
  recorded_outcome mOutcome;
};

/// An attempt did not run; its record is deleted.
struct release_entry
{
  record_key mKey{};
  std::uint64_t mAttempt = 0;
};

using log_entry = std::variant<claim_entry, finish_entry, release_entry>;

/// The entries of one commit.
struct log_batch
{
  /// Random. A writer that got no answer from the store finds out by it whether
  /// its write was applied.
  std::uint64_t mCommitId = 0;
  /// Time of the commit, never earlier than that of a previous batch.
  wall_milliseconds mTime = 0;
  std::vector<log_entry> mEntries;
};

using segment_number = std::uint32_t;

/// Head of a shard's log: the list of sealed segments and the content of the
/// open one. Value of the store key `outcomes/<shard>/head`.
struct log_head
{
  /// The unexpired sealed segments are the numbers in [mFirstSegment,
  /// mNextSegment) except mSkipped.
  segment_number mFirstSegment = 0;
  segment_number mNextSegment = 0;
  /// Segments below this number have been removed from the store.
  segment_number mRemovedBelow = 0;
  /// Numbers under which another writer stored a segment without then updating
  /// the head.
  std::vector<segment_number> mSkipped;
  /// Encoded batches of the open segment, oldest first.
  std::vector<std::string> mBatches;
};

/// CBOR of one entry, also used in messages between instances.
nlohmann::json
EntryToJson(const log_entry& aEntry);

// Errors of the decoders: errc::MessageMalformed, also for an unknown format
// version.
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
/// Decodes CBOR and passes the value to aParse, which returns a result. Missing
/// fields and wrong types give errc::MessageMalformed.
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

/// Upper bound of the bytes that an entry takes in a segment.
std::size_t
EntryBytes(const log_entry& aEntry);

} // namespace cowslipline
