#include "modules/configuration/key_verifier.h"

#include "modules/configuration/access_keys.h"

#include <algorithm>
#include <cctype>

namespace cowslipline {

namespace {

constexpr std::string_view kScheme = "bearer ";
constexpr std::size_t kLongestKey = 256;

bool
IsKeyCharacter(char aCharacter)
{
  constexpr std::string_view kOthers = "-._~+/=";
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         kOthers.find(aCharacter) != std::string_view::npos;
}

bool
HasScheme(std::string_view aHeader)
{
  return aHeader.size() > kScheme.size() &&
         std::equal(kScheme.begin(),
                    kScheme.end(),
                    aHeader.begin(),
                    [](char aExpected, char aCharacter) {
                      return aExpected ==
                             std::tolower(
                               static_cast<unsigned char>(aCharacter));
                    });
}

} // namespace

key_answer
VerifyKey(const snapshot& aSnapshot,
          std::string_view aSecret,
          std::string_view aAuthorization)
{
  if (aAuthorization.empty()) {
    return key_missing{};
  }
  if (!HasScheme(aAuthorization)) {
    return key_malformed{};
  }
  const auto key = aAuthorization.substr(kScheme.size());
  if (key.size() > kLongestKey ||
      !std::all_of(key.begin(), key.end(), IsKeyCharacter)) {
    return key_malformed{};
  }
  const auto found = aSnapshot.mKeys.find(DigestKey(aSecret, key));
  if (found == aSnapshot.mKeys.end()) {
    return key_unknown{};
  }
  if (found->second.mIsWithdrawn) {
    return key_withdrawn{ found->second.mId };
  }
  if (found->second.mOrganisation == kNoOrganisation) {
    return key_unknown{};
  }
  return key_verified{ found->second.mOrganisation, found->second.mId };
}

} // namespace cowslipline
