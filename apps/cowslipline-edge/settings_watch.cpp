#include "apps/cowslipline-edge/settings_watch.h"

namespace cowslipline {

std::optional<edge_settings>
settings_watch::Poll()
{
  auto text = ReadSettingsFile(mPath);
  if (!text || *text == mText) {
    return std::nullopt;
  }
  mText = std::move(*text);
  return ParseEdgeSettings(mText);
}

} // namespace cowslipline
