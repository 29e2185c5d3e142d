#include "modules/outcomes/segment_format.h"

#include "core/cbor.h"
#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;

enum class entry_kind
{
  Claim = 0,
  Finish = 1,
  Release = 2,
};

/// Upper bound of the CBOR size of an entry's fixed fields.
constexpr std::size_t kEntryOverheadBytes = 64;

std::string_view
BytesOf(const json& aValue)
{
  const auto& bytes = aValue.get_binary();
  return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

record_key
ParseKey(const json& aValue)
{
  const auto bytes = BytesOf(aValue);
  record_key key{};
  std::copy_n(bytes.begin(), std::min(bytes.size(), key.size()), key.begin());
  return key;
}

recorded_outcome
ParseOutcome(const json& aValue)
{
  recorded_outcome outcome;
  outcome.mStatus = aValue.at(4).get<int>();
  outcome.mContentType = std::string(BytesOf(aValue.at(5)));
  if (!aValue.at(6).is_null()) {
    outcome.mBody = std::string(BytesOf(aValue.at(6)));
  }
  return outcome;
}

result<log_entry>
ParseEntry(const json& aValue)
{
  const auto kind = aValue.at(0).get<entry_kind>();
  const auto key = ParseKey(aValue.at(1));
  const auto attempt = aValue.at(2).get<std::uint64_t>();
  if (kind == entry_kind::Release) {
    return release_entry{ key, attempt };
  }
  const auto fingerprint = aValue.at(3).get<std::uint64_t>();
  if (kind == entry_kind::Claim) {
    return claim_entry{
      key, fingerprint, attempt, aValue.at(4).get<wall_milliseconds>()
    };
  }
  if (kind == entry_kind::Finish) {
    return finish_entry{ key, fingerprint, attempt, ParseOutcome(aValue) };
  }
  return Fail(errc::MessageMalformed);
}

json
BatchesToJson(const std::vector<std::string>& aBatches)
{
  auto batches = json::array();
  for (const auto& batch : aBatches) {
    batches.push_back(BytesToJson(batch));
  }
  return batches;
}

std::vector<std::string>
ParseBatches(const json& aValue)
{
  std::vector<std::string> batches;
  for (const auto& batch : aValue) {
    batches.emplace_back(BytesOf(batch));
  }
  return batches;
}

bool
IsKnownVersion(const json& aValue)
{
  return aValue.at("v").get<int>() == kFormatVersion;
}

} // namespace

json
BytesToJson(std::string_view aBytes)
{
  return json::binary(
    json::binary_t::container_type(aBytes.begin(), aBytes.end()));
}

json
EntryToJson(const log_entry& aEntry)
{
  if (const auto* claim = std::get_if<claim_entry>(&aEntry)) {
    return json::array({ entry_kind::Claim,
                         BytesToJson(AsView(claim->mKey)),
                         claim->mAttempt,
                         claim->mFingerprint,
                         claim->mAttemptDeadline });
  }
  if (const auto* release = std::get_if<release_entry>(&aEntry)) {
    return json::array({ entry_kind::Release,
                         BytesToJson(AsView(release->mKey)),
                         release->mAttempt });
  }
  const auto& finish = std::get<finish_entry>(aEntry);
  const auto& body = finish.mOutcome.mBody;
  return json::array({ entry_kind::Finish,
                       BytesToJson(AsView(finish.mKey)),
                       finish.mAttempt,
                       finish.mFingerprint,
                       finish.mOutcome.mStatus,
                       BytesToJson(finish.mOutcome.mContentType),
                       body ? BytesToJson(*body) : json() });
}

result<log_entry>
EntryFromJson(const json& aValue)
{
  try {
    return ParseEntry(aValue);
  } catch (const json::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

std::string
EncodeBatch(const log_batch& aBatch)
{
  auto entries = json::array();
  for (const auto& entry : aBatch.mEntries) {
    entries.push_back(EntryToJson(entry));
  }
  return EncodeCbor(json{ { "v", kFormatVersion },
                          { "c", aBatch.mCommitId },
                          { "t", aBatch.mTime },
                          { "e", std::move(entries) } });
}

result<log_batch>
DecodeBatch(std::string_view aBytes)
{
  return ParseCbor(aBytes, [](const json& aValue) -> result<log_batch> {
    if (!IsKnownVersion(aValue)) {
      return Fail(errc::MessageMalformed);
    }
    log_batch batch;
    batch.mCommitId = aValue.at("c").get<std::uint64_t>();
    batch.mTime = aValue.at("t").get<wall_milliseconds>();
    for (const auto& value : aValue.at("e")) {
      auto entry = ParseEntry(value);
      COWSLIPLINE_PROPAGATE(entry);
      batch.mEntries.push_back(std::move(*entry));
    }
    return batch;
  });
}

std::string
EncodeShardHead(const log_head& aHead)
{
  return EncodeCbor(json{ { "v", kFormatVersion },
                          { "f", aHead.mFirstSegment },
                          { "n", aHead.mNextSegment },
                          { "d", aHead.mRemovedBelow },
                          { "s", aHead.mSkipped },
                          { "b", BatchesToJson(aHead.mBatches) } });
}

result<log_head>
DecodeShardHead(std::string_view aBytes)
{
  return ParseCbor(aBytes, [](const json& aValue) -> result<log_head> {
    if (!IsKnownVersion(aValue)) {
      return Fail(errc::MessageMalformed);
    }
    log_head head;
    head.mFirstSegment = aValue.at("f").get<segment_number>();
    head.mNextSegment = aValue.at("n").get<segment_number>();
    head.mRemovedBelow = aValue.at("d").get<segment_number>();
    head.mSkipped = aValue.at("s").get<std::vector<segment_number>>();
    head.mBatches = ParseBatches(aValue.at("b"));
    return head;
  });
}

std::string
EncodeSegment(const std::vector<std::string>& aBatches)
{
  return EncodeCbor(
    json{ { "v", kFormatVersion }, { "b", BatchesToJson(aBatches) } });
}

result<std::vector<std::string>>
DecodeSegment(std::string_view aBytes)
{
  return ParseCbor(aBytes,
                   [](const json& aValue) -> result<std::vector<std::string>> {
                     if (!IsKnownVersion(aValue)) {
                       return Fail(errc::MessageMalformed);
                     }
                     return ParseBatches(aValue.at("b"));
                   });
}

std::size_t
EntryBytes(const log_entry& aEntry)
{
  const auto* finish = std::get_if<finish_entry>(&aEntry);
  if (finish == nullptr) {
    return kEntryOverheadBytes;
  }
  const auto& outcome = finish->mOutcome;
  return kEntryOverheadBytes + outcome.mContentType.size() +
         (outcome.mBody ? outcome.mBody->size() : 0);
}

} // namespace cowslipline
