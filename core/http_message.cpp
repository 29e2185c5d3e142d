#include "core/http_message.h"

#include <algorithm>
#include <charconv>

namespace cowslipline {

namespace {

constexpr std::size_t kLongestChunkLine = 256;
constexpr std::size_t kTrailerBytes = 8192;
constexpr std::size_t kResponseHeadBytes = 32'768;
constexpr int kLowestFinalStatus = 200;

// A server that sends interim responses without end never answers.
constexpr int kMostInterimResponses = 16;

result<void>
ReadExactly(tcp_stream& aStream,
            std::uint64_t aBytes,
            std::string& aBody,
            body_lease& aLease,
            steady_time aDeadline,
            yield_context aYield)
{
  while (aBytes > 0) {
    const auto buffered = aStream.Buffered();
    if (buffered.empty()) {
      const auto filled = aStream.Fill(aDeadline, aYield);
      if (!filled) {
        return filled;
      }
      continue;
    }
    const auto part = static_cast<std::size_t>(
      std::min<std::uint64_t>(aBytes, buffered.size()));
    if (!aLease.Grow(part)) {
      return Fail(errc::TooLarge);
    }
    aBody.append(buffered.substr(0, part));
    aStream.Consume(part);
    aBytes -= part;
  }
  return {};
}

/// Takes one line without its CRLF.
result<std::string>
ReadLine(tcp_stream& aStream,
         std::size_t aLimitBytes,
         steady_time aDeadline,
         yield_context aYield)
{
  while (true) {
    const auto buffered = aStream.Buffered();
    const auto end = buffered.find("\r\n");
    if (end != buffered.npos) {
      std::string line(buffered.substr(0, end));
      aStream.Consume(end + 2);
      return line;
    }
    if (buffered.size() > aLimitBytes) {
      return Fail(errc::MessageMalformed);
    }
    const auto filled = aStream.Fill(aDeadline, aYield);
    if (!filled) {
      return Fail(filled.error());
    }
  }
}

result<std::uint64_t>
ParseChunkSize(std::string_view aLine)
{
  const auto digits = aLine.substr(0, aLine.find(';'));
  std::uint64_t size = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, size, 16);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(errc::MessageMalformed);
  }
  return size;
}

result<void>
SkipTrailers(tcp_stream& aStream, steady_time aDeadline, yield_context aYield)
{
  std::size_t bytes = 0;
  while (true) {
    const auto line = ReadLine(aStream, kTrailerBytes, aDeadline, aYield);
    if (!line) {
      return Fail(line.error());
    }
    if (line->empty()) {
      return {};
    }
    bytes += line->size();
    if (bytes > kTrailerBytes) {
      return Fail(errc::MessageMalformed);
    }
  }
}

result<std::string>
ReadChunks(tcp_stream& aStream,
           body_lease& aLease,
           steady_time aDeadline,
           yield_context aYield)
{
  std::string body;
  while (true) {
    const auto line = ReadLine(aStream, kLongestChunkLine, aDeadline, aYield);
    if (!line) {
      return Fail(line.error());
    }
    const auto size = ParseChunkSize(*line);
    if (!size) {
      return Fail(size.error());
    }
    if (*size == 0) {
      const auto skipped = SkipTrailers(aStream, aDeadline, aYield);
      if (!skipped) {
        return Fail(skipped.error());
      }
      return body;
    }
    const auto read =
      ReadExactly(aStream, *size, body, aLease, aDeadline, aYield);
    if (!read) {
      return Fail(read.error());
    }
    const auto end = ReadLine(aStream, kLongestChunkLine, aDeadline, aYield);
    if (!end) {
      return Fail(end.error());
    }
    if (!end->empty()) {
      return Fail(errc::MessageMalformed);
    }
  }
}

