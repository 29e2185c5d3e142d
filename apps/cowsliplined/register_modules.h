#pragma once

#include "core/kernel.h"
#include "modules/configuration/configuration.h"

namespace cowslipline {

/// Registers the platform clients and all modules that run on the control
/// thread. The kernel must hold "scheduler". The only place that lists them.
/// Errors: errc::InputOutput when the peer address cannot be bound,
/// errc::ServiceMissing, errc::Duplicate.
result<void>
RegisterModules(kernel& aKernel, const daemon_settings& aSettings);

} // namespace cowslipline
