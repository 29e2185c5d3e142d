#pragma once

#include "core/buffer_budget.h"
#include "core/metrics.h"
#include "modules/placement/placement.h"
#include "modules/proxy/fleet_evidence.h"
#include "modules/proxy/proxy_settings.h"
#include "modules/proxy/slot_lending.h"
#include "modules/proxy/upstream_pool.h"
#include "modules/sharing/sharing.h"
#include "modules/sync/sync.h"

namespace cowslipline {

/// How far the instance is on its way out.
enum class lifecycle_phase
{
  Serving,
  Leaving,  ///< Not ready any more; requests are served, connections closed.
  Refusing, ///< New requests are refused; those in flight finish.
  Ending,   ///< Those still in flight get their final answers.
};

/// What the tasks of one process share. They run on one thread.
struct proxy_services
{
  scheduler& mScheduler;
  asio::io_context& mContext;
  const proxy_settings& mSettings;
  fleet_header_names mNames;
  platform_view& mView;
  outlier_detector& mEvidence;
  load_balancer& mChooser;
  poison_request_detector& mCrashes;
  target_rate_limits& mLimits;
  owner_client& mOwners;
  fleet_evidence& mReports;
  slot_lending& mSlots;
  upstream_pool& mPool;
  metrics& mMetrics;
  random_source& mRandom;
  /// Bodies of requests and answers in memory.
  buffer_budget& mBuffers;
  lifecycle_phase mPhase = lifecycle_phase::Serving;
  /// When a leaving instance gives up what is in flight.
  steady_time mGivesUpAt = steady_time::max();
  std::size_t mRequestsInFlight = 0;
  /// Shares of routes with several services, by route name.
  std::unordered_map<std::string, weighted_service_picker> mShares{};

  bool IsReady() const
  {
    return mPhase == lifecycle_phase::Serving && mView.mIsComplete &&
           mView.mRoutes && mView.mFreshness.IsFresh(mScheduler.Now());
  }
};

} // namespace cowslipline
