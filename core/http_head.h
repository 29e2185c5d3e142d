#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace cowslipline {

struct header_line
{
  std::string mName;
  std::string mValue;
};

/// Header lines in the order in which they came. Names compare without case.
class header_list
{
public:
  void Add(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);

  /// The first value, or nothing.
  std::optional<std::string_view> Find(std::string_view aName) const;
  std::size_t Count(std::string_view aName) const;
  /// True when a comma-separated list in any line of this name has the token.
  bool HasToken(std::string_view aName, std::string_view aToken) const;
  /// All tokens of the comma-separated lines of this name.
  std::vector<std::string_view> Tokens(std::string_view aName) const;

  const std::vector<header_line>& Lines() const { return mLines; }
  std::vector<header_line>& Lines() { return mLines; }

private:
  std::vector<header_line> mLines;
};

bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/// How the length of a body is given.
struct body_framing
{
  bool mIsChunked = false;
  /// Absent when no Content-Length was given.
  std::optional<std::uint64_t> mLength;
};

struct request_head
{
  std::string mMethod;
  std::string mTarget; ///< Path and query, byte for byte as they came.
  int mMinorVersion = 1;
  header_list mHeaders;
  body_framing mFraming;

  std::string_view Path() const;
  /// Without the question mark; empty when there is none.
  std::string_view Query() const;
  bool WantsClose() const;
};

struct response_head
{
  int mStatus = 0;
  int mMinorVersion = 1;
  header_list mHeaders;
  body_framing mFraming;
};

enum class head_error
{
  Malformed,
  TooLarge,
};

struct head_limits
{
  std::size_t mBytes = 16'384;
  std::size_t mLines = 100;
};

/// Length of the head with its empty line, or nothing while it is incomplete.
std::optional<std::size_t>
FindHeadEnd(std::string_view aData);

/// Parses a whole head strictly, because a lenient parser in front of another
/// one makes request smuggling possible. Refused are: bare CR or LF, control
/// characters, obsolete line folding, white space before the colon, repeated
/// or malformed Content-Length, Content-Length with Transfer-Encoding, codings
/// other than "chunked", and a missing or repeated Host in HTTP/1.1.
tl::expected<request_head, head_error>
ParseRequestHead(std::string_view aHead, const head_limits& aLimits);

/// The same rules for the head of an answer.
tl::expected<response_head, head_error>
ParseResponseHead(std::string_view aHead, const head_limits& aLimits);

} // namespace cowslipline
