#pragma once

#include "modules/configuration/content.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// Entries of chunks as positional CBOR arrays; names of fields would double
/// the size of organisations and keys.
nlohmann::json
EncodeOrganisation(const organisation& aValue);
nlohmann::json
EncodeService(const service_definition& aValue);
nlohmann::json
EncodeKey(const key_definition& aValue);

/// Empty when the entry is not of the expected form or breaks a bound on which
/// other modules rely, such as a burst below 2.
std::optional<organisation>
DecodeOrganisation(const nlohmann::json& aEntry);
std::optional<service_definition>
DecodeService(const nlohmann::json& aEntry);
std::optional<key_definition>
DecodeKey(const nlohmann::json& aEntry);

} // namespace cowslipline
