#pragma once

#include "modules/proxy/proxy_settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// The settings, or every mistake in them.
struct edge_settings
{
  proxy_settings mProxy;
  std::vector<std::string> mMistakes;
};

/// Reads the settings of one instance in TOML (docs/platform.md). Unknown
/// fields are ignored: newer platforms send more.
edge_settings
ParseEdgeSettings(std::string_view aText);

/// The text of a file; nothing when it cannot be read.
std::optional<std::string>
ReadSettingsFile(const std::string& aPath);

} // namespace cowslipline
