#pragma once

#include "core/http_head.h"

#include <string>
#include <string_view>

namespace cowslipline {

/// The key of an Authorization header without its scheme; empty when there is
/// none.
std::string_view
PresentedKey(const header_list& aHeaders);

/// The headers of a request that go upstream. Left out are: Authorization and
/// the usual names of key headers, any header whose value contains the key,
/// hop-by-hop headers and those named by Connection, Proxy-*, Cowslipline-*,
/// and what the gateway sets itself.
header_list
UpstreamHeaders(const header_list& aHeaders, std::string_view aKey);

/// The headers of an answer that go to the caller.
header_list
CallerHeaders(const header_list& aHeaders);

/// The path and query that go upstream. The query parameters `key` and
/// `api_key` (in any case, percent-encoded or not) are left out, since callers
/// put keys there by mistake; everything else stays byte for byte.
std::string
UpstreamTarget(std::string_view aTarget);

/// The path with percent-encoding resolved, for the choice of the route only.
/// Nothing when it could mean another path to the upstream than to the
/// gateway: dot segments, empty segments, encoded slashes, backslashes and
/// control characters, or malformed encoding.
std::optional<std::string>
DecodePath(std::string_view aPath);

} // namespace cowslipline
