#pragma once

// Public header of the limits module: fleet-wide rate limits.
#include "core/kernel.h"
#include "modules/limits/rate_limiter.h"

namespace cowslipline {

/// Registers the service "rate_limiter" (rate_limiter), which starts with the
/// kernel. Needs the services "scheduler", "store", "peer_channel",
/// "membership", "snapshots" and "metrics".
/// Errors: errc::ServiceMissing, errc::Duplicate.
result<void>
RegisterLimits(kernel& aKernel);

} // namespace cowslipline
