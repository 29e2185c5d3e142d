#pragma once

// Public header of the sharing library: the instances of the fleet and what
// they tell each other.
#include "modules/sharing/member_table.h"
#include "modules/sharing/owner_client.h"
#include "modules/sharing/peer_link.h"
#include "modules/sharing/peer_message.h"
#include "modules/sharing/quota_bucket.h"
