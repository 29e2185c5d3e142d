#include "modules/configuration/chunk_groups.h"

#include "core/cbor.h"
#include "core/hash.h"
#include "modules/configuration/field_reader.h"

#include <algorithm>
#include <iterator>

namespace cowslipline {

namespace {

// A change moves one chunk and the head, which holds 16 bytes for each chunk.
// At the target size their sum is smallest at this value: 26 KiB against 35 at
// half of it and 30 at twice (bench_configuration).
constexpr std::size_t kTargetChunkBytes = 16UL * 1024;
constexpr unsigned kHashBits = 64;

using entry_iterator = std::vector<chunk_entry>::iterator;

void
Split(entry_iterator aBegin,
      entry_iterator aEnd,
      unsigned aBit,
      std::vector<std::vector<chunk_entry>>& aGroups)
{
  if (aBegin == aEnd) {
    return;
  }
  std::size_t bytes = 0;
  std::for_each(
    aBegin, aEnd, [&bytes](const auto& aEntry) { bytes += aEntry.mBytes; });
  if (bytes <= kTargetChunkBytes || std::next(aBegin) == aEnd ||
      aBit == kHashBits) {
    aGroups.emplace_back(std::make_move_iterator(aBegin),
                         std::make_move_iterator(aEnd));
    return;
  }
  const auto mask = std::uint64_t{ 1 } << (kHashBits - 1 - aBit);
  const auto middle =
    std::partition_point(aBegin, aEnd, [mask](const auto& aEntry) {
      return (aEntry.mHash & mask) == 0;
    });
  Split(aBegin, middle, aBit + 1, aGroups);
  Split(middle, aEnd, aBit + 1, aGroups);
}

} // namespace

chunk_entry
MakeChunkEntry(const std::string& aName, nlohmann::json aValue)
{
  const auto bytes = EncodeCbor(aValue).size();
  return { Hash64(aName), aName, bytes, std::move(aValue) };
}

std::vector<std::vector<chunk_entry>>
GroupEntries(std::vector<chunk_entry> aEntries)
{
  std::sort(aEntries.begin(),
            aEntries.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::tie(aLeft.mHash, aLeft.mName) <
                     std::tie(aRight.mHash, aRight.mName);
            });
  std::vector<std::vector<chunk_entry>> groups;
  Split(aEntries.begin(), aEntries.end(), 0, groups);
  return groups;
}

} // namespace cowslipline
