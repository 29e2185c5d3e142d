#include "modules/configuration/codec.h"

#include "core/cbor.h"
#include "core/check.h"
#include "modules/configuration/chunk_groups.h"
#include "modules/configuration/entry_codec.h"
#include "modules/configuration/field_reader.h"
#include "modules/configuration/snapshot_builder.h"

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::uint64_t kChunkFormat = 1;

enum class chunk_kind : std::uint8_t
{
  Organisations,
  Services,
  Keys,
};

template<typename T, typename N, typename E>
std::vector<chunk_entry>
MakeEntries(const std::vector<T>& aValues, N aName, E aEncode)
{
  std::vector<chunk_entry> entries;
  entries.reserve(aValues.size());
  for (const auto& value : aValues) {
    entries.push_back(MakeChunkEntry(aName(value), aEncode(value)));
  }
  return entries;
}

result<void>
AddChunks(chunk_kind aKind,
          std::vector<chunk_entry> aEntries,
          encoded_content& aEncoded)
{
  for (auto& group : GroupEntries(std::move(aEntries))) {
    auto values = json::array();
    for (auto& entry : group) {
      values.push_back(std::move(entry.mValue));
    }
    auto bytes =
      EncodeCbor(json::array({ kChunkFormat, aKind, std::move(values) }));
    if (bytes.size() > kLargestChunkBytes) {
      return Fail(errc::StoreValueTooLarge);
    }
    const auto digest = DigestChunk(bytes);
    aEncoded.mDigests.push_back(digest);
    aEncoded.mChunks.emplace(digest, std::move(bytes));
  }
  return {};
}

template<typename T>
result<void>
DecodeEntries(const std::vector<json>& aEntries,
              std::vector<T>& aValues,
              std::optional<T> (*aDecode)(const json&))
{
  aValues.reserve(aValues.size() + aEntries.size());
  for (const auto& entry : aEntries) {
    auto value = aDecode(entry);
    if (!value) {
      return Fail(errc::MessageMalformed);
    }
    aValues.push_back(std::move(*value));
  }
  return {};
}

/// Calls the function with the content of each chunk in the order of the head.
template<typename F>
result<void>
ForEachChunk(const configuration_head& aHead,
             const chunk_map& aChunks,
             F aFunction)
{
  for (const auto& digest : aHead.mChunks) {
    const auto found = aChunks.find(digest);
    if (found == aChunks.end()) {
      return Fail(errc::NotFound);
    }
    if (DigestChunk(found->second) != digest) {
      return Fail(errc::MessageMalformed);
    }
    const result<void> done = aFunction(found->second);
    COWSLIPLINE_PROPAGATE(done);
  }
  return {};
}

} // namespace

std::size_t
EncodedBytes(const service_definition& aService)
{
  return EncodeCbor(EncodeService(aService)).size();
}

result<encoded_content>
EncodeContent(const configuration_content& aContent)
{
  encoded_content encoded;
  const auto organisations =
    AddChunks(chunk_kind::Organisations,
              MakeEntries(
                aContent.mOrganisations,
                [](const auto& aValue) { return aValue.mName; },
                EncodeOrganisation),
              encoded);
  COWSLIPLINE_PROPAGATE(organisations);
  const auto services =
    AddChunks(chunk_kind::Services,
              MakeEntries(
                aContent.mServices,
                [](const auto& aValue) { return aValue.mService.mName; },
                EncodeService),
              encoded);
  COWSLIPLINE_PROPAGATE(services);
  const auto keys = AddChunks(
    chunk_kind::Keys,
    MakeEntries(
      aContent.mKeys, [](const auto& aValue) { return aValue.mId; }, EncodeKey),
    encoded);
  COWSLIPLINE_PROPAGATE(keys);
  return encoded;
}

result<void>
DecodeChunk(std::string_view aBytes, configuration_content& aContent)
{
  const auto value = DecodeCbor(aBytes);
  COWSLIPLINE_PROPAGATE(value);
  field_reader reader(*value);
  const auto format = reader.Unsigned(kChunkFormat);
  const auto kind = reader.Unsigned(static_cast<unsigned>(chunk_kind::Keys));
  const auto& entries = reader.Items();
  if (!reader.IsComplete() || format != kChunkFormat) {
    return Fail(errc::MessageMalformed);
  }
  switch (static_cast<chunk_kind>(kind)) {
    case chunk_kind::Organisations:
      return DecodeEntries(
        entries, aContent.mOrganisations, DecodeOrganisation);
    case chunk_kind::Services:
      return DecodeEntries(entries, aContent.mServices, DecodeService);
    case chunk_kind::Keys:
      return DecodeEntries(entries, aContent.mKeys, DecodeKey);
  }
  return Fail(errc::MessageMalformed);
}

result<configuration_content>
DecodeContent(const configuration_head& aHead, const chunk_map& aChunks)
{
  configuration_content content;
  const auto decoded =
    ForEachChunk(aHead, aChunks, [&content](std::string_view aBytes) {
      return DecodeChunk(aBytes, content);
    });
  COWSLIPLINE_PROPAGATE(decoded);
  return content;
}

result<snapshot_pointer>
DecodeSnapshot(const configuration_head& aHead, const chunk_map& aChunks)
{
  snapshot_builder builder(aHead.mVersion);
  const auto decoded = ForEachChunk(
    aHead, aChunks, [&builder](std::string_view aBytes) -> result<void> {
      configuration_content part;
      const auto isRead = DecodeChunk(aBytes, part);
      COWSLIPLINE_PROPAGATE(isRead);
      return builder.Add(std::move(part));
    });
  COWSLIPLINE_PROPAGATE(decoded);
  return builder.Finish();
}

} // namespace cowslipline
