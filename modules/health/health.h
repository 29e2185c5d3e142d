#pragma once

// Public header of the health module.
#include "core/kernel.h"
#include "modules/health/admission_queue.h"
#include "modules/health/request_quarantine.h"
#include "modules/health/retry_budget.h"
#include "modules/health/target_selector.h"

namespace cowslipline {

/// Finds "scheduler", "peer_channel", "membership", "snapshots", "metrics" and
/// "random_seed"; registers "target_selector", "retry_budget",
/// "request_quarantine" and "admission_queue". Start() registers the peer
/// handlers and starts the periodic tasks.
/// Errors: errc::ServiceMissing, errc::Duplicate.
result<void>
RegisterHealth(kernel& aKernel);

} // namespace cowslipline
