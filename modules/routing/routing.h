#pragma once

// Public header of the routing library: the operators' configuration, the
// look-up of routes and organisations in it, and the service registry of
// targets.
#include "modules/routing/configuration_freshness.h"
#include "modules/routing/fleet_configuration.h"
#include "modules/routing/fleet_header_names.h"
#include "modules/routing/route_access.h"
#include "modules/routing/route_index.h"
#include "modules/routing/target_directory.h"
#include "modules/routing/zone_evacuations.h"
