#include "tests/fakes/plain_codec.h"

#include <sstream>

namespace cowslipline::testing {

result<head_summary>
plain_codec::ReadHead(std::string_view aHead) const
{
  std::istringstream input{ std::string(aHead) };
  head_summary summary;
  if (!(input >> summary.mVersion)) {
    return Fail(errc::ConfigurationInvalid);
  }
  std::string chunk;
  while (input >> chunk) {
    summary.mChunkNames.push_back(chunk);
  }
  return summary;
}

result<snapshot_pointer>
plain_codec::Decode(std::string_view aHead,
                    const named_chunks& aChunks,
                    yield_context /*aYield*/) const
{
  const auto summary = ReadHead(aHead);
  if (!summary || summary->mChunkNames.size() != aChunks.size()) {
    return Fail(errc::ConfigurationInvalid);
  }
  auto decoded = std::make_shared<snapshot>();
  decoded->mVersion = summary->mVersion;
  return snapshot_pointer(std::move(decoded));
}

} // namespace cowslipline::testing
