#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipline {

/// Forms of text values in files.
enum class text_form
{
  Name,        ///< Lower-case letters, digits and hyphens.
  Identifier,  ///< Visible characters that need no escape in a log line.
  Method,      ///< An HTTP method.
  Path,        ///< A URL path without query.
  HeaderName,  ///< An HTTP header name.
  FieldName,   ///< Any printable text.
  Address,     ///< An IP number.
  PeerAddress, ///< An IP number other than the wildcard.
  Endpoint,    ///< An IP number and a port.
  Host,        ///< An IP number or a host name.
  Digest,      ///< 64 hexadecimal digits.
  LogLevel,    ///< debug, info, warn or error.
  Secret,      ///< Printable characters without spaces.
};

bool
HasForm(std::string_view aText, text_form aForm);

/// What the form admits, for hints and the documentation.
std::string_view
DescribeForm(text_form aForm);

struct endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

/// Splits "10.0.0.1:80" or "[fd00::1]:80". Empty when the host is not an IP
/// number or the port is not in 1 to 65535.
std::optional<endpoint>
ParseEndpoint(std::string_view aText);

} // namespace cowslipline
