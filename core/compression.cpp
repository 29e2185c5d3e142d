#include "core/compression.h"

#include "core/check.h"

#include <algorithm>

#include <zlib.h>

namespace cowslipline {

namespace {

const Bytef*
AsBytes(std::string_view aData)
{
  return reinterpret_cast<const Bytef*>(aData.data());
}

Bytef*
AsBytes(std::string& aData)
{
  return reinterpret_cast<Bytef*>(aData.data());
}

} // namespace

std::string
Compress(std::string_view aData)
{
  uLongf size = compressBound(aData.size());
  std::string compressed(size, '\0');
  const int status = compress2(
    AsBytes(compressed), &size, AsBytes(aData), aData.size(), Z_BEST_SPEED);
  // Into a buffer of this size it fails only without memory.
  COWSLIPLINE_INVARIANT(status == Z_OK, "zlib has no memory");
  compressed.resize(size);
  return compressed;
}

result<std::string>
Decompress(std::string_view aCompressed, std::size_t aMaxBytes)
{
  // Text shrinks to about a quarter; the buffer grows for what shrinks more.
  constexpr std::size_t kUsualRatio = 8;
  std::size_t capacity = std::min(
    aMaxBytes, std::max<std::size_t>(1, aCompressed.size()) * kUsualRatio);
  while (true) {
    std::string data(capacity, '\0');
    uLongf size = data.size();
    const int status = uncompress(
      AsBytes(data), &size, AsBytes(aCompressed), aCompressed.size());
    if (status == Z_OK) {
      data.resize(size);
      return data;
    }
    if (status != Z_BUF_ERROR || capacity >= aMaxBytes) {
      return Fail(errc::MessageMalformed);
    }
    capacity = std::min(aMaxBytes, capacity * kUsualRatio);
  }
}

} // namespace cowslipline
