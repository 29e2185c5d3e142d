#pragma once

#include "modules/proxy/caller_session.h"
#include "modules/proxy/page_server.h"
#include "modules/proxy/proxy_services.h"
#include "modules/proxy/zone_sync_peers.h"

namespace cowslipline {

/// One instance: its listeners, its tasks and what they share.
class proxy_instance
{
public:
  /// Binds all addresses. aFeed: the platform's store. Errors: those of
  /// bind().
  static result<std::unique_ptr<proxy_instance>> Create(
    scheduler& aScheduler,
    const proxy_settings& aSettings,
    fleet_header_names aNames,
    platform_feed& aFeed,
    std::uint64_t aSeed);
  ~proxy_instance();

  /// Starts the tasks that follow the store, the registration and the peers.
  void Start();

  /// Takes over new settings while requests run. Returns the names of changed
  /// settings that need a new process: addresses, names and windows.
  std::vector<std::string> Apply(const proxy_settings& aSettings);

  /// Takes the instance out of service: callers' requests finish, connections
  /// close. Returns when nothing is in flight or the grace time is over; true
  /// when no request was cut.
  bool Leave(yield_context aYield);

  tcp_endpoint CallersAddress() const { return mListener.LocalAddress(); }
  tcp_endpoint ReadinessAddress() const { return mReadiness.LocalAddress(); }
  asio::ip::udp::endpoint PeersAddress() const { return mLink->LocalAddress(); }
  bool IsReady() const { return mServices.IsReady(); }
  metrics& Metrics() { return mMetrics; }

  /// What the readiness and metrics addresses answer for a path.
  page RenderPage(std::string_view aPath);

private:
  proxy_instance(scheduler& aScheduler,
                 const proxy_settings& aSettings,
                 fleet_header_names aNames,
                 platform_feed& aFeed,
                 std::unique_ptr<peer_link> aLink,
                 std::uint64_t aSeed);

  void OnPeerMessage(const peer_message& aMessage, const udp_endpoint& aFrom);
  /// By the configuration in force; version 0 without one.
  configured_limit LimitOf(std::string_view aOrganisation) const;
  void RunHousekeeping(yield_context aYield);
  void RunLoadReports(yield_context aYield);
  /// Waits until the store has been read in full, or the instance stops.
  void WaitForState(yield_context aYield);
  void RegisterOnceReady(yield_context aYield);
  void LearnOnceReady(yield_context aYield);
  std::string RenderGauges() const;

  scheduler& mScheduler;
  proxy_settings mSettings;
  random_source mRandom;
  buffer_budget mBuffers;
  metrics mMetrics;
  std::unique_ptr<peer_link> mLink;
  platform_view mView;
  outlier_detector mEvidence;
  load_balancer mChooser;
  poison_request_detector mCrashes;
  target_rate_limits mLimits;
  owner_client mOwners;
  fleet_evidence mReports;
  std::shared_ptr<slot_lending> mSlots;
  upstream_pool mPool;
  proxy_services mServices;
  zone_sync_peers mZone;
  platform_sync mSync;
  registration mRegistration;
  caller_listener mListener;
  page_server mReadiness;
  page_server mMetricsPage;
  bool mIsStopped = false;
  /// The attempt to remove the registration has ended, whatever came of it.
  bool mIsDeregistered = false;
};

} // namespace cowslipline
