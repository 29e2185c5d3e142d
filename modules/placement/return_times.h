#pragma once

#include "core/time.h"

namespace cowslipline {

/// When a caller is to return whose request no target took, for its
/// Retry-After. Answers the load of targets that are full for a moment: they
/// work off their queues within about a second, and callers that return spread
/// over that time do not fill the queues again all at once. Callers with a
/// short latency objective return sooner, so that they can still be answered in
/// time.
///
/// aObjective: the route's latency objective; 0: none. aPart: in [0, 1), drawn
/// at random for each caller.
duration
ReturnTime(duration aObjective, double aPart);

} // namespace cowslipline
