#pragma once

// Public header of the routing library: the operators' configuration, the
// choice of route and organisation, and the directory of targets.
#include "modules/routing/configuration_freshness.h"
#include "modules/routing/fleet_configuration.h"
#include "modules/routing/header_dialect.h"
#include "modules/routing/route_index.h"
#include "modules/routing/target_directory.h"
