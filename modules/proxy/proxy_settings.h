#pragma once

#include "core/tcp_stream.h"
#include "modules/sharing/owner_client.h"

#include <asio/ip/udp.hpp>

namespace cowslipline {

/// Bounds that the operators' platform sets for the whole fleet.
struct fleet_bounds
{
  /// A withdrawn key stops working within this time.
  duration mRevocation = std::chrono::seconds(5);
  /// A change of the configuration is in force within this time.
  duration mConfiguration = std::chrono::seconds(2);
  /// Share of a service's sound targets that stays in use.
  double mFloorShare = 0.7;
  /// A cold target gets at most its service's rate times the overshoot, and the
  /// slack (requests), within any one second.
  double mColdOvershoot = 1.5;
  double mColdSlack = 8;
  owner_limits mOwners;
};

struct proxy_settings
{
  std::string mInstance;
  std::string mAvailabilityZone;
  tcp_endpoint mCallers;
  tcp_endpoint mReadiness;
  tcp_endpoint mMetrics;
  asio::ip::udp::endpoint mPeers;
  tcp_endpoint mStore;
  /// From SIGTERM until the process is ended by force.
  duration mGrace = std::chrono::seconds(6);
  fleet_bounds mBounds;
  /// Bytes of request and answer bodies that may be in memory.
  std::size_t mBufferedBytes = 64UL * 1024 * 1024;
  /// Slots are lent for services whose targets run at most this many requests
  /// at a time; 0: for none.
  std::uint32_t mEvenLoadSlots = 4;
};

} // namespace cowslipline
