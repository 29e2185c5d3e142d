#pragma once

// Public header of the fleet module.
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
