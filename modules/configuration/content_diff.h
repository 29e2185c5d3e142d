#pragma once

#include "modules/configuration/content.h"

#include <string>
#include <vector>

namespace cowslipline {

/// The differences in words, one for each value, sorted: "route ledger.deposit:
/// deadline_ms 2000 -> 3000", "target ledger/l-16: added (...)".
std::vector<std::string>
DescribeChanges(const configuration_content& aBefore,
                const configuration_content& aAfter);

} // namespace cowslipline
