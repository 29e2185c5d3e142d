#include "modules/gateway/header_hygiene.h"

#include <algorithm>
#include <array>

namespace cowslipline {

namespace {

constexpr std::string_view kScheme = "Bearer ";

/// Shorter keys would remove headers that contain them by chance.
constexpr std::size_t kShortestSearchedKey = 8;

constexpr std::array<std::string_view, 9> kHopByHop{
  "Connection", "Keep-Alive",     "Proxy-Connection",
  "TE",         "Trailer",        "Transfer-Encoding",
  "Upgrade",    "HTTP2-Settings", "Content-Length",
};

constexpr std::array<std::string_view, 8> kNotFromCallers{
  "Authorization", "X-Api-Key",    "Api-Key", "X-Organisation",
  "X-Deadline-Ms", "X-Request-Id", "Host",    "Expect",
};

constexpr std::array<std::string_view, 2> kPrivatePrefixes{ "Proxy-",
                                                            "Cowslipline-" };

template<typename Names>
bool
HasName(const Names& aNames, std::string_view aName)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [aName](std::string_view aOther) {
      return IsSameName(aOther, aName);
    });
}

bool
HasPrivatePrefix(std::string_view aName)
{
  return std::any_of(kPrivatePrefixes.begin(),
                     kPrivatePrefixes.end(),
                     [aName](std::string_view aPrefix) {
                       return IsSameName(aName.substr(0, aPrefix.size()),
                                         aPrefix);
                     });
}

/// Upstreams that map header names to variables read "X_Organisation" as
/// "X-Organisation".
std::string
WithDashes(std::string aName)
{
  std::replace(aName.begin(), aName.end(), '_', '-');
  return aName;
}

bool
ContainsKey(std::string_view aText, std::string_view aKey)
{
  return aKey.size() >= kShortestSearchedKey && aText.find(aKey) != aText.npos;
}

int
HexDigit(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  return -1;
}

std::optional<std::string>
DecodePercent(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    if (i + 2 >= aText.size()) {
      return std::nullopt;
    }
    const int high = HexDigit(aText[i + 1]);
    const int low = HexDigit(aText[i + 2]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

bool
IsKeyParameter(std::string_view aParameter)
{
  const auto name = DecodePercent(aParameter.substr(0, aParameter.find('=')));
  return name && (IsSameName(*name, "key") || IsSameName(*name, "api_key"));
}

bool
HasDoubtfulSegment(std::string_view aPath)
{
  while (!aPath.empty()) {
    aPath.remove_prefix(1); // The slash.
    const auto end = aPath.find('/');
    const auto segment = aPath.substr(0, end);
    const bool isLast = end == aPath.npos;
    // "a/..;x" is a dot segment to some upstreams.
    const auto plain = segment.substr(0, segment.find(';'));
    if (plain == "." || plain == ".." || (segment.empty() && !isLast)) {
      return true;
    }
    aPath = isLast ? std::string_view() : aPath.substr(end);
  }
  return false;
}

} // namespace

std::string_view
PresentedKey(const header_list& aHeaders)
{
  const auto value = aHeaders.Find("Authorization").value_or("");
  if (!IsSameName(value.substr(0, kScheme.size()), kScheme)) {
    return value;
  }
  return value.substr(kScheme.size());
}

header_list
UpstreamHeaders(const header_list& aHeaders, std::string_view aKey)
{
  const auto named = aHeaders.Tokens("Connection");
  header_list kept;
  for (const auto& line : aHeaders.Lines()) {
    const auto name = WithDashes(line.mName);
    const bool isDropped =
      HasName(kHopByHop, name) || HasName(kNotFromCallers, name) ||
      HasPrivatePrefix(name) || HasName(named, line.mName) ||
      ContainsKey(line.mValue, aKey) || ContainsKey(line.mName, aKey);
    if (!isDropped) {
      kept.Add(line.mName, line.mValue);
    }
  }
  return kept;
}

header_list
CallerHeaders(const header_list& aHeaders)
{
  const auto named = aHeaders.Tokens("Connection");
  header_list kept;
  for (const auto& line : aHeaders.Lines()) {
    const bool isDropped =
      HasName(kHopByHop, line.mName) || HasPrivatePrefix(line.mName) ||
      HasName(named, line.mName) || IsSameName(line.mName, "X-Request-Id");
    if (!isDropped) {
      kept.Add(line.mName, line.mValue);
    }
  }
  return kept;
}

std::string
UpstreamTarget(std::string_view aTarget)
{
  const auto mark = aTarget.find('?');
  if (mark == aTarget.npos) {
    return std::string(aTarget);
  }
  std::string target(aTarget.substr(0, mark));
  char separator = '?';
  auto rest = aTarget.substr(mark + 1);
  while (true) {
    const auto end = rest.find('&');
    const auto parameter = rest.substr(0, end);
    if (!IsKeyParameter(parameter)) {
      target += separator;
      target += parameter;
      separator = '&';
    }
    if (end == rest.npos) {
      return target;
    }
    rest.remove_prefix(end + 1);
  }
}

std::optional<std::string>
DecodePath(std::string_view aPath)
{
  auto decoded = DecodePercent(aPath);
  if (!decoded) {
    return std::nullopt;
  }
  const auto slashes = [](std::string_view aText) {
    return std::count(aText.begin(), aText.end(), '/');
  };
  const bool hasDoubtfulCharacter =
    std::any_of(decoded->begin(), decoded->end(), [](char aCharacter) {
      const auto c = static_cast<unsigned char>(aCharacter);
      return c < 0x20 || c == 0x7f || c == '\\';
    });
  if (hasDoubtfulCharacter || slashes(*decoded) != slashes(aPath) ||
      HasDoubtfulSegment(*decoded)) {
    return std::nullopt;
  }
  return decoded;
}

} // namespace cowslipline
