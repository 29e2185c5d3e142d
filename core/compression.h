#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace cowslipline {

/// Compresses in the zlib format, at the fastest level.
std::string
Compress(std::string_view aData);

/// Reverses Compress() for bytes from an untrusted source. aMaxBytes: longest
/// accepted result; a few bytes can expand a thousandfold. Errors:
/// errc::MessageMalformed, also for a longer result.
result<std::string>
Decompress(std::string_view aCompressed, std::size_t aMaxBytes);

} // namespace cowslipline
