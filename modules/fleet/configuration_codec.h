#pragma once

#include "core/scheduler.h"
#include "modules/configuration/snapshot.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// What the distributor needs to know of a head.
struct head_summary
{
  std::uint64_t mVersion = 0;
  /// Names of the chunks, which are digests of their content.
  std::vector<std::string> mChunkNames;
};

using named_chunks = std::map<std::string, std::string>;

/// Reads configuration heads and chunks. Distribution treats both as bytes.
class configuration_codec
{
public:
  virtual ~configuration_codec() = default;

  /// Errors: errc::ConfigurationInvalid.
  virtual result<head_summary> ReadHead(std::string_view aHead) const = 0;

  /// Checks each chunk against its name. May suspend the task, since decoding
  /// takes hundreds of milliseconds at the target size.
  /// Errors: errc::ConfigurationInvalid.
  virtual result<snapshot_pointer> Decode(std::string_view aHead,
                                          const named_chunks& aChunks,
                                          yield_context aYield) const = 0;

  virtual bool IsChunkIntact(const std::string& aName,
                             std::string_view aContent) const = 0;

  /// Key of a chunk in the store.
  virtual std::string ChunkKey(const std::string& aName) const = 0;
};

constexpr char kConfigurationHeadKey[] = "config/head";

} // namespace cowslipline
