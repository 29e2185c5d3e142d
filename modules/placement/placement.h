#pragma once

// Public header of the placement library: which target gets a request, and
// whether it may be sent once more. Nothing here touches a network or a clock.
#include "modules/placement/crash_guard.h"
#include "modules/placement/retry_accounts.h"
#include "modules/placement/target_chooser.h"
#include "modules/placement/target_records.h"
