#pragma once

#include "modules/proxy/proxy_settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Parsed settings of one instance, or everything that is wrong with them.
struct edge_settings
{
  proxy_settings mProxy;
  /// One message per error, with the field or line; mProxy is valid when empty.
  std::vector<std::string> mErrors;
};

/// Parses the settings of one instance from TOML (docs/platform.md) and reports
/// all errors at once. Unknown fields are ignored, since newer platforms send
/// additional ones.
edge_settings
ParseEdgeSettings(std::string_view aText);

/// Returns the content of a file; empty when the file cannot be read.
std::optional<std::string>
ReadSettingsFile(const std::string& aPath);

} // namespace cowslipline
