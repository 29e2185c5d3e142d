#pragma once

#include "core/http_head.h"
#include "modules/routing/fleet_header_names.h"

namespace cowslipline {

/// The headers without those that concern one connection only, their own
/// names in Connection included, and without the framing of the body.
header_list
EndToEndHeaders(const header_list& aHeaders);

/// The headers of a request that go to a target: end to end, without the key
/// and without those that the fleet sets itself.
header_list
HeadersForTarget(const header_list& aHeaders, const fleet_header_names& aNames);

} // namespace cowslipline
