#pragma once

// Public header of the sharing library: the membership table of the fleet, the
// messages between its instances, and its quotas and retry budgets.
#include "modules/sharing/member_table.h"
#include "modules/sharing/owner_client.h"
#include "modules/sharing/peer_link.h"
#include "modules/sharing/peer_message.h"
#include "modules/sharing/quota_bucket.h"
#include "modules/sharing/quota_holdings.h"
#include "modules/sharing/start_inquiry.h"
#include "modules/sharing/stated_limits.h"
