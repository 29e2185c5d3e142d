#pragma once

#include "apps/cowslipline-edge/edge_settings.h"

namespace cowslipline {

/// Detects changes of the settings file by comparing its content, so that no
/// signal is needed.
class settings_watch
{
public:
  /// aText: the content of the file that is currently applied.
  settings_watch(std::string aPath, std::string aText)
    : mPath(std::move(aPath))
    , mText(std::move(aText))
  {
  }

  /// Reads the file and returns its settings, with their errors, if its content
  /// has changed since the last call. An unreadable file counts as unchanged,
  /// since it may be about to be replaced.
  std::optional<edge_settings> Poll();

private:
  std::string mPath;
  std::string mText;
};

} // namespace cowslipline
