#include "modules/gateway/buffered_reader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace cowslipline {

namespace {

constexpr std::size_t kReadBytes = 65'536;
constexpr std::size_t kChunkLineBytes = 1024;
constexpr std::size_t kTrailerLines = 100;
constexpr std::string_view kLineEnd = "\r\n";

std::optional<read_error>
ToReadError(append_status aStatus)
{
  switch (aStatus) {
    case append_status::OverLimit:
      return read_error::BodyTooLarge;
    case append_status::OverBudget:
      return read_error::OverBudget;
    case append_status::Done:
      break;
  }
  return std::nullopt;
}

/// Size of a chunk; extensions after a semicolon are ignored.
std::optional<std::uint64_t>
ParseChunkSize(std::string_view aLine)
{
  const auto digits = aLine.substr(0, aLine.find(';'));
  std::uint64_t size = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, size, 16);
  const bool isDigit =
    !digits.empty() &&
    std::isxdigit(static_cast<unsigned char>(digits.front())) != 0;
  if (!isDigit || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return size;
}

} // namespace

read_error
ToReadError(io_status aStatus)
{
  switch (aStatus) {
    case io_status::TimedOut:
      return read_error::TimedOut;
    case io_status::Canceled:
      return read_error::Canceled;
    default:
      return read_error::Closed;
  }
}

std::string_view
buffered_reader::Buffered() const
{
  return std::string_view(mBuffer).substr(mStart);
}

void
buffered_reader::Consume(std::size_t aBytes)
{
  mStart += aBytes;
  if (mStart == mBuffer.size()) {
    mBuffer.clear();
    mStart = 0;
  }
}

std::optional<read_error>
buffered_reader::Fill()
{
  std::array<char, kReadBytes> data;
  const auto got = mSocket.Read(data.data(), data.size());
  if (got.mStatus != io_status::Done) {
    return ToReadError(got.mStatus);
  }
  mBuffer.erase(0, mStart);
  mStart = 0;
  mBuffer.append(data.data(), got.mBytes);
  return std::nullopt;
}

tl::expected<std::string, read_error>
buffered_reader::ReadHead(std::size_t aLimit)
{
  while (true) {
    const auto end = FindHeadEnd(Buffered());
    if (end.value_or(Buffered().size()) > aLimit) {
      return tl::unexpected(read_error::HeadTooLarge);
    }
    if (end) {
      std::string head(Buffered().substr(0, *end));
      Consume(*end);
      return head;
    }
    if (const auto error = Fill()) {
      return tl::unexpected(*error);
    }
  }
}

std::optional<read_error>
buffered_reader::ReadBody(const body_framing& aFraming, body_buffer& aBody)
{
  if (aFraming.mIsChunked) {
    return ReadChunks(aBody);
  }
  const auto length = aFraming.mLength.value_or(0);
  if (length > aBody.Limit()) {
    return read_error::BodyTooLarge;
  }
  return ReadExactly(length, aBody);
}

std::optional<read_error>
buffered_reader::ReadExactly(std::uint64_t aSize, body_buffer& aBody)
{
  while (aSize > 0) {
    if (!HasBuffered()) {
      if (const auto error = Fill()) {
        return error;
      }
    }
    const auto count = static_cast<std::size_t>(
      std::min<std::uint64_t>(aSize, Buffered().size()));
    const auto status = aBody.Append(Buffered().substr(0, count));
    if (status != append_status::Done) {
      return ToReadError(status);
    }
    Consume(count);
    aSize -= count;
  }
  return std::nullopt;
}

tl::expected<std::string, read_error>
buffered_reader::ReadLine(std::size_t aLimit)
{
  while (true) {
    const auto buffered = Buffered().substr(0, aLimit + kLineEnd.size());
    const auto end = buffered.find(kLineEnd);
    if (end != buffered.npos) {
      std::string line(buffered.substr(0, end));
      Consume(end + kLineEnd.size());
      return line;
    }
    if (buffered.size() == aLimit + kLineEnd.size()) {
      return tl::unexpected(read_error::Malformed);
    }
    if (const auto error = Fill()) {
      return tl::unexpected(*error);
    }
  }
}

std::optional<read_error>
buffered_reader::ReadChunks(body_buffer& aBody)
{
  while (true) {
    const auto line = ReadLine(kChunkLineBytes);
    if (!line) {
      return line.error();
    }
    const auto size = ParseChunkSize(*line);
    if (!size) {
      return read_error::Malformed;
    }
    if (*size == 0) {
      return SkipTrailers();
    }
    if (*size > aBody.Limit()) {
      return read_error::BodyTooLarge;
    }
    if (const auto error = ReadExactly(*size, aBody)) {
      return error;
    }
    const auto end = ReadLine(0);
    if (!end) {
      return end.error();
    }
  }
}

std::optional<read_error>
buffered_reader::SkipTrailers()
{
  for (std::size_t i = 0; i < kTrailerLines; ++i) {
    const auto line = ReadLine(kChunkLineBytes);
    if (!line) {
      return line.error();
    }
    if (line->empty()) {
      return std::nullopt;
    }
  }
  return read_error::Malformed;
}

} // namespace cowslipline
