#include "modules/configuration/text_form.h"

#include <algorithm>
#include <charconv>

#include <asio/ip/address.hpp>

namespace cowslipline {

namespace {

constexpr int kLargestPort = 65535;
constexpr std::size_t kDigestHexDigits = 64;

bool
IsLower(char aCharacter)
{
  return aCharacter >= 'a' && aCharacter <= 'z';
}

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

bool
IsAlphanumeric(char aCharacter)
{
  return IsLower(aCharacter) || IsDigit(aCharacter) ||
         (aCharacter >= 'A' && aCharacter <= 'Z');
}

bool
IsVisible(char aCharacter)
{
  return aCharacter > ' ' && aCharacter < '\x7f';
}

template<typename F>
bool
AreAll(std::string_view aText, F aPredicate)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), aPredicate);
}

bool
IsAlphanumericOr(char aCharacter, std::string_view aOthers)
{
  return IsAlphanumeric(aCharacter) ||
         aOthers.find(aCharacter) != std::string_view::npos;
}

bool
IsName(std::string_view aText)
{
  return AreAll(aText,
                [](char aCharacter) {
                  return IsLower(aCharacter) || IsDigit(aCharacter) ||
                         aCharacter == '-';
                }) &&
         aText.front() != '-' && aText.back() != '-';
}

bool
IsMethod(std::string_view aText)
{
  constexpr std::string_view kMethods[] = { "GET", "HEAD",  "POST",
                                            "PUT", "PATCH", "DELETE" };
  return std::find(std::begin(kMethods), std::end(kMethods), aText) !=
         std::end(kMethods);
}

/// Dot segments and empty segments are refused, because a caller's path is
/// matched as it was sent, without normalization.
bool
IsPath(std::string_view aText)
{
  if (aText.empty() || aText.front() != '/') {
    return false;
  }
  if (aText == "/") {
    return true;
  }
  const auto padded = std::string(aText) + "/";
  return AreAll(aText,
                [](char aCharacter) {
                  return IsAlphanumericOr(aCharacter, "/-._~!$&'()*+,;=:@");
                }) &&
         padded.find("//") == std::string::npos &&
         padded.find("/./") == std::string::npos &&
         padded.find("/../") == std::string::npos;
}

bool
IsAddress(std::string_view aText)
{
  asio::error_code error;
  asio::ip::make_address(std::string(aText), error);
  return !error;
}

bool
IsPeerAddress(std::string_view aText)
{
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(aText), error);
  return !error && !address.is_unspecified();
}

bool
IsHost(std::string_view aText)
{
  return IsAddress(aText) || AreAll(aText, [](char aCharacter) {
           return IsAlphanumericOr(aCharacter, "-.");
         });
}

bool
IsDigest(std::string_view aText)
{
  return aText.size() == kDigestHexDigits && AreAll(aText, [](char aCharacter) {
           return IsDigit(aCharacter) ||
                  (aCharacter >= 'a' && aCharacter <= 'f');
         });
}

bool
IsLogLevel(std::string_view aText)
{
  return aText == "debug" || aText == "info" || aText == "warn" ||
         aText == "error";
}

} // namespace

bool
HasForm(std::string_view aText, text_form aForm)
{
  switch (aForm) {
    case text_form::Name:
      return IsName(aText);
    case text_form::Identifier:
      return AreAll(aText, [](char aCharacter) {
        return IsAlphanumericOr(aCharacter, "-._:[]");
      });
    case text_form::Method:
      return IsMethod(aText);
    case text_form::Path:
      return IsPath(aText);
    case text_form::HeaderName:
      return AreAll(aText, [](char aCharacter) {
        return IsAlphanumericOr(aCharacter, "-_");
      });
    case text_form::FieldName:
      return AreAll(aText, [](char aCharacter) {
        return IsVisible(aCharacter) || aCharacter == ' ';
      });
    case text_form::Address:
      return IsAddress(aText);
    case text_form::PeerAddress:
      return IsPeerAddress(aText);
    case text_form::Endpoint:
      return ParseEndpoint(aText).has_value();
    case text_form::Host:
      return IsHost(aText);
    case text_form::Digest:
      return IsDigest(aText);
    case text_form::LogLevel:
      return IsLogLevel(aText);
    case text_form::Secret:
      return AreAll(aText, IsVisible);
  }
  return false;
}

std::string_view
DescribeForm(text_form aForm)
{
  switch (aForm) {
    case text_form::Name:
      return "lower-case letters, digits and inner hyphens";
    case text_form::Identifier:
      return "letters, digits and - . _ : [ ]";
    case text_form::Method:
      return "GET, HEAD, POST, PUT, PATCH or DELETE";
    case text_form::Path:
      return "a path such as /orders/cutting, without query, empty or dot "
             "segments";
    case text_form::HeaderName:
      return "letters, digits, - and _";
    case text_form::FieldName:
      return "printable ASCII characters";
    case text_form::Address:
      return "an IP number such as 10.0.0.1 or fd00::1";
    case text_form::PeerAddress:
      return "an IP number that peers can reach, not 0.0.0.0";
    case text_form::Endpoint:
      return "an IP number and a port from 1 to 65535, such as 10.0.0.1:8080 "
             "or [fd00::1]:8080";
    case text_form::Host:
      return "an IP number or a host name";
    case text_form::Digest:
      return "64 lower-case hexadecimal digits";
    case text_form::LogLevel:
      return "debug, info, warn or error";
    case text_form::Secret:
      return "visible ASCII characters without spaces";
  }
  return "";
}

std::optional<endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = aText.substr(0, colon);
  const auto portText = aText.substr(colon + 1);
  const bool isBracketed =
    host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const bool hasColon = host.find(':') != std::string_view::npos;
  int port = 0;
  const auto* end = portText.data() + portText.size();
  const auto parsed = std::from_chars(portText.data(), end, port);
  if (!IsAddress(host) || isBracketed != hasColon || parsed.ec != std::errc() ||
      parsed.ptr != end || port < 1 || port > kLargestPort) {
    return std::nullopt;
  }
  return endpoint{ std::string(host), static_cast<std::uint16_t>(port) };
}

} // namespace cowslipline
