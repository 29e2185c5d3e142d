#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// Decodes CBOR from an untrusted source: lengths must be definite, tags are
/// refused and nesting is bounded. The library alone recurses once for each
/// nested item, so that a few hundred kilobytes of crafted bytes would
/// overflow a task's stack, and it throws for lengths that exceed its limits.
/// Errors: errc::MessageMalformed.
result<nlohmann::json>
DecodeCbor(std::string_view aBytes);

std::string
EncodeCbor(const nlohmann::json& aDocument);

} // namespace cowslipline
