#pragma once

#include "modules/proxy/proxy_services.h"
#include "modules/proxy/refusal_cause.h"

namespace cowslipline {

/// One send that needs a target.
struct send_request
{
  std::string mService;
  placement_request mPlacement;
  int mPriority = 0; ///< 0 is the most urgent.
  /// A second send beside one that is still open. It leaves the permits of
  /// limited targets to requests that have no other send.
  bool mIsHedge = false;
  duration mTimeLeft{ 0 }; ///< Until the request's deadline.
};

struct target_selection
{
  std::optional<target_entry> mTarget;
  /// Of mTarget; not lent when the load balancer chose it.
  borrowed_slot mSlot;
  refusal_cause mCause = refusal_cause::None; ///< Why there is no target.
  /// When a permit is expected; set with TargetsLimited.
  duration mTimeToPermit{ 0 };
};

/// The targets that a send may go to now.
std::vector<placement_candidate>
FindCandidates(const proxy_services& aServices, const slot_query& aQuery);

/// Chooses the target of a send. For a target that limits its rate it also gets
/// a permit from the target's owner, and chooses again when that is refused.
/// Waits for owners' replies only.
target_selection
SelectTarget(proxy_services& aServices,
             const send_request& aRequest,
             yield_context aYield);

} // namespace cowslipline
