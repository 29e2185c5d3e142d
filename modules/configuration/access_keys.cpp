#include "modules/configuration/access_keys.h"

#include <array>
#include <map>

#include <sodium.h>

namespace cowslipline {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kIdBytes = 6;

template<std::size_t N>
std::string
RandomHex()
{
  std::array<std::uint8_t, N> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  auto text = ToHex(AsView(bytes));
  sodium_memzero(bytes.data(), bytes.size());
  return text;
}

/// Keys by id and by digest while two lists are joined.
class key_index
{
public:
  /// Adds a key or withdraws the one of the same id. Returns the conflict in
  /// words, or empty.
  std::string Add(const key_definition& aKey)
  {
    const auto [byDigest, isNewDigest] =
      mIdByDigest.emplace(aKey.mDigest, aKey.mId);
    if (!isNewDigest && byDigest->second != aKey.mId) {
      return "keys \"" + aKey.mId + "\" and \"" + byDigest->second +
             "\" have the same digest";
    }
    const auto [found, isNew] = mIndexById.emplace(aKey.mId, mKeys.size());
    if (isNew) {
      mKeys.push_back(aKey);
      return {};
    }
    auto& known = mKeys[found->second];
    if (known.mDigest != aKey.mDigest) {
      return "key \"" + aKey.mId + "\" is in force with another digest";
    }
    if (known.mOrganisationName != aKey.mOrganisationName) {
      return "key \"" + aKey.mId + "\" is in force for organisation \"" +
             known.mOrganisationName + "\"";
    }
    known.mIsWithdrawn = known.mIsWithdrawn || aKey.mIsWithdrawn;
    return {};
  }

  std::vector<key_definition> mKeys;

private:
  std::map<digest32, std::string> mIdByDigest;
  std::map<std::string, std::size_t> mIndexById;
};

} // namespace

digest32
DigestKey(std::string_view aSecret, std::string_view aKeyText)
{
  return KeyedDigest32(aSecret, aKeyText);
}

issued_key
IssueKey(std::string_view aSecret,
         std::string_view aOrganisation,
         std::string_view aId)
{
  issued_key issued;
  issued.mText = "cw_" + std::string(aId) + "_" + RandomHex<kKeyBytes>();
  issued.mDefinition.mId = aId;
  issued.mDefinition.mOrganisationName = aOrganisation;
  issued.mDefinition.mDigest = DigestKey(aSecret, issued.mText);
  return issued;
}

std::string
MakeKeyId()
{
  return RandomHex<kIdBytes>();
}

tl::expected<std::vector<key_definition>, std::vector<std::string>>
MergeKeys(const std::vector<key_definition>& aInForce,
          const std::vector<key_definition>& aPublished)
{
  key_index index;
  std::vector<std::string> conflicts;
  for (const auto* keys : { &aInForce, &aPublished }) {
    for (const auto& key : *keys) {
      auto conflict = index.Add(key);
      if (!conflict.empty()) {
        conflicts.push_back(std::move(conflict));
      }
    }
  }
  if (!conflicts.empty()) {
    return tl::unexpected<std::vector<std::string>>(std::move(conflicts));
  }
  return std::move(index.mKeys);
}

tl::expected<configuration_content, std::vector<std::string>>
MergeContent(const configuration_content& aInForce,
             const configuration_content& aPublished)
{
  auto keys = MergeKeys(aInForce.mKeys, aPublished.mKeys);
  if (!keys) {
    return tl::unexpected<std::vector<std::string>>(std::move(keys.error()));
  }
  return configuration_content{ aPublished.mServices,
                                aPublished.mOrganisations,
                                std::move(*keys) };
}

} // namespace cowslipline
