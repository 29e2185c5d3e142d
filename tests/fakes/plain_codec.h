#pragma once

#include "modules/fleet/configuration_codec.h"

namespace cowslipline::testing {

/// Heads of the form "VERSION chunk chunk ..."; a chunk is named after its
/// content.
class plain_codec final : public configuration_codec
{
public:
  result<head_summary> ReadHead(std::string_view aHead) const override;
  result<snapshot_pointer> Decode(std::string_view aHead,
                                  const named_chunks& aChunks,
                                  yield_context aYield) const override;
  bool IsChunkIntact(const std::string& aName,
                     std::string_view aContent) const override
  {
    return aName == aContent;
  }
  std::string ChunkKey(const std::string& aName) const override
  {
    return "config/chunk/" + aName;
  }
};

} // namespace cowslipline::testing
