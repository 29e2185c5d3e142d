#pragma once

#include "apps/cowslipline-edge/edge_settings.h"

namespace cowslipline {

/// Notices that the settings file has changed, with or without a signal.
class settings_watch
{
public:
  /// aText: the text that is in force.
  settings_watch(std::string aPath, std::string aText)
    : mPath(std::move(aPath))
    , mText(std::move(aText))
  {
  }

  /// The settings in the file when its text has changed since the last call,
  /// with their mistakes. An unreadable file counts as unchanged: it may be
  /// about to be replaced.
  std::optional<edge_settings> Poll();

private:
  std::string mPath;
  std::string mText;
};

} // namespace cowslipline
