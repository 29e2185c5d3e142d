#pragma once

#include "core/time.h"
#include "modules/placement/send_permits.h"

#include <optional>

namespace cowslipline {

/// The limit that applies to a target that is cold until aColdUntil, in a
/// service whose cold targets bear aCold (a rate of 0: not stated); nothing
/// once it is warm. Answers the load of a zone whose targets all return empty
/// and cold: without a limit every instance would find them the least loaded
/// ones. After the end of the cold time the limit grows until it is above what
/// a target can serve, so that the target's share of the load has no step.
std::optional<send_limit>
ColdLimitAt(const send_limit& aCold, steady_time aColdUntil, steady_time aNow);

} // namespace cowslipline
