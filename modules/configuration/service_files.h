#pragma once

#include "modules/configuration/content.h"
#include "modules/configuration/diagnostic.h"

#include <vector>

namespace cowslipline {

/// Reads the service files of one publication. Each file holds at most one
/// service; organisations and keys may stand in any file. On failure all
/// mistakes of all files are returned.
checked<configuration_content>
ParseServiceFiles(const std::vector<text_file>& aFiles);

} // namespace cowslipline
