#pragma once

// Public header of the fleet module.
#include "modules/fleet/configuration_codec.h"
#include "modules/fleet/configuration_distributor.h"
#include "modules/fleet/instance_list_reader.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/membership_messages.h"
#include "modules/fleet/membership_service.h"
#include "modules/fleet/peer_address.h"
#include "modules/fleet/peer_channel.h"
#include "modules/fleet/websocket_peer_channel.h"
