#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// Reads CBOR from outside. Never throws and never recurses deeper than 32
/// levels: the library recurses for each level and throws for lengths that
/// exceed its limits. Errors: errc::MessageMalformed.
result<nlohmann::json>
DecodeCbor(std::string_view aBytes);

std::string
EncodeCbor(const nlohmann::json& aDocument);

} // namespace cowslipline
