#include "core/hash.h"

#include <sodium.h>
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace cowslipline {

namespace {

const unsigned char*
Bytes(std::string_view aData)
{
  return reinterpret_cast<const unsigned char*>(aData.data());
}

template<std::size_t N>
std::array<std::uint8_t, N>
KeyedDigest(std::string_view aSecret, std::string_view aData)
{
  // BLAKE2b takes keys of 16 to 64 bytes; hashing the secret first admits any
  // length.
  std::array<std::uint8_t, 32> key{};
  crypto_generichash(
    key.data(), key.size(), Bytes(aSecret), aSecret.size(), nullptr, 0);
  std::array<std::uint8_t, N> digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     Bytes(aData),
                     aData.size(),
                     key.data(),
                     key.size());
  return digest;
}

} // namespace

std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH64(aData.data(), aData.size(), aSeed);
}

std::uint64_t
RendezvousWeight(std::string_view aMember, std::uint64_t aItem)
{
  return Hash64(aMember, aItem);
}

digest16
KeyedDigest16(std::string_view aSecret, std::string_view aData)
{
  return KeyedDigest<16>(aSecret, aData);
}

digest32
KeyedDigest32(std::string_view aSecret, std::string_view aData)
{
  return KeyedDigest<32>(aSecret, aData);
}

bool
AreDigestsEqual(const digest32& aLeft, const digest32& aRight)
{
  return sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
ToHex(std::string_view aBytes)
{
  std::string text(aBytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), Bytes(aBytes), aBytes.size());
  text.pop_back();
  return text;
}

} // namespace cowslipline
