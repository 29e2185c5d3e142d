#pragma once

// Public header of the sync library: keeps the local copy of configuration,
// targets and members in step with the platform's store.
#include "modules/sync/change_transfers.h"
#include "modules/sync/departed_entries.h"
#include "modules/sync/lapsed_entries.h"
#include "modules/sync/platform_feed.h"
#include "modules/sync/platform_sync.h"
#include "modules/sync/registration.h"
#include "modules/sync/view_updater.h"
#include "modules/sync/zone_readers.h"
