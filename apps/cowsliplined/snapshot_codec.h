#pragma once

#include "modules/configuration/configuration.h"
#include "modules/fleet/fleet.h"
#include "platform/blocking_pool.h"

namespace cowslipline {

/// Connects the distributor of module fleet with the format of module
/// configuration. Chunk names are the 16 bytes of the digest.
class snapshot_codec final : public configuration_codec
{
public:
  explicit snapshot_codec(scheduler& aScheduler);

  result<head_summary> ReadHead(std::string_view aHead) const override;
  result<snapshot_pointer> Decode(std::string_view aHead,
                                  const named_chunks& aChunks,
                                  yield_context aYield) const override;
  bool IsChunkIntact(const std::string& aName,
                     std::string_view aContent) const override;
  std::string ChunkKey(const std::string& aName) const override;

private:
  std::shared_ptr<blocking_pool> mPool;
};

} // namespace cowslipline
