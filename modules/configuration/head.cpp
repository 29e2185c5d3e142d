#include "modules/configuration/head.h"

#include "core/cbor.h"
#include "core/check.h"
#include "modules/configuration/field_reader.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr std::uint64_t kHeadFormat = 1;
constexpr std::size_t kLongestAuthor = 500;
constexpr std::size_t kLongestPublicationId = 64;
// Separates chunk digests from other uses of the digest function.
constexpr std::string_view kChunkDomain = "cowslipline configuration chunk";

/// One byte string for all digests is a third smaller than an array of them.
nlohmann::json
PackDigests(const std::vector<digest16>& aDigests)
{
  std::vector<std::uint8_t> bytes;
  bytes.reserve(aDigests.size() * sizeof(digest16));
  for (const auto& digest : aDigests) {
    bytes.insert(bytes.end(), digest.begin(), digest.end());
  }
  return nlohmann::json::binary(std::move(bytes));
}

bool
UnpackDigests(const std::string& aBytes, std::vector<digest16>& aDigests)
{
  if (aBytes.size() % sizeof(digest16) != 0) {
    return false;
  }
  aDigests.resize(aBytes.size() / sizeof(digest16));
  for (std::size_t i = 0; i < aDigests.size(); ++i) {
    std::copy_n(aBytes.begin() + static_cast<long>(i * sizeof(digest16)),
                sizeof(digest16),
                aDigests[i].begin());
  }
  return true;
}

} // namespace

std::string
EncodeHead(const configuration_head& aHead)
{
  auto fields = nlohmann::json::array();
  fields.push_back(kHeadFormat);
  fields.push_back(aHead.mVersion);
  fields.push_back(aHead.mPreviousVersion);
  fields.push_back(aHead.mPublicationId);
  fields.push_back(aHead.mAuthor);
  fields.push_back(static_cast<std::uint64_t>(aHead.mPublishedAt));
  fields.push_back(PackDigests(aHead.mChunks));
  return EncodeCbor(fields);
}

result<configuration_head>
DecodeHead(std::string_view aBytes)
{
  const auto value = DecodeCbor(aBytes);
  COWSLIPLINE_PROPAGATE(value);
  field_reader reader(*value);
  const auto format = reader.Unsigned(kHeadFormat);
  configuration_head head;
  head.mVersion = reader.Unsigned(UINT64_MAX);
  head.mPreviousVersion = reader.Unsigned(UINT64_MAX);
  head.mPublicationId = reader.Text();
  head.mAuthor = reader.Text();
  head.mPublishedAt =
    static_cast<wall_milliseconds>(reader.Unsigned(INT64_MAX));
  const bool hasDigests = UnpackDigests(reader.Bytes(), head.mChunks);
  if (!reader.IsComplete() || format != kHeadFormat || !hasDigests ||
      head.mVersion == 0 || head.mPreviousVersion >= head.mVersion ||
      head.mAuthor.size() > kLongestAuthor ||
      head.mPublicationId.size() > kLongestPublicationId) {
    return Fail(errc::MessageMalformed);
  }
  return head;
}

digest16
DigestChunk(std::string_view aBytes)
{
  return KeyedDigest16(kChunkDomain, aBytes);
}

std::string
ChunkKey(const digest16& aDigest)
{
  return "config/chunk/" + ToHex(AsView(aDigest));
}

std::string
HistoryKey(std::uint64_t aVersion)
{
  return "config/history/" + std::to_string(aVersion);
}

} // namespace cowslipline
