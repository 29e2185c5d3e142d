#pragma once

#include <string>
#include <string_view>

namespace cowslipline {

/// 1 to 64 letters, digits, dots, dashes or underscores.
bool
IsRequestIdWellFormed(std::string_view aId);

/// 16 random bytes in hexadecimal.
std::string
MakeRequestId();

} // namespace cowslipline
