#pragma once

#include "core/hash.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Key of the head in the store.
constexpr std::string_view kHeadKey = "config/head";

/// The value of config/head: one publication of the whole configuration.
struct configuration_head
{
  /// Starts at 1 and grows by 1 with each publication.
  std::uint64_t mVersion = 0;
  /// Version that this one replaced; 0 for the first.
  std::uint64_t mPreviousVersion = 0;
  /// Random; tells a publication whose answer was lost from one that lost a
  /// race.
  std::string mPublicationId;
  std::string mAuthor; ///< Free text that names the operator and the reason.
  wall_milliseconds mPublishedAt = 0;
  /// Organisations first, then services, then keys.
  std::vector<digest16> mChunks;
};

std::string
EncodeHead(const configuration_head& aHead);

/// Errors: errc::MessageMalformed, also for another format version.
result<configuration_head>
DecodeHead(std::string_view aBytes);

/// Digest under which the store and peers keep a chunk.
digest16
DigestChunk(std::string_view aBytes);

/// Store key of a chunk: "config/chunk/<32 hexadecimal digits>".
std::string
ChunkKey(const digest16& aDigest);

/// Store key of a replaced head: "config/history/<version>".
std::string
HistoryKey(std::uint64_t aVersion);

} // namespace cowslipline
