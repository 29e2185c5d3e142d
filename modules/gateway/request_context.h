#pragma once

#include "modules/gateway/caller_exchange.h"
#include "modules/gateway/decisions.h"
#include "modules/gateway/refusal.h"

namespace cowslipline {

/// What is known about one request while it is served.
struct request_context
{
  explicit request_context(caller_exchange& aExchange)
    : mExchange(aExchange)
  {
  }

  const request_head& Head() const { return mExchange.Head(); }
  const route& Route() const { return mSnapshot->mRoutes[mRouteIndex]; }
  const service& Service() const
  {
    return mSnapshot->mServices[Route().mService];
  }
  bool HasRoute() const { return mHasRoute; }
  duration TimeLeft() const { return mDeadline - ReadBootClock(); }
  /// True when a target is left besides the one that is tried.
  bool HasOtherTarget() const
  {
    return mTargetRequest.mExcluded.size() + 1 < Service().mTargets.size();
  }
  /// What a refusal may say about attempts made so far.
  ran_state Ran() const
  {
    return mMayHaveRun ? ran_state::Unknown : ran_state::NotRun;
  }

  caller_exchange& mExchange;
  std::string mRequestId;
  snapshot_pointer mSnapshot;
  steady_time mStart;
  steady_time mDeadline = steady_time::max();
  route_index mRouteIndex = 0;
  bool mHasRoute = false;
  std::string mOrganisation; ///< Empty on open routes.
  std::string mKeyId;
  std::string mTarget; ///< Path and query that go upstream.
  body_buffer mBody;
  target_request mTargetRequest;
  std::optional<claim_ticket> mTicket;
  std::optional<finished_answer> mReplay;
  std::uint32_t mAttempts = 0;
  bool mMayHaveRun = false;
  bool mIsDraining = false;
  bool mHasCallerLeft = false;
};

} // namespace cowslipline