/// The body of a response without a length: it ends with its connection. A
/// reset before the orderly end leaves it incomplete.
result<std::string>
ReadUntilEnd(tcp_stream& aStream,
             body_lease& aLease,
             steady_time aDeadline,
             yield_context aYield)
{
  std::string body;
  while (true) {
    if (!aLease.Grow(aStream.Buffered().size())) {
      return Fail(errc::TooLarge);
    }
    body.append(aStream.Buffered());
    aStream.Consume(aStream.Buffered().size());
    const auto filled = aStream.Fill(aDeadline, aYield);
    if (filled) {
      continue;
    }
    if (filled.error() == asio::error::eof) {
      return body;
    }
    return Fail(filled.error());
  }
}

} // namespace

result<std::string>
ReadHeadBytes(tcp_stream& aStream,
              std::size_t aLimitBytes,
              steady_time aDeadline,
              yield_context aYield)
{
  while (true) {
    const auto end = FindHeadEnd(aStream.Buffered());
    if (end) {
      std::string head(aStream.Buffered().substr(0, *end));
      aStream.Consume(*end);
      return head;
    }
    if (aStream.Buffered().size() > aLimitBytes) {
      return Fail(errc::TooLarge);
    }
    const auto filled = aStream.Fill(aDeadline, aYield);
    if (!filled) {
      return Fail(filled.error());
    }
  }
}

result<std::string>
ReadBody(tcp_stream& aStream,
         const body_framing& aFraming,
         body_lease& aLease,
         steady_time aDeadline,
         yield_context aYield)
{
  if (aFraming.mIsChunked) {
    return ReadChunks(aStream, aLease, aDeadline, aYield);
  }
  const auto length = aFraming.mLength.value_or(0);
  if (!aLease.IsWithinLimit(length)) {
    return Fail(errc::TooLarge);
  }
  std::string body;
  const auto read =
    ReadExactly(aStream, length, body, aLease, aDeadline, aYield);
  if (!read) {
    return Fail(read.error());
  }
  return body;
}

result<http_response>
ReadResponse(tcp_stream& aStream,
             bool aIsHeadRequest,
             body_lease aLease,
             steady_time aDeadline,
             yield_context aYield)
{
  head_limits limits;
  limits.mBytes = kResponseHeadBytes;
  int interim = 0;
  while (true) {
    const auto bytes = ReadHeadBytes(aStream, limits.mBytes, aDeadline, aYield);
    if (!bytes) {
      return Fail(bytes.error());
    }
    auto head = ParseResponseHead(*bytes, limits);
    if (!head || head->mStatus == 101) {
      return Fail(errc::MessageMalformed);
    }
    if (head->mStatus < kLowestFinalStatus) {
      if (++interim > kMostInterimResponses) {
        return Fail(errc::MessageMalformed);
      }
      continue;
    }
    http_response response;
    response.mHead = std::move(*head);
    const auto& framing = response.mHead.mFraming;
    const bool hasBody = !aIsHeadRequest && response.mHead.mStatus != 204 &&
                         response.mHead.mStatus != 304;
    const bool isFramed = !hasBody || framing.mIsChunked || framing.mLength;
    auto body = !hasBody ? result<std::string>(std::string())
                : isFramed
                  ? ReadBody(aStream, framing, aLease, aDeadline, aYield)
                  : ReadUntilEnd(aStream, aLease, aDeadline, aYield);
    if (!body) {
      return Fail(body.error());
    }
    response.mBody = std::move(*body);
    response.mLease = std::move(aLease);
    response.mIsConnectionReusable =
      isFramed && response.mHead.mMinorVersion == 1 &&
      !response.mHead.mHeaders.HasToken("Connection", "close");
    return response;
  }
}

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string
RenderResponseHead(int aStatus, const header_list& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + ' ';
  text += ReasonPhrase(aStatus);
  text += "\r\n";
  for (const auto& line : aHeaders.Lines()) {
    text += line.mName;
    text += ": ";
    text += line.mValue;
    text += "\r\n";
  }
  text += "\r\n";
  return text;
}

} // namespace cowslipline
