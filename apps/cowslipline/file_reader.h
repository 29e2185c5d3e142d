#pragma once

#include "modules/configuration/diagnostic.h"

#include <string>
#include <vector>

namespace cowslipline {

/// Reads files and the *.toml files of folders, in the order of their names.
/// The error names the path that cannot be read.
tl::expected<std::vector<text_file>, std::string>
ReadServiceFiles(const std::vector<std::string>& aPaths);

/// The fleet's secret: the first line of the file or, when the path is empty,
/// the value of COWSLIPLINE_FLEET_SECRET. The error says what is missing.
tl::expected<std::string, std::string>
ReadFleetSecret(const std::string& aPath);

} // namespace cowslipline
