#pragma once

// Public header of the health module: outlier detection and ejection of
// targets, choice of targets, admission and retry budgets.
#include "core/kernel.h"
#include "modules/health/admission_queue.h"
#include "modules/health/request_quarantine.h"
#include "modules/health/retry_budget.h"
#include "modules/health/target_selector.h"

namespace cowslipline {

/// Registers the services "target_selector", "retry_budget",
/// "request_quarantine" and "admission_queue". Requires "scheduler",
/// "peer_channel", "membership", "snapshots", "metrics" and "random_seed". The
/// kernel's Start() registers the peer handlers and starts the periodic tasks.
/// Errors: errc::ServiceMissing, errc::Duplicate.
result<void>
RegisterHealth(kernel& aKernel);

} // namespace cowslipline
