#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowslipline {

/// 64-bit xxHash. Not for secrets.
std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed = 0);

/// Weight of a member for an item in rendezvous hashing; the member with the
/// highest weight owns the item.
std::uint64_t
RendezvousWeight(std::string_view aMember, std::uint64_t aItem);

using digest16 = std::array<std::uint8_t, 16>;
using digest32 = std::array<std::uint8_t, 32>;

/// Keyed BLAKE2b. The secret may have any length.
digest16
KeyedDigest16(std::string_view aSecret, std::string_view aData);
digest32
KeyedDigest32(std::string_view aSecret, std::string_view aData);

/// Compares in constant time.
bool
AreDigestsEqual(const digest32& aLeft, const digest32& aRight);

std::string
ToHex(std::string_view aBytes);

template<std::size_t N>
std::string_view
AsView(const std::array<std::uint8_t, N>& aDigest)
{
  return { reinterpret_cast<const char*>(aDigest.data()), N };
}

} // namespace cowslipline
