#include "apps/cowsliplined/snapshot_codec.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

digest16
ToDigest(std::string_view aName)
{
  digest16 digest{};
  std::copy_n(
    aName.begin(), std::min(aName.size(), digest.size()), digest.begin());
  return digest;
}

} // namespace

snapshot_codec::snapshot_codec(scheduler& aScheduler)
  : mPool(std::make_shared<blocking_pool>(aScheduler, 1))
{
}

result<head_summary>
snapshot_codec::ReadHead(std::string_view aHead) const
{
  const auto head = DecodeHead(aHead);
  COWSLIPLINE_PROPAGATE(head);
  head_summary summary;
  summary.mVersion = head->mVersion;
  for (const auto& chunk : head->mChunks) {
    summary.mChunkNames.emplace_back(AsView(chunk));
  }
  return summary;
}

result<snapshot_pointer>
snapshot_codec::Decode(std::string_view aHead,
                       const named_chunks& aChunks,
                       yield_context aYield) const
{
  const auto head = DecodeHead(aHead);
  COWSLIPLINE_PROPAGATE(head);
  chunk_map chunks;
  for (const auto& [name, content] : aChunks) {
    chunks.emplace(ToDigest(name), content);
  }
  return mPool->Run(
    [head = *head, chunks = std::move(chunks)] {
      return DecodeSnapshot(head, chunks);
    },
    aYield);
}

bool
snapshot_codec::IsChunkIntact(const std::string& aName,
                              std::string_view aContent) const
{
  return aName.size() == digest16().size() &&
         DigestChunk(aContent) == ToDigest(aName);
}

std::string
snapshot_codec::ChunkKey(const std::string& aName) const
{
  return cowslipline::ChunkKey(ToDigest(aName));
}

} // namespace cowslipline
