#pragma once

#include "modules/configuration/content.h"
#include "modules/configuration/head.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Largest chunk, in bytes.
constexpr std::size_t kLargestChunkBytes = 512UL * 1024;

/// Largest encoded service, in bytes; leaves room for the chunk's header.
constexpr std::size_t kLargestServiceBytes = kLargestChunkBytes - 1024;

/// Chunks by their digests.
using chunk_map = std::map<digest16, std::string>;

struct encoded_content
{
  /// In the order of the head: organisations, services, keys.
  std::vector<digest16> mDigests;
  chunk_map mChunks;
};

/// Bytes that a service takes in its chunk.
std::size_t
EncodedBytes(const service_definition& aService);

/// Splits the content into chunks. Entries are grouped by the hash of their
/// names, so that a change of one entry alters one chunk and the result does
/// not depend on the order of the entries. Errors: errc::StoreValueTooLarge
/// when one entry exceeds a chunk.
result<encoded_content>
EncodeContent(const configuration_content& aContent);

/// Adds the entries of one chunk to the content.
/// Errors: errc::MessageMalformed.
result<void>
DecodeChunk(std::string_view aBytes, configuration_content& aContent);

/// Errors: errc::NotFound when a chunk of the head is not given,
/// errc::MessageMalformed when one has another digest or content.
result<configuration_content>
DecodeContent(const configuration_head& aHead, const chunk_map& aChunks);

/// Builds the snapshot of a head. The chunks come from an untrusted source:
/// each is checked against its digest. Takes hundreds of milliseconds at the
/// target size, so it is called outside of the control thread. Errors as for
/// DecodeContent.
result<snapshot_pointer>
DecodeSnapshot(const configuration_head& aHead, const chunk_map& aChunks);

} // namespace cowslipline
