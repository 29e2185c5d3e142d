#include "core/http_head.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cowslipline {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kLongestMethod = 32;

char
LowerOf(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z'
           ? static_cast<char>(aCharacter - 'A' + 'a')
           : aCharacter;
}

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  const auto c = static_cast<unsigned char>(aCharacter);
  return std::isalnum(c) != 0 || kOthers.find(aCharacter) != kOthers.npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool
IsValueCharacter(char aCharacter)
{
  const auto c = static_cast<unsigned char>(aCharacter);
  return c == '\t' || (c >= 0x20 && c != 0x7f);
}

bool
IsTargetCharacter(char aCharacter)
{
  const auto c = static_cast<unsigned char>(aCharacter);
  return c > 0x20 && c < 0x7f && c != '#';
}

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

/// Takes the text up to the next CRLF.
std::string_view
TakeLine(std::string_view& aRest)
{
  const auto end = aRest.find(kLineEnd);
  const auto line = aRest.substr(0, end);
  aRest.remove_prefix(std::min(aRest.size(), line.size() + kLineEnd.size()));
  return line;
}

std::optional<std::uint64_t>
ParseLength(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  const bool isDigit =
    !aText.empty() &&
    std::isdigit(static_cast<unsigned char>(aText.front())) != 0;
  if (!isDigit || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

bool
ParseHeaderLine(std::string_view aLine, header_list& aHeaders)
{
  const auto colon = aLine.find(':');
  if (colon == aLine.npos) {
    return false;
  }
  const auto name = aLine.substr(0, colon);
  const auto value = Trim(aLine.substr(colon + 1));
  if (!IsToken(name) ||
      !std::all_of(value.begin(), value.end(), IsValueCharacter)) {
    return false;
  }
  aHeaders.Add(name, value);
  return true;
}

tl::expected<header_list, head_error>
ParseHeaderLines(std::string_view aLines, std::size_t aLimit)
{
  header_list headers;
  while (!aLines.empty()) {
    const auto line = TakeLine(aLines);
    if (line.empty()) {
      break;
    }
    if (headers.Lines().size() == aLimit) {
      return tl::unexpected(head_error::TooLarge);
    }
    if (!ParseHeaderLine(line, headers)) {
      return tl::unexpected(head_error::Malformed);
    }
  }
  return headers;
}

tl::expected<body_framing, head_error>
ParseFraming(const header_list& aHeaders, int aMinorVersion)
{
  constexpr std::string_view kLength = "Content-Length";
  constexpr std::string_view kCoding = "Transfer-Encoding";
  const auto lengths = aHeaders.Count(kLength);
  const auto codings = aHeaders.Count(kCoding);
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
    return tl::unexpected(head_error::Malformed);
  }
  body_framing framing;
  if (lengths == 1) {
    framing.mLength = ParseLength(*aHeaders.Find(kLength));
    if (!framing.mLength) {
      return tl::unexpected(head_error::Malformed);
    }
  }
  if (codings == 1) {
    if (aMinorVersion == 0 || !IsSameName(*aHeaders.Find(kCoding), "chunked")) {
      return tl::unexpected(head_error::Malformed);
    }
    framing.mIsChunked = true;
  }
  return framing;
}

std::optional<int>
ParseMinorVersion(std::string_view aVersion)
{
  if (aVersion.substr(0, kVersionPrefix.size()) != kVersionPrefix ||
      aVersion.size() != kVersionPrefix.size() + 1) {
    return std::nullopt;
  }
  const char digit = aVersion.back();
  if (digit != '0' && digit != '1') {
    return std::nullopt;
  }
  return digit - '0';
}

bool
ParseRequestLine(std::string_view aLine, request_head& aHead)
{
  const auto first = aLine.find(' ');
  const auto last = aLine.rfind(' ');
  if (first == aLine.npos || last == first) {
    return false;
  }
  const auto method = aLine.substr(0, first);
  const auto target = aLine.substr(first + 1, last - first - 1);
  const auto version = ParseMinorVersion(aLine.substr(last + 1));
  if (!IsToken(method) || method.size() > kLongestMethod || !version ||
      target.empty() || target.front() != '/' ||
      !std::all_of(target.begin(), target.end(), IsTargetCharacter)) {
    return false;
  }
  aHead.mMethod = method;
  aHead.mTarget = target;
  aHead.mMinorVersion = *version;
  return true;
}

bool
ParseStatusLine(std::string_view aLine, response_head& aHead)
{
  const auto space = aLine.find(' ');
  const auto version = ParseMinorVersion(aLine.substr(0, space));
  if (!version || space == aLine.npos) {
    return false;
  }
  auto rest = aLine.substr(space + 1);
  const auto status = ParseLength(rest.substr(0, 3));
  if (!status || *status < 100 || *status > 599 ||
      (rest.size() > 3 && rest[3] != ' ')) {
    return false;
  }
  aHead.mMinorVersion = *version;
  aHead.mStatus = static_cast<int>(*status);
  return true;
}

/// Fills in headers and framing of either kind of head.
template<typename Head>
std::optional<head_error>
ParseRest(std::string_view aLines, const head_limits& aLimits, Head& aHead)
{
  auto headers = ParseHeaderLines(aLines, aLimits.mLines);
  if (!headers) {
    return headers.error();
  }
  aHead.mHeaders = std::move(*headers);
  const auto framing = ParseFraming(aHead.mHeaders, aHead.mMinorVersion);
  if (!framing) {
    return framing.error();
  }
  aHead.mFraming = *framing;
  return std::nullopt;
}

} // namespace

