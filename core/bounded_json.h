#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// Parses JSON from an untrusted source: text that is nested more deeply than
/// any document of ours is invalid. The library copies and writes documents
/// recursively, which overflows a task's stack. Returns a discarded value for
/// invalid text.
nlohmann::json
ParseBoundedJson(std::string_view aText);

} // namespace cowslipline
