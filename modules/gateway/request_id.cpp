#include "modules/gateway/request_id.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <sodium.h>

namespace cowslipline {

namespace {

constexpr std::size_t kLongestId = 64;
constexpr std::size_t kRandomBytes = 16;

bool
IsIdCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '.' || aCharacter == '-' || aCharacter == '_';
}

} // namespace

bool
IsRequestIdWellFormed(std::string_view aId)
{
  return !aId.empty() && aId.size() <= kLongestId &&
         std::all_of(aId.begin(), aId.end(), IsIdCharacter);
}

std::string
MakeRequestId()
{
  std::array<std::uint8_t, kRandomBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(AsView(bytes));
}

} // namespace cowslipline
