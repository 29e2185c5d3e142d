#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// An entry of a chunk, ready to be grouped.
struct chunk_entry
{
  std::uint64_t mHash = 0; ///< Of the entry's name.
  std::string mName;
  std::size_t mBytes = 0; ///< Encoded.
  nlohmann::json mValue;
};

chunk_entry
MakeChunkEntry(const std::string& aName, nlohmann::json aValue);

/// Groups entries by the leading bits of their hashes. A group that exceeds
/// the target size is halved by the next bit. Adding or removing an entry
/// alters one group, or splits or joins one; unlike with a fixed or a
/// proportional number of groups, growth never moves all entries at once.
std::vector<std::vector<chunk_entry>>
GroupEntries(std::vector<chunk_entry> aEntries);

} // namespace cowslipline
