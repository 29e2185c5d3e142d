#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// Whether targets may run a request of the route more than once, which decides
/// whether it may be retried after it may have run.
enum class repeat_rule
{
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< Must not run twice.
};

/// A service, which a group of targets provides.
struct service_spec
{
  std::string mName;
  std::string mHealthPath;
  /// Connections that one target accepts from the whole fleet.
  std::uint32_t mConnectionLimit = 0;
  /// Requests/s that one target bears from the whole fleet while it is cold;
  /// 0: not stated.
  double mColdRate = 0;
};

/// Part of a route's traffic split: a service and its weight.
struct traffic_share
{
  std::string mService;
  double mWeight = 1; ///< Relative to the other shares; 0: no requests.
};

/// Maps requests with a host and a path prefix to services.
struct route_spec
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< Begins and ends with a slash.
  repeat_rule mRepeat = repeat_rule::AtMostOnce;
  duration mTimeout{ 0 };          ///< 0: only the caller's deadline applies.
  duration mLatencyObjective{ 0 }; ///< 0: none.
  int mPriority = 0;               ///< 0 is the most urgent.
  std::vector<traffic_share> mShares;
  /// Highest number of targets that a request is sent to, including the
  /// first one.
  std::uint32_t mAttempts = 1;
  bool mIsPublic = false; ///< Needs no API key.
};

/// An organisation whose callers use the fleet, with its API keys and rate
/// limit.
struct organisation_spec
{
  std::string mName;
  std::vector<std::string> mKeys; ///< API keys.
  std::optional<int> mPriority;   ///< Takes precedence over the route's.
  double mRate = 0;  ///< Requests/s in the whole fleet; 0: no limit.
  double mBurst = 0; ///< Requests.
};

/// Size limits and timeouts of a caller's request and connection.
struct caller_limits
{
  std::size_t mHeadBytes = 16'384;
  std::size_t mBodyBytes = 1'048'576;
  duration mHeadTimeout = std::chrono::seconds(5);  ///< To receive the head.
  duration mIdleTimeout = std::chrono::seconds(15); ///< Wait for a request.
};

/// One version of the operators' configuration, as stored on the platform.
struct fleet_configuration
{
  std::uint64_t mVersion = 0;
  std::vector<route_spec> mRoutes;
  std::vector<service_spec> mServices;
  std::vector<organisation_spec> mOrganisations;
  /// Routes that are not public need an organisation's API key, also if there
  /// is no organisation left. False only for a version without a list of them.
  bool mNeedsKeys = true;
  caller_limits mLimits;
};

} // namespace cowslipline
