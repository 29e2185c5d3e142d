#pragma once

// Public header of the placement library: load balancing, outlier detection,
// retry budgets, return times, poison request detection, lent slots and the
// rate limits of targets. Nothing here uses the network or reads a clock.
#include "modules/placement/cold_limit.h"
#include "modules/placement/load_balancer.h"
#include "modules/placement/outlier_detector.h"
#include "modules/placement/poison_request_detector.h"
#include "modules/placement/return_times.h"
#include "modules/placement/send_permits.h"
#include "modules/placement/service_retry_budgets.h"
#include "modules/placement/slot_leases.h"
#include "modules/placement/target_rate_limits.h"