bool
IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return LowerOf(aOne) == LowerOf(aOther); });
}

void
header_list::Add(std::string_view aName, std::string_view aValue)
{
  mLines.push_back({ std::string(aName), std::string(aValue) });
}

void
header_list::Remove(std::string_view aName)
{
  mLines.erase(std::remove_if(mLines.begin(),
                              mLines.end(),
                              [aName](const header_line& aLine) {
                                return IsSameName(aLine.mName, aName);
                              }),
               mLines.end());
}

std::optional<std::string_view>
header_list::Find(std::string_view aName) const
{
  for (const auto& line : mLines) {
    if (IsSameName(line.mName, aName)) {
      return line.mValue;
    }
  }
  return std::nullopt;
}

std::size_t
header_list::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(std::count_if(
    mLines.begin(), mLines.end(), [aName](const header_line& aLine) {
      return IsSameName(aLine.mName, aName);
    }));
}

std::vector<std::string_view>
header_list::Tokens(std::string_view aName) const
{
  std::vector<std::string_view> tokens;
  for (const auto& line : mLines) {
    if (!IsSameName(line.mName, aName)) {
      continue;
    }
    std::string_view rest = line.mValue;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      const auto token = Trim(rest.substr(0, comma));
      if (!token.empty()) {
        tokens.push_back(token);
      }
      rest.remove_prefix(comma == rest.npos ? rest.size() : comma + 1);
    }
  }
  return tokens;
}

bool
header_list::HasToken(std::string_view aName, std::string_view aToken) const
{
  const auto tokens = Tokens(aName);
  return std::any_of(
    tokens.begin(), tokens.end(), [aToken](std::string_view aOther) {
      return IsSameName(aOther, aToken);
    });
}

std::string_view
request_head::Path() const
{
  const std::string_view target = mTarget;
  return target.substr(0, target.find('?'));
}

std::string_view
request_head::Query() const
{
  const std::string_view target = mTarget;
  const auto mark = target.find('?');
  return mark == target.npos ? std::string_view() : target.substr(mark + 1);
}

bool
request_head::WantsClose() const
{
  if (mMinorVersion == 0) {
    return !mHeaders.HasToken("Connection", "keep-alive");
  }
  return mHeaders.HasToken("Connection", "close");
}

std::optional<std::size_t>
FindHeadEnd(std::string_view aData)
{
  const auto end = aData.find(kHeadEnd);
  if (end == aData.npos) {
    return std::nullopt;
  }
  return end + kHeadEnd.size();
}

tl::expected<request_head, head_error>
ParseRequestHead(std::string_view aHead, const head_limits& aLimits)
{
  if (aHead.size() > aLimits.mBytes) {
    return tl::unexpected(head_error::TooLarge);
  }
  request_head head;
  if (!ParseRequestLine(TakeLine(aHead), head)) {
    return tl::unexpected(head_error::Malformed);
  }
  if (const auto error = ParseRest(aHead, aLimits, head)) {
    return tl::unexpected(*error);
  }
  const auto hosts = head.mHeaders.Count("Host");
  if (hosts > 1 || (hosts == 0 && head.mMinorVersion == 1)) {
    return tl::unexpected(head_error::Malformed);
  }
  return head;
}

tl::expected<response_head, head_error>
ParseResponseHead(std::string_view aHead, const head_limits& aLimits)
{
  if (aHead.size() > aLimits.mBytes) {
    return tl::unexpected(head_error::TooLarge);
  }
  response_head head;
  if (!ParseStatusLine(TakeLine(aHead), head)) {
    return tl::unexpected(head_error::Malformed);
  }
  if (const auto error = ParseRest(aHead, aLimits, head)) {
    return tl::unexpected(*error);
  }
  return head;
}

} // namespace cowslipline
